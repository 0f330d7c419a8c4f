#pragma once

#include "Lagoonpick/Dispatch/Job.h"
#include "Lagoonpick/Dispatch/RequestId.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonpick {

/// A complete HTTP response to a caller.
struct Reply {
    RequestId request_ {};
    std::uint32_t status_ { 0 };
    /// Value of the `Retry-After` header in seconds; 0 for none.
    std::uint32_t retryAfterSeconds_ { 0 };
    std::string body_;
    /// Kind of the problem; empty if the reply is not a problem document.
    std::string_view problemKind_;
    bool operator==(const Reply&) const = default;
};

/// Whether tasks have run, for a submission or for a single request.
enum class RunState : std::uint8_t {
    No,
    Unknown,
    Running,
    Yes,
};

/// The problem details (RFC 9457) of a request that gets no answer, before they are written as JSON.
struct Problem {
    std::uint32_t status_ { 0 };
    /// The kind of problem; the last part of the problem's `type`.
    /// Must be a string literal, because replies keep a view of it.
    std::string_view kind_;
    std::string detail_;
    /// Whether tasks have run because of this request.
    RunState request_ { RunState::No };
    /// Whether tasks of the submission have run, whichever request submitted it.
    RunState submission_ { RunState::No };
    std::uint32_t retryAfterSeconds_ { 0 };
};

/// Writes a problem as `application/problem+json`.
Reply writeProblem(RequestId, const Problem&);

/// Writes a job's answer from its settled tasks. Equal outcomes, statuses and bodies give the same bytes at every entry.
std::string writeAnswer(const SubmissionId&, const std::vector<Task>&);

/// Writes issued ids as a JSON object.
std::string writeIds(const std::vector<SubmissionId>&);

/// The JSON value for `state`.
std::string_view nameOf(RunState state);

/// The JSON value for a task's outcome.
std::string_view nameOf(Wire::TaskOutcome outcome);

} // namespace Lagoonpick
