#pragma once

#include "Lagoonpick/Core/Time.h"
#include "Lagoonpick/Wire/RunMessage.h"

namespace Lagoonpick {

/// Expected wait and run time of one task on a target. Handles the load pattern of targets that differ in size and speed,
/// of many entries that place tasks at once, and of jobs that end with their last task.
struct CompletionEstimate {
    /// Expected time until the target has room.
    Duration wait_ {};
    /// Expected run time on the target.
    Duration run_ {};
    /// Expected time from now to the task's end.
    Duration finish() const { return wait_ + run_; }
};

/// An entry's view of a target's load when a task of some priority is to be placed.
struct TargetLoadView {
    Wire::Resources capacity_;
    /// Resources of all tasks that run there, wait there or are in transit to it.
    Wire::Resources committed_;
    /// Ratio of a task's run time on the target to that on a reference target.
    double slowdown_ { 1 };
    /// The part of `committed_` that the target's report does not include yet and that starts before the task.
    Wire::Resources unseen_;
    /// Reported time that the task would wait for room.
    Duration backlog_ {};
    /// Typical time of the target's recent runs; zero if none has ended yet.
    Duration typicalTime_ {};
};

/// Estimates the wait and run time on the target for a task that takes `work` at a slowdown of 1.
CompletionEstimate estimateCompletion(const TargetLoadView& target, const Wire::Resources& need, Duration work);

} // namespace Lagoonpick
