#pragma once

#include "Lagoonpick/Run/TargetCalls.h"

#include <deque>

namespace Lagoonpick {

/// What an agent learns of its target from the runs that end there: how slow it is, and whether it fails all it runs.
///
/// Not thread-safe.
class TargetMonitor {
public:
    /// Takes in a run that ended as done. `work` is what it was expected to take on a target of slowness 1.
    void recordDone(Duration took, Duration work);

    /// Takes in a run that the target failed or rejected. Failures of one job count once: the job may be at fault.
    void recordFailure(std::string_view job);

    /// True while the last runs of several jobs all failed.
    bool isSuspect() const { return failedJobs_.size() >= suspectAfterJobs; }

    double slowness() const;
    Duration typicalTime() const { return Duration(static_cast<Duration::rep>(typicalMicroseconds_)); }

private:
    /// Jobs fail by their own fault now and then; this many different ones in a row do not.
    static constexpr std::size_t suspectAfterJobs = 3;

    double logSlowness_ { 0 };
    double samples_ { 0 };
    double typicalMicroseconds_ { 0 };
    std::deque<std::string> failedJobs_;
};

} // namespace Lagoonpick
