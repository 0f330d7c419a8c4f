#pragma once

#include <cstdint>
#include <string>

namespace Lagoonpick {

/// A request to replace a key's value if its modification revision is still `expectedRevision_`; 0 means that the key
/// must not exist.
struct CompareAndSwap {
    std::string key_;
    std::int64_t expectedRevision_ { 0 };
    std::string value_;
    bool operator==(const CompareAndSwap&) const = default;
};

/// The outcome of a write.
enum class WriteOutcome : std::uint8_t {
    Written,
    /// The revision was not the expected one; nothing was written.
    Conflict,
    /// There was no valid response: the value may or may not have been written.
    Unknown,
};

} // namespace Lagoonpick
