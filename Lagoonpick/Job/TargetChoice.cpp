#include "Lagoonpick/Job/TargetChoice.h"

#include <algorithm>

namespace Lagoonpick {

namespace {

/// Share of the target's capacity by which the load and the new task exceed it. Counts only the part that the target's backlog
/// does not include: unseen load and the new task.
double overflowShare(std::uint32_t capacity, std::uint32_t committed, std::uint32_t unseen, std::uint32_t need)
{
    double sum = static_cast<double>(committed) + need;
    if (sum <= capacity)
        return 0;
    return capacity ? std::min(sum - capacity, static_cast<double>(unseen) + need) / capacity : 1;
}

} // namespace

CompletionEstimate estimateCompletion(const TargetLoadView& target, const Wire::Resources& need, Duration work)
{
    CompletionEstimate estimate;
    estimate.run_ = scale(work, target.slowdown_);
    const Wire::Resources& capacity = target.capacity_;
    const Wire::Resources& committed = target.committed_;
    const Wire::Resources& unseen = target.unseen_;
    if (hasRoom(capacity, committed, need))
        return estimate;
    double overflow = overflowShare(capacity.milliCores_, committed.milliCores_, unseen.milliCores_, need.milliCores_);
    overflow = std::max(overflow, overflowShare(capacity.memoryMegabytes_, committed.memoryMegabytes_, unseen.memoryMegabytes_, need.memoryMegabytes_));
    overflow = std::max(overflow, overflowShare(capacity.accelerators_, committed.accelerators_, unseen.accelerators_, need.accelerators_));
    // A full target frees its whole capacity once in the time that a run takes there.
    Duration turnover = target.typicalTime_.count() ? target.typicalTime_ : estimate.run_;
    estimate.wait_ = target.backlog_ + scale(turnover, overflow);
    return estimate;
}

} // namespace Lagoonpick
