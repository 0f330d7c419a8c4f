#include "Lagoonpick/Run/LeaseTiming.h"

#include <algorithm>

namespace Lagoonpick {

LeaseTiming LeaseTiming::derive(Duration maxLease, Duration stopTimeout, Duration resendInterval)
{
    // How much slower than this instance's clock a target's clock may run, in percent.
    constexpr Duration::rep maxClockDriftPercent = 2;
    constexpr Duration::rep percent = 100;
    // Covers the difference between the clocks of two instances over that time.
    const Duration margin = std::chrono::milliseconds(36);
    LeaseTiming times;
    times.maxLease_ = maxLease;
    times.stopTimeout_ = stopTimeout;
    // The rest is left for the time until the last renewal of a lease is recognized as the last.
    Duration available = resendInterval - stopTimeout - margin;
    times.lease_ = std::min(maxLease * 7 / 10, available * 3 / 5);
    Duration longestHold = times.lease_ + times.lease_ * maxClockDriftPercent / percent;
    times.entryTimeout_ = std::min<Duration>(available - longestHold, times.lease_);
    // An agent may extend a lease until just before the entry's time is over.
    times.orphanTimeout_ = times.entryTimeout_ + longestHold + stopTimeout + margin;
    return times;
}

} // namespace Lagoonpick
