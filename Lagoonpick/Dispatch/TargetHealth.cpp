#include "Lagoonpick/Dispatch/TargetHealth.h"

#include <algorithm>

namespace Lagoonpick {

namespace {

/// Consecutive failures after which a target is ejected.
constexpr std::uint32_t failuresToEject = 5;

/// Weight of the newest task in the moving average of failures.
constexpr double newestWeight = 1.0 / 128;

/// No target is ejected while the failure share of the service is this high: the tasks are the cause then, not a target.
constexpr double maxFleetFailureShare = 0.3;

/// At most one in this many targets is ejected at a time.
constexpr std::size_t ejectableShare = 3;

/// Time from an ejection to the first probe; doubles with each failed probe, `maxDoublings` times at most.
constexpr Duration firstPause = std::chrono::seconds(1);
constexpr std::uint32_t maxDoublings = 6;

} // namespace

bool TargetHealth::mayEject(const TargetTable& table, std::span<const TargetIndex> targets) const
{
    auto out = std::count_if(targets.begin(), targets.end(), [&](TargetIndex index) { return table.loadOf(index).ejections_ > 0; });
    return failureShare_ < maxFleetFailureShare && (static_cast<std::size_t>(out) + 1) * ejectableShare <= targets.size();
}

void TargetHealth::taskEnded(Time now, TargetTable& table, TargetIndex index, std::span<const TargetIndex> targets, bool hasSucceeded)
{
    TargetLoad& load = table.loadOf(index);
    if (!load.ejections_)
        failureShare_ += newestWeight * ((hasSucceeded ? 0 : 1) - failureShare_);
    if (hasSucceeded) {
        load.failuresInARow_ = 0;
        load.ejections_ = 0;
        return;
    }
    ++load.failuresInARow_;
    bool wasProbe = load.ejections_ > 0 && load.avoidUntil_ <= now;
    bool isFresh = !load.ejections_ && load.failuresInARow_ >= failuresToEject && mayEject(table, targets);
    if (!wasProbe && !isFresh)
        return;
    load.avoidUntil_ = now + firstPause * (1 << std::min(load.ejections_, maxDoublings));
    ++load.ejections_;
    ++ejections_;
}

} // namespace Lagoonpick
