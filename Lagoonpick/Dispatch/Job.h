#pragma once

#include "Lagoonpick/Dispatch/RequestId.h"
#include "Lagoonpick/Dispatch/Submission.h"
#include "Lagoonpick/Wire/Message.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Lagoonpick {

/// A target's place in the `TargetTable`.
using TargetIndex = std::uint32_t;
constexpr TargetIndex noTarget = UINT32_MAX;

/// A service's place in `Home`.
using ServiceIndex = std::uint32_t;

/// A job's place in the `JobTable`.
using JobIndex = std::uint32_t;
constexpr JobIndex noJob = UINT32_MAX;

/// Where a task stands at its home.
enum class TaskStage : std::uint8_t {
    /// Not sent, or proved not to have started.
    Pending,
    /// Handed to the transport towards an agent.
    Sent,
    /// Sent, and the link was cut before the agent said what became of it.
    InDoubt,
    /// Its fate is final.
    Settled,
};

/// One task of a job, at its home.
struct Task {
    TaskStage stage_ { TaskStage::Pending };
    Wire::TaskOutcome outcome_ { Wire::TaskOutcome::NotRun };
    std::uint8_t workClass_ { 0 };
    std::uint32_t attempt_ { 0 };
    TargetIndex target_ { noTarget };
    /// Of the agent that the task was sent to.
    std::uint64_t generation_ { 0 };
    std::uint32_t status_ { 0 };
    std::uint32_t timeoutMilliseconds_ { 0 };
    /// The payload until the task is settled, then the target's answer.
    std::string body_;
};

/// A caller's request that waits for a job to end.
struct Waiter {
    RequestId request_ {};
    Time until_;
};

/// A job at its home, while it is remembered.
struct Job {
    SubmissionId id_;
    std::string team_;
    ServiceIndex service_ { 0 };
    std::uint64_t digest_ { 0 };
    Time acceptedAt_;
    /// Its place among its team's jobs; see `FairQueue`.
    Time due_;
    bool isEnded_ { false };
    bool hasSent_ { false };
    /// Set once a task failed, the deadline passed or the caller cancelled: what has not started stays unstarted.
    bool isStopping_ { false };
    std::uint32_t nextPending_ { 0 };
    std::uint32_t unsettled_ { 0 };
    std::vector<Task> tasks_;
    std::vector<Waiter> waiters_;
    /// The whole answer once the job has ended; empty if it was let go to save memory.
    std::string answer_;
    bool isAnswerKept_ { false };
};

} // namespace Lagoonpick
