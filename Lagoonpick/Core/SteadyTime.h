#pragma once

#include "Lagoonpick/Core/Time.h"

namespace Lagoonpick {

/// Clock of the daemons: the wall-clock time at construction plus the time elapsed since then on the monotonic clock, so that
/// it never runs backwards within a process.
class SteadyTime {
public:
    SteadyTime()
        : wallAtStart_(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()))
        , steadyAtStart_(std::chrono::steady_clock::now())
    {
    }

    Time now() const
    {
        auto elapsed = std::chrono::steady_clock::now() - steadyAtStart_;
        return Time(wallAtStart_ + std::chrono::duration_cast<Duration>(elapsed));
    }

private:
    Duration wallAtStart_;
    std::chrono::steady_clock::time_point steadyAtStart_;
};

} // namespace Lagoonpick
