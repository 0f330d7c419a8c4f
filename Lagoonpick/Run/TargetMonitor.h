#pragma once

#include "Lagoonpick/Run/TargetCalls.h"

#include <string>

namespace Lagoonpick {

/// What an agent learns of its target from the runs that end there: how slow it is, and whether it fails all it runs.
///
/// Not thread-safe.
class TargetMonitor {
public:
    /// Takes in a run that ended as done. `work` is what it was expected to take on a target of slowness 1.
    void recordDone(Duration took, Duration work, Time now);

    /// Takes in how long a run took, or would have taken if it had not been stopped.
    void recordPace(Duration took, Duration work, Time now);

    /// Takes in a run that the target failed or rejected. Failures of one job count once: the job may be at fault.
    void recordFailure(std::string_view job);

    /// True from when the runs of several jobs have failed until most are done again.
    bool isSuspect() const { return isSuspect_; }

    /// How many times as long as expected runs took; what was seen long ago counts little.
    double slowness(Time now) const;
    Duration typicalTime() const { return Duration(static_cast<Duration::rep>(typicalMicroseconds_)); }

private:
    void noteSuspicion();

    double logSlowness_ { 0 };
    double samples_ { 0 };
    Time sampledAt_;
    double typicalMicroseconds_ { 0 };
    /// Of the newest ends; the failures of one job in a row count once.
    double failureShare_ { 0 };
    bool isSuspect_ { false };
    std::string lastFailedJob_;
};

} // namespace Lagoonpick
