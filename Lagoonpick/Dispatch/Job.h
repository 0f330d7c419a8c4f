#pragma once

#include "Lagoonpick/Dispatch/RequestId.h"
#include "Lagoonpick/Dispatch/Submission.h"
#include "Lagoonpick/Wire/Message.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Lagoonpick {

/// Index of a target in the `TargetTable`.
using TargetIndex = std::uint32_t;
constexpr TargetIndex noTarget = UINT32_MAX;

/// Index of a service in `Home`.
using ServiceIndex = std::uint32_t;

/// Index of a job in the `JobTable`.
using JobIndex = std::uint32_t;
constexpr JobIndex noJob = UINT32_MAX;

/// The state of a task at its home.
enum class TaskStage : std::uint8_t {
    /// To be sent: no attempt yet, or the last one is proved not to have started.
    Pending,
    /// Handed to the transport for delivery to an agent, or reported by the agent as queued or running.
    Sent,
    /// Sent, but the link was closed or replaced before the agent reported the outcome.
    Unconfirmed,
    /// The outcome is final.
    Settled,
};

/// One task of a job, at its home.
struct Task {
    TaskStage stage_ { TaskStage::Pending };
    Wire::TaskOutcome outcome_ { Wire::TaskOutcome::NotRun };
    /// See `RunTimeModel::WorkClass`.
    std::uint8_t workClass_ { 0 };
    /// Number of the latest attempt, from 1; 0 before the first.
    std::uint32_t attempt_ { 0 };
    TargetIndex target_ { noTarget };
    /// Generation of the agent that the task was sent to; see `Registration`.
    std::uint64_t generation_ { 0 };
    std::uint32_t status_ { 0 };
    std::uint32_t timeoutMilliseconds_ { 0 };
    /// The payload until the task is settled, then the target's answer.
    std::string body_;
};

/// A caller's request that waits for a job to end, until `until_` at the latest.
struct Waiter {
    RequestId request_ {};
    Time until_;
};

/// A job at its home, from its acceptance until it is forgotten.
struct Job {
    SubmissionId id_;
    std::string team_;
    ServiceIndex service_ { 0 };
    /// Digest of the submitted body; distinguishes a resubmission from the reuse of an id.
    std::uint64_t digest_ { 0 };
    Time acceptedAt_;
    /// When the job is due; orders the jobs of a team, see `FairQueue`.
    Time due_;
    bool isEnded_ { false };
    /// Set once any task was sent.
    bool hasSentTask_ { false };
    /// Set once a task did not succeed, an agent's refusal ruled out a retry, the deadline passed or the caller cancelled.
    /// Tasks that have not started are not started any more.
    bool isStopping_ { false };
    /// No task before this index is pending.
    std::uint32_t nextPending_ { 0 };
    /// Number of tasks that are not settled.
    std::uint32_t unsettled_ { 0 };
    std::vector<Task> tasks_;
    std::vector<Waiter> waiters_;
    /// The JSON answer once the job has ended; empty if it was evicted to limit memory.
    std::string answer_;
    bool isAnswerKept_ { false };
};

} // namespace Lagoonpick
