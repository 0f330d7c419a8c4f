#pragma once

#include "Lagoonpick/Dispatch/TargetTable.h"

#include <algorithm>
#include <concepts>
#include <optional>
#include <random>
#include <span>

namespace Lagoonpick {

/// The random number generator of a decision core; seeded by its owner, so that runs are reproducible.
using Random = std::mt19937_64;

/// The input of a policy for one task.
struct PolicyInput {
    Time now_;
    const TargetTable& targets_;
    /// The targets that offer the task's service.
    std::span<const TargetIndex> candidates_;
    /// Expected work of this task, and mean work of all tasks, in microseconds on a target of slowdown 1.
    double expectedWork_ { 0 };
    double meanWork_ { 0 };
    /// Number of tasks of mean length that may wait at a target beyond its slots.
    std::uint32_t queueDepth_ { 0 };
    Random& random_;

    /// True if the task may be sent to this target now.
    bool isOpen(TargetIndex index) const
    {
        const TargetLoad& load = targets_.loadOf(index);
        if (!load.isUsable(now_))
            return false;
        // An ejected target whose pause has passed gets one probe task at a time.
        if (load.ejections_)
            return !load.outstanding_;
        // The load from other entries is as of the last report. An entry may always have a few tasks at a target:
        // results carry load reports, and an entry without tasks there would not learn of free slots in time.
        return load.outstanding_ < guaranteedTasks || load.busy() < load.slots_ + allowedQueueDepth();
    }

    /// Number of tasks that an entry may have at a target regardless of the load from other entries.
    static constexpr std::uint32_t guaranteedTasks = 2;

    /// The queue length at a target up to which this task may still be sent there. Larger for a long task, which
    /// finishes earlier in the queue of a fast target than in a slot of a slow one.
    std::uint32_t allowedQueueDepth() const
    {
        double relativeWork = meanWork_ > 0 ? std::clamp(expectedWork_ / meanWork_, 1.0, maxRelativeWork) : 1;
        return static_cast<std::uint32_t>(queueDepth_ * relativeWork);
    }

    /// Upper bound for the ratio of a task's expected work to the mean work.
    static constexpr double maxRelativeWork = 16;

    /// A candidate drawn uniformly, open or not.
    TargetIndex randomCandidate() const { return candidates_[random_() % candidates_.size()]; }
};

/// Chooses the target of one task, or returns nothing if the task has to wait. Requires at least one candidate.
template <typename Policy>
concept TargetPolicy = requires(const Policy policy, const PolicyInput& input)
{
    {
        policy.choose(input)
        } -> std::same_as<std::optional<TargetIndex>>;
};

} // namespace Lagoonpick
