#pragma once

#include "Lagoonpick/Core/Time.h"
#include "Lagoonpick/Wire/RunMessage.h"

#include <cstdint>
#include <string>
#include <vector>

/// What callers and operators hand to an entry that holds jobs, free of any wire's names.
namespace Lagoonpick {

/// Names one caller's request within an entry; never used again.
enum class CallerId : std::uint64_t {};

/// A job as its caller handed it in: equal tasks that may run side by side.
struct JobRequest {
    std::string id_;
    std::string host_;
    /// The path, which selects the queue.
    std::string path_;
    std::string payload_;
    std::uint32_t taskCount_ { 1 };
    Wire::Resources need_;
    /// A label that the target must have; empty for any.
    std::string requiredLabel_;
    /// The label of the rack where the job's data is; empty if it does not matter.
    std::string rack_;
    /// How long the caller says that a task takes; off by nearly half as a rule.
    Duration estimate_ {};
    /// How long the caller waits for the answer.
    Duration patience_ {};
    bool operator==(const JobRequest&) const = default;
};

/// One queue of the operators' configuration.
struct QueueRule {
    std::string name_;
    std::string host_;
    std::string prefix_;
    std::string service_;
    /// 0 comes first.
    std::uint32_t priority_ { 0 };
    std::uint32_t maxAttempts_ { 1 };
    /// A job should end within this many times its work, and `allowance_` more.
    double slackFactor_ { 1 };
    Duration allowance_ {};
    bool operator==(const QueueRule&) const = default;
};

/// How a request for a job is answered.
enum class JobVerdict : std::uint8_t {
    Done,
    /// A task failed as often as its queue allows.
    Failed,
    Cancelled,
    /// Not accepted; never runs.
    Rejected,
    /// Accepted and given up before its end; nothing of it runs any more when the caller may send it again.
    GivenUp,
    /// The newest configuration has no such queue.
    NoSuchQueue,
};

/// Why a job was not run to its end.
enum class JobRefusal : std::uint8_t {
    None,
    NoConfiguration,
    NoTargets,
    /// It would end too late to be of use.
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
    JobVerdict verdict_ { JobVerdict::Rejected };
    JobRefusal refusal_ { JobRefusal::None };
    /// When to come back; zero if it can't be told.
    Duration retryAfter_ {};
    bool operator==(const JobAnswer&) const = default;
};

} // namespace Lagoonpick
