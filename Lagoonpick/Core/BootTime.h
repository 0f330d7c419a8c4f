#pragma once

#include "Lagoonpick/Core/Time.h"

#include <ctime>

namespace Lagoonpick {

/// Gives the time for daemons that must notice when their instance was suspended: the wall clock as it was at start,
/// moved on by the boot-time clock, which counts suspensions and never runs backwards.
class BootTime {
public:
    BootTime()
        : wallAtStart_(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()))
        , bootAtStart_(sinceBoot())
    {
    }

    Time now() const { return Time(wallAtStart_ + sinceBoot() - bootAtStart_); }

private:
    static Duration sinceBoot()
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }

    Duration wallAtStart_;
    Duration bootAtStart_;
};

} // namespace Lagoonpick
