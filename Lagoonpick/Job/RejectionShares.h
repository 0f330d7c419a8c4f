#pragma once

#include "Lagoonpick/Core/Time.h"

#include <map>
#include <string>

namespace Lagoonpick {

/// How much of each queue's jobs was rejected of late, so that all queues of a service bear the same share.
///
/// Answers the load pattern of a burst over capacity: the jobs that must end soonest are the first for which the wait is too
/// long, so that without this they alone would be rejected, for the sake of those that can wait.
/// Not thread-safe.
class RejectionShares {
public:
    /// Takes in a job that was accepted or rejected.
    void record(const std::string& service, const std::string& queue, bool isRejected, Time now);

    /// How far the queue's share of rejected jobs lies below the highest of its service: the share of its jobs that it should
    /// give up for the others.
    double shortfall(const std::string& service, const std::string& queue, Time now) const;

private:
    struct Share {
        double offered_ { 0 };
        double rejected_ { 0 };
        Time updatedAt_;
        double share(Time now) const;
    };
    std::map<std::string, std::map<std::string, Share>> services_;
};

} // namespace Lagoonpick
