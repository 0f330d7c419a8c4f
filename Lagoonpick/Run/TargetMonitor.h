#pragma once

#include "Lagoonpick/Run/TargetCalls.h"

#include <string>

namespace Lagoonpick {

/// Measures a target by its runs: its slowdown, and whether it fails everything that it runs.
///
/// Not thread-safe.
class TargetMonitor {
public:
    /// Records a run that ended as done. `work` is its expected run time on a target of slowdown 1.
    void recordDone(Duration took, Duration work, Time now);

    /// Records the time that a run took, or would have taken if it had not been stopped.
    void recordRunTime(Duration took, Duration work, Time now);

    /// Records a run that failed, was rejected or is stuck. Consecutive failures of one job count once: the job may be at
    /// fault.
    void recordFailure(std::string_view job);

    /// True once the runs of several jobs have failed, until most runs succeed again.
    bool isSuspect() const { return isSuspect_; }

    /// Ratio of measured to expected run time; returns to 1 as the measurements age.
    double slowdown(Time now) const;
    /// Moving average of the run time.
    Duration typicalTime() const { return Duration(static_cast<Duration::rep>(typicalMicroseconds_)); }

private:
    void updateSuspicion();

    /// Natural logarithm of the slowdown at `sampledAt_`.
    double logSlowdown_ { 0 };
    double samples_ { 0 };
    Time sampledAt_;
    double typicalMicroseconds_ { 0 };
    /// Weighted share of failures among the newest ends; consecutive failures of one job count once.
    double failureShare_ { 0 };
    bool isSuspect_ { false };
    std::string lastFailedJob_;
};

} // namespace Lagoonpick
