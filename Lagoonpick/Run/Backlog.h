#pragma once

#include "Lagoonpick/Run/RunTable.h"

namespace Lagoonpick {

/// How long a task that arrives now would wait on a target: for what runs there, and for the queued runs that start before it.
class Backlog {
public:
    /// Assumes that the runs take as long as expected. `slowdown` is the ratio of run time on the target to expected run time.
    Backlog(const RunTable& runs, const Wire::Resources& capacity, double slowdown, Time now);

    /// The backlog that a target has reported at `reportedAt`.
    Backlog(const Wire::TargetReport& report, Time reportedAt);

    /// The wait of a task that starts before all queued ones.
    Duration firstWait() const { return firstWait_; }
    /// The wait of a task with this place in the order. If only some places are known, that at the last known one before it.
    Duration waitOf(const StartOrder& order) const;

    /// The backlog at some or all places, as a report sent at `now` gives it.
    std::vector<Wire::QueuedBacklog> report(Time now) const;

private:
    struct Place {
        StartOrder order_;
        /// The wait of a task that starts right after this one.
        Duration wait_ {};
    };

    Duration firstWait_ {};
    std::vector<Place> places_;
};

} // namespace Lagoonpick
