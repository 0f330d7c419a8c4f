#include "Lagoonpick/Job/TargetChoice.h"

#include <algorithm>

namespace Lagoonpick {

namespace {

double overflowShare(std::uint32_t capacity, std::uint32_t committed, std::uint32_t need)
{
    double sum = static_cast<double>(committed) + need;
    if (sum <= capacity)
        return 0;
    return capacity ? (sum - capacity) / capacity : 1;
}

} // namespace

TargetOutlook expectOn(const TargetLoadView& target, const Wire::Resources& need, Duration work)
{
    TargetOutlook outlook;
    outlook.run_ = Duration(static_cast<Duration::rep>(static_cast<double>(work.count()) * target.slowness_));
    double overflow = overflowShare(target.capacity_.milliCores_, target.committed_.milliCores_, need.milliCores_);
    overflow = std::max(overflow, overflowShare(target.capacity_.memoryMegabytes_, target.committed_.memoryMegabytes_, need.memoryMegabytes_));
    overflow = std::max(overflow, overflowShare(target.capacity_.accelerators_, target.committed_.accelerators_, need.accelerators_));
    // A full target turns over its whole capacity once in the time that a run takes there.
    Duration turnover = target.typicalTime_.count() ? target.typicalTime_ : outlook.run_;
    outlook.wait_ = Duration(static_cast<Duration::rep>(overflow * static_cast<double>(turnover.count())));
    return outlook;
}

} // namespace Lagoonpick
