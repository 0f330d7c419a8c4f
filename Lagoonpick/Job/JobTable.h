#pragma once

#include "Lagoonpick/Core/Incarnation.h"
#include "Lagoonpick/Job/JobRequest.h"

#include <map>
#include <set>

namespace Lagoonpick {

/// One task of a job that an entry holds.
struct JobTask {
    /// How often a task is returned at once by targets that seemed to have room; then it waits where it is.
    static constexpr std::uint32_t maxBounces = 3;
    /// Each move throws work away: a task that stalls again after so many is slow itself.
    static constexpr std::uint32_t maxMoves = 2;

    bool isDone_ { false };
    /// The run that is under way; 0 if the task waits to be placed.
    std::uint64_t run_ { 0 };
    Incarnation agent_;
    /// Of the last start.
    std::uint32_t number_ { 0 };
    std::uint32_t failures_ { 0 };
    /// How often a target that seemed to have room had none.
    std::uint32_t bounces_ { 0 };
    /// How often it was taken from a target that had turned slow.
    std::uint32_t moves_ { 0 };
    /// Its run is being stopped to be started elsewhere.
    bool isMoving_ { false };
    /// The agents on which it did not work out.
    std::set<Incarnation> avoided_;
};

/// A job that an entry holds until it is answered.
struct HeldJob {
    JobRequest request_;
    QueueRule queue_;
    std::vector<CallerId> callers_;
    Time arrivedAt_;
    /// When it should have ended.
    Time due_;
    /// When its callers wait no more.
    Time deadline_;
    Duration work_ {};
    std::vector<JobTask> tasks_;
    std::uint32_t doneCount_ { 0 };
    /// Some task may have begun.
    bool hasBegun_ { false };
    /// Nothing more is started; the answer waits for the ends of the runs that were called back.
    bool isRecalled_ { false };
    Time recalledAt_;
    JobRefusal refusal_ { JobRefusal::None };
};

} // namespace Lagoonpick
