#include "Lagoonpick/Dispatch/TargetHealth.h"

#include <algorithm>

namespace Lagoonpick {

namespace {

/// Consecutive failures after which a target is ejected.
constexpr std::uint32_t consecutiveFailuresToEject = 5;

/// Weight of the newest task in the moving average of failures.
constexpr double newestTaskWeight = 1.0 / 128;

/// No target is ejected while the failure share of the service is this high or higher: the tasks are the cause then,
/// not a target.
constexpr double maxServiceFailureShare = 0.3;

/// At most one in this many targets is ejected at a time.
constexpr std::size_t targetsPerEjection = 3;

/// Time from an ejection to the first probe; doubles with each failed probe, `maxEjectionDoublings` times at most.
constexpr Duration baseEjectionTime = std::chrono::seconds(1);
constexpr std::uint32_t maxEjectionDoublings = 6;

} // namespace

bool TargetHealth::mayEject(const TargetTable& table, std::span<const TargetIndex> targets) const
{
    auto ejected = std::count_if(targets.begin(), targets.end(), [&](TargetIndex index) { return table.loadOf(index).ejections_ > 0; });
    return failureShare_ < maxServiceFailureShare && (static_cast<std::size_t>(ejected) + 1) * targetsPerEjection <= targets.size();
}

void TargetHealth::taskEnded(Time now, TargetTable& table, TargetIndex index, std::span<const TargetIndex> targets, bool hasSucceeded)
{
    TargetLoad& load = table.loadOf(index);
    if (!load.ejections_)
        failureShare_ += newestTaskWeight * ((hasSucceeded ? 0 : 1) - failureShare_);
    if (hasSucceeded) {
        load.consecutiveFailures_ = 0;
        load.ejections_ = 0;
        return;
    }
    ++load.consecutiveFailures_;
    bool isFailedProbe = load.ejections_ > 0 && load.avoidUntil_ <= now;
    bool shouldEject = !load.ejections_ && load.consecutiveFailures_ >= consecutiveFailuresToEject && mayEject(table, targets);
    if (!isFailedProbe && !shouldEject)
        return;
    load.avoidUntil_ = now + baseEjectionTime * (1 << std::min(load.ejections_, maxEjectionDoublings));
    ++load.ejections_;
    ++ejections_;
}

} // namespace Lagoonpick
