#pragma once

#include "Lagoonpick/Core/Time.h"

#include <map>
#include <string>

namespace Lagoonpick {

/// Tracks the share of each queue's jobs that was rejected recently, so that all queues of a service can bear the same share.
///
/// Handles the load pattern of a burst beyond capacity: the jobs that must end soonest are the first for which the wait is too
/// long, so that without this class they alone would be rejected, in favour of jobs that can wait.
/// Not thread-safe.
class RejectionShares {
public:
    /// Records that a job was accepted or rejected.
    void record(const std::string& service, const std::string& queue, bool isRejected, Time now);

    /// Returns how far the queue's share of rejected jobs lies below the highest share of its service. This is the share of
    /// its jobs that the queue should reject in favour of the other queues.
    double shortfall(const std::string& service, const std::string& queue, Time now) const;

private:
    /// Exponentially decaying counts of one queue's jobs, as of `updatedAt_`.
    struct QueueCounts {
        double offered_ { 0 };
        double rejected_ { 0 };
        Time updatedAt_;
        double rejectedShare(Time now) const;
    };
    std::map<std::string, std::map<std::string, QueueCounts>> services_;
};

} // namespace Lagoonpick
