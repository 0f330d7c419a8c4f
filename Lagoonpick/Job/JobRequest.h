#pragma once

#include "Lagoonpick/Core/Time.h"
#include "Lagoonpick/Wire/RunMessage.h"

#include <cstdint>
#include <string>
#include <vector>

/// Types for the requests of callers and the rules of operators, independent of any wire format.
namespace Lagoonpick {

/// Identifies one caller's request within an entry; never reused.
enum class CallerId : std::uint64_t {};

/// A job as its caller submitted it: identical tasks that may run in parallel.
struct JobRequest {
    std::string id_;
    std::string host_;
    /// The path, which selects the queue.
    std::string path_;
    std::string payload_;
    std::uint32_t taskCount_ { 1 };
    /// Resources that each task needs.
    Wire::Resources need_;
    /// Label that the target must have; empty if any target will do.
    std::string requiredLabel_;
    /// Label of the rack that holds the job's data; empty if the rack does not matter.
    std::string rack_;
    /// Run time of a task as declared by the caller; a rough estimate.
    Duration estimate_ {};
    /// How long the caller waits for the answer to its request.
    Duration callerTimeout_ {};
    bool operator==(const JobRequest&) const = default;
};

/// A queue of the operators' configuration.
struct QueueRule {
    std::string name_;
    std::string host_;
    std::string prefix_;
    std::string service_;
    /// 0 is the highest priority.
    std::uint32_t priority_ { 0 };
    std::uint32_t maxAttempts_ { 1 };
    /// A job is due after its tasks' expected run time multiplied by this factor, plus `allowance_`.
    double slackFactor_ { 1 };
    Duration allowance_ {};
    bool operator==(const QueueRule&) const = default;
};

/// How a request for a job is answered.
enum class JobOutcome : std::uint8_t {
    Done,
    /// A task failed as often as its queue allows.
    Failed,
    Cancelled,
    /// No task of it has begun or ever will.
    Rejected,
    /// Accepted and given up before its end; none of its tasks runs any more by the time the caller may send it again.
    GivenUp,
    /// The configuration, confirmed recently, has no such queue.
    NoSuchQueue,
};

/// Why a job was not run to its end.
enum class JobFailureReason : std::uint8_t {
    None,
    NoConfiguration,
    NoTargets,
    /// The job is not expected to end while its caller waits, or the entry holds too many jobs.
    Overloaded,
    TooLarge,
    ShuttingDown,
    Unsupported,
    TargetsFailed,
    Deadline,
};

/// The answer to a caller.
struct JobAnswer {
    CallerId caller_ {};
    JobOutcome jobOutcome_ { JobOutcome::Rejected };
    JobFailureReason failureReason_ { JobFailureReason::None };
    /// How long the caller should wait before it tries again; zero if the answer is final or trying again is of no use.
    Duration retryAfter_ {};
    bool operator==(const JobAnswer&) const = default;
};

} // namespace Lagoonpick
