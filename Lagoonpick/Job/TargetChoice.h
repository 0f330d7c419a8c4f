#pragma once

#include "Lagoonpick/Core/Time.h"
#include "Lagoonpick/Wire/RunMessage.h"

namespace Lagoonpick {

/// What an entry expects of a target for one task. The load pattern it answers: targets of unequal size and speed,
/// many entries that place at once, and a job that is as late as its last task.
struct TargetOutlook {
    /// How long until there is room.
    Duration wait_ {};
    Duration run_ {};
    Duration finish() const { return wait_ + run_; }
};

/// What is known of a target's load when a task is to be placed.
struct TargetLoadView {
    Wire::Resources capacity_;
    /// What runs, waits, and is on its way there.
    Wire::Resources committed_;
    double slowness_ { 1 };
    /// The part of `committed_` that the target's backlog does not know of yet.
    Wire::Resources unseen_;
    /// How long a task would wait by what the target knows of.
    Duration backlog_ {};
    /// How long its runs take; zero if none has ended yet.
    Duration typicalTime_ {};
};

/// When a task that takes `work` on a target of slowness 1 would begin and end there.
TargetOutlook expectOn(const TargetLoadView& target, const Wire::Resources& need, Duration work);

} // namespace Lagoonpick
