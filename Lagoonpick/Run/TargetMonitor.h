#pragma once

#include "Lagoonpick/Run/SlowdownEstimate.h"
#include "Lagoonpick/Run/TargetCalls.h"

#include <deque>
#include <string>

namespace Lagoonpick {

/// Measures a target by its runs: its slowdown, and whether it fails or hangs most of what it runs.
///
/// Not thread-safe.
class TargetMonitor {
public:
    /// Records a run that ended as done. `work` is its expected run time on a target of slowdown 1; zero if the time that it took must not
    /// count to the slowdown.
    void recordDone(Duration took, Duration work, Time now);

    /// Records the time that a run took, or would have taken if it had not been stopped.
    void recordRunTime(Duration took, Duration work, Time now);

    /// Records a run that failed or was rejected. Consecutive failures of one job count once: the job may be at
    /// fault.
    void recordFailure(std::string_view job);

    /// Records a run that makes no progress. Two of different jobs make the target suspect: others may never end on it.
    void recordStuck(std::string_view job, Time startedAt);

    /// Forgets failed and stuck runs, which say nothing about another target.
    void resetFaults();

    /// True once runs of several jobs have failed or made no progress, until enough later runs are done.
    bool isSuspect() const { return isSuspect_; }

    /// What the latest ended runs show; returns to a slowdown of 1 as they age, and counts as that while there are few. The weights add up to
    /// the same sum always.
    std::vector<SlowdownSample> endedSamples(Time now) const;
    /// Moving average of the run time.
    Duration typicalTime() const { return Duration(static_cast<Duration::rep>(typicalMicroseconds_)); }

private:
    void recordFault(std::string_view job, double weight);
    void updateSuspicion();

    struct EndedRun {
        /// Natural logarithm of the ratio of measured to expected run time.
        double logRatio_;
        Time endedAt_;
    };

    /// The latest ended runs, oldest first.
    std::deque<EndedRun> endedRuns_;
    double samples_ { 0 };
    double typicalMicroseconds_ { 0 };
    /// Weighted share of failed and stuck runs among the newest; consecutive ones of one job count once.
    double failureShare_ { 0 };
    bool isSuspect_ { false };
    std::string lastFailedJob_;
    /// When the latest stuck run began: the success of a run that began before doesn't show that the target has recovered.
    Time stuckRunBegan_ { Time::min() };
};

} // namespace Lagoonpick
