#pragma once

#include "Lagoonpick/Core/Time.h"

#include <ctime>

namespace Lagoonpick {

/// Clock of the daemons that must detect a suspension of their instance: the wall-clock time at construction plus the time
/// elapsed since then on `CLOCK_BOOTTIME`, which includes suspensions and never runs backwards.
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
