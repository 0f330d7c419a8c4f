#pragma once

#include "Lagoonpick/Dispatch/Job.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lagoonpick {

/// Orders the waiting jobs of one service: weighted fair queuing between teams, earliest due time first between the
/// jobs of a team. The caller chooses the due times. A due time of the arrival plus a time that grows with the job's
/// size lets small jobs overtake a large one without starving any job.
///
/// Holds jobs, not tasks: the caller reads `front`, sends one task of that job and calls `serveFront`. Operations take
/// time logarithmic in the number of teams and in the jobs of a team. Not thread-safe.
class FairQueue {
public:
    /// Adds a job to the queue of its team. A job must not be in the queue twice.
    void push(const std::string& team, JobIndex job, Time due);

    /// The job to serve next; nothing if the queue is empty.
    std::optional<JobIndex> front() const;

    /// Charges the team of the front job for one task. Removes the job unless it `hasMore` tasks.
    void serveFront(bool hasMore);

    /// Removes the front job without charging its team; for a job that has no task left to send.
    void removeFront();

    /// Sets the share of a team relative to the others. `weight` must be positive; the default is 1. Has no effect on teams that
    /// share a place.
    void setWeight(const std::string& team, double weight);

    bool isEmpty() const { return order_.empty(); }

private:
    using TeamIndex = std::uint32_t;

    struct WaitingJob {
        Time due_;
        JobIndex job_;
        auto operator<=>(const WaitingJob&) const = default;
    };

    struct Team {
        double weight_ { 1 };
        /// Tasks served, each divided by the team's weight. The team with the smallest value is served next. Raised to
        /// `currentVirtualTime_` when an idle team gets a job.
        double virtualTime_ { 0 };
        std::set<WaitingJob> jobs_;
    };

    /// The sort key of a team in `order_`, which holds the teams with waiting jobs.
    struct TeamKey {
        double virtualTime_;
        TeamIndex team_;
        auto operator<=>(const TeamKey&) const = default;
    };

    TeamIndex findOrAdd(const std::string& team);
    void reorderFront(double cost, bool hasMore);

    std::vector<Team> teams_;
    boost::unordered_flat_map<std::string, TeamIndex> indexOf_;
    std::set<TeamKey> order_;
    /// The largest `virtualTime_` that a front team had before it was charged.
    double currentVirtualTime_ { 0 };
};

} // namespace Lagoonpick
