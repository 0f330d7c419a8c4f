#pragma once

#include "Lagoonpick/Core/Incarnation.h"
#include "Lagoonpick/Job/JobRequest.h"

#include <map>
#include <set>

namespace Lagoonpick {

/// One task of a job that an entry holds.
struct JobTask {
    /// Number of returns for lack of room after which a task waits for room where it is placed.
    static constexpr std::uint32_t maxBounces = 3;
    /// Maximum number of moves, each of which discards work. A task that stalls after that many moves is slow itself.
    static constexpr std::uint32_t maxMoves = 2;

    bool isDone_ { false };
    /// The current run; 0 if the task is done or waits to be placed.
    std::uint64_t run_ { 0 };
    /// The agent of the last start.
    Incarnation agent_;
    /// Start number of the last run, or of the one before it if the last one never reached the target; 0 before the first.
    std::uint32_t number_ { 0 };
    /// Number of runs that may have reached a target.
    std::uint32_t starts_ { 0 };
    std::uint32_t failures_ { 0 };
    /// How often the task was returned for lack of room, counted up to `maxBounces`.
    std::uint32_t bounces_ { 0 };
    /// How often the task was moved away from a slow target.
    std::uint32_t moves_ { 0 };
    /// True while the current run is being stopped so that the task can be started elsewhere.
    bool isMoving_ { false };
    /// Agents on which a run stalled, did not start or did not succeed; the task goes to others while there are any.
    std::set<Incarnation> avoided_;

    bool waitsForPlace() const { return !isDone_ && !run_; }
};

/// A job that an entry holds until it is answered.
struct HeldJob {
    JobRequest request_;
    QueueRule queue_;
    std::vector<CallerId> callers_;
    Time arrivedAt_;
    /// When the job should end: its objective less the overhead of the settings.
    Time due_;
    /// When the job is given up so that the answer reaches its first caller in time.
    Time deadline_;
    /// Expected run time of a task at a slowdown of 1.
    Duration work_ {};
    /// A task hardly ever takes less.
    Duration shortestWork_ {};
    /// Sum of the actual run times of its tasks that are done, each as on a target of slowdown 1.
    Duration doneWork_ {};
    std::vector<JobTask> tasks_;
    std::uint32_t doneCount_ { 0 };
    /// True once a run has ended that began or may have begun.
    bool hasBegun_ { false };
    /// True once no more tasks are started and the answer waits for the ends of the runs being stopped.
    bool isRecalled_ { false };
    Time recalledAt_;
    /// Why the job was recalled.
    JobFailureReason failureReason_ { JobFailureReason::None };
};

} // namespace Lagoonpick
