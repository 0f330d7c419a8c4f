#pragma once

#include "Lagoonpick/Core/Time.h"

#include <optional>

namespace Lagoonpick {

/// Detects that the process did not run for some time, because it was stopped, suspended or starved of CPU time.
///
/// Needs calls of `check` at intervals far below the threshold: a process calls it before it handles any input, and has a timer
/// of tens of milliseconds. Not thread-safe.
class SuspensionDetector {
public:
    explicit SuspensionDetector(Duration threshold)
        : threshold_(threshold)
    {
    }

    /// Returns the time since the previous call if it exceeds the threshold, otherwise nothing.
    std::optional<Duration> check(Time now)
    {
        Duration suspension = lastCheck_ == Time() ? Duration() : now - lastCheck_;
        lastCheck_ = now;
        return suspension > threshold_ ? std::optional(suspension) : std::nullopt;
    }

private:
    Duration threshold_;
    Time lastCheck_;
};

} // namespace Lagoonpick
