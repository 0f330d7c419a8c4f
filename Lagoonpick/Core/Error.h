#pragma once

#include <boost/outcome.hpp>
#include <cassert>
#include <string>

namespace Lagoonpick {

/// The kind of failure that an `Error` reports.
enum class ErrorCode {
    Malformed,
    TooLarge,
    WrongVersion,
    NotFound,
    Conflict,
    Unreachable,
    TimedOut,
};

/// A failure as a value. The message is for human readers only; code that handles the error decides by `code_`.
struct Error {
    ErrorCode code_;
    std::string message_;
    bool operator==(const Error&) const = default;
};

/// A value or an `Error`. Accessing the one that is not present is a programming error (undefined behaviour).
template <typename Value>
using Outcome = boost::outcome_v2::basic_result<Value, Error, boost::outcome_v2::policy::all_narrow>;

/// A failed `Outcome` of any value type.
inline auto fail(ErrorCode code, std::string message)
{
    return boost::outcome_v2::failure(Error { code, std::move(message) });
}

} // namespace Lagoonpick
