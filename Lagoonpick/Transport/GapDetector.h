#pragma once

#include "Lagoonpick/Core/Time.h"

#include <optional>

namespace Lagoonpick {

/// Notices that the process did not run for a while: frozen, suspended, or starved.
///
/// A process with a timer of tens of milliseconds calls `check` before it handles anything.
class GapDetector {
public:
    explicit GapDetector(Duration limit)
        : limit_(limit)
    {
    }

    /// How long the process did not run, if that is longer than the limit.
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
