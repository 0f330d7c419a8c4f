#pragma once

#include "Lagoonpick/Core/Time.h"
#include "Lagoonpick/Wire/RunMessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What an agent asks of the target beside it and what the target answers, free of any wire's names.
namespace Lagoonpick {

/// One life of a target: its id and when it began. A target may start again under its id.
struct TargetIncarnation {
    std::string id_;
    /// Unix milliseconds by the target's clock; 0 if it did not say.
    std::uint64_t bornAt_ { 0 };
    bool isValid() const { return !id_.empty(); }
    friend auto operator<=>(const TargetIncarnation&, const TargetIncarnation&) = default;
};

/// Names a run on a target: the task and how often it was started.
struct RunName {
    std::string task_;
    std::uint32_t number_ { 0 };
    /// The job that the task belongs to.
    std::string_view job() const { return std::string_view(task_).substr(0, task_.find('.')); }
    friend auto operator<=>(const RunName&, const RunName&) = default;
};

/// What a target says of itself at intervals.
struct TargetHeartbeat {
    TargetIncarnation incarnation_;
    /// Rises with each heartbeat of an incarnation.
    std::uint64_t sequence_ { 0 };
    std::string service_;
    std::string availabilityZone_;
    std::vector<std::string> labels_;
    Wire::Resources capacity_;
    bool isDraining_ { false };
};

/// A start to be sent. `call_` comes back with its reply.
struct StartCall {
    std::uint64_t call_ { 0 };
    RunName name_;
    std::string payload_;
    /// On the target's clock, in its milliseconds.
    std::int64_t leaseUntil_ { 0 };
    std::uint64_t fencingToken_ { 0 };
    std::string expectedTarget_;
};

/// How a target answered a call.
enum class CallAnswer : std::uint8_t {
    Accepted,
    /// A higher fencing token was used before.
    Fenced,
    /// The run's number is not higher than one that was started or stopped there.
    OldNumber,
    /// The lease was over when the call was carried out.
    Late,
    NoRoom,
    /// Unhealthy or overloaded; nothing was done.
    Rejected,
    /// Another incarnation answered.
    WrongTarget,
    /// The request was not understood.
    Malformed,
    /// Nothing came back; it may have been carried out, now or later.
    NoAnswer,
};

/// The end of a call that starts or stops a run.
struct CallReply {
    std::uint64_t call_ { 0 };
    CallAnswer answer_ { CallAnswer::NoAnswer };
    /// The target's clock in its milliseconds, if it said.
    std::optional<std::int64_t> clock_;
};

/// A stop to be sent. `call_` comes back with its reply.
struct StopCall {
    std::uint64_t call_ { 0 };
    RunName name_;
    std::uint64_t fencingToken_ { 0 };
    std::string expectedTarget_;
};

/// A lease renewal to be sent, which also asks what runs and what has ended.
struct LeaseCall {
    std::uint64_t call_ { 0 };
    /// Nothing: only look.
    std::optional<std::int64_t> leaseUntil_;
    std::uint64_t fencingToken_ { 0 };
    /// Ends up to this number are known and need not be listed again.
    std::uint64_t endsSeen_ { 0 };
    /// How long the answer may wait for an end.
    Duration wait_ {};
    std::string expectedTarget_;
};

/// A run that is on the target.
struct RunningRow {
    RunName name_;
    std::uint32_t percent_ { 0 };
};

/// A run that ended on the target.
struct EndedRow {
    std::uint64_t number_ { 0 };
    RunName name_;
    Wire::RunEnd end_ { Wire::RunEnd::Lost };
};

struct LeaseReply {
    std::uint64_t call_ { 0 };
    CallAnswer answer_ { CallAnswer::NoAnswer };
    std::optional<std::int64_t> clock_;
    /// 0 if the target did not say.
    std::uint64_t bornAt_ { 0 };
    std::vector<RunningRow> running_;
    std::vector<EndedRow> ended_;
};

} // namespace Lagoonpick
