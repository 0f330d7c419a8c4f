#pragma once

#include "Lagoonpick/Core/Time.h"

#include <optional>

namespace Lagoonpick {

/// Detects that the process did not run for some time, because it was stopped, suspended or starved of CPU time.
///
/// Needs calls of `check` at intervals far below the limit: a process calls it before it handles any input, and has a timer
/// of tens of milliseconds. Not thread-safe.
class GapDetector {
public:
    explicit GapDetector(Duration limit)
        : limit_(limit)
    {
    }

    /// Returns the time since the previous call if it exceeds the limit, otherwise nothing.
    std::optional<Duration> check(Time now)
    {
        Duration gap = last_ == Time() ? Duration() : now - last_;
        last_ = now;
        return gap > limit_ ? std::optional(gap) : std::nullopt;
    }

private:
    Duration limit_;
    Time last_;
};

} // namespace Lagoonpick
