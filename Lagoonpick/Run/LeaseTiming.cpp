#include "Lagoonpick/Run/LeaseTiming.h"

#include <algorithm>

namespace Lagoonpick {

LeaseTiming LeaseTiming::derive(Duration maxLease, Duration stopTimeout, Duration resendInterval)
{
    // How much slower than this instance's clock a target's clock may run, in percent.
    constexpr Duration::rep maxClockDriftPercent = 2;
    constexpr Duration::rep percent = 100;
    // Covers timers that fire late and messages in transit.
    const Duration margin = std::chrono::milliseconds(36);
    LeaseTiming times;
    times.stopTimeout_ = stopTimeout;
    // Two fifths are left for the time until the last renewal of a lease is recognized as the last.
    times.lease_ = std::min(maxLease * 7 / 10, (resendInterval - stopTimeout) * 3 / 5);
    times.entryTimeout_ = std::min<Duration>((resendInterval - stopTimeout) * 2 / 5, times.lease_);
    Duration longest = std::max<Duration>(times.lease_ + times.lease_ * maxClockDriftPercent / percent, times.entryTimeout_);
    times.orphanTimeout_ = longest + stopTimeout + margin;
    return times;
}

} // namespace Lagoonpick
