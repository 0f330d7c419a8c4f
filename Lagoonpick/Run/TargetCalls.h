#pragma once

#include "Lagoonpick/Core/Time.h"
#include "Lagoonpick/Wire/RunMessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The calls of an agent to its target and the target's answers, independent of the wire format.
namespace Lagoonpick {

/// Identifies one incarnation of a target by its id and start time. A target may restart under the same id.
struct TargetIncarnation {
    std::string id_;
    /// Start time in Unix milliseconds by the target's clock; 0 if unknown.
    std::uint64_t startedAt_ { 0 };
    bool isValid() const { return !id_.empty(); }
    friend auto operator<=>(const TargetIncarnation&, const TargetIncarnation&) = default;
};

/// Identifies a run on a target: the task and its start number, see `Wire::StartRun::number_`.
struct RunName {
    std::string task_;
    std::uint32_t number_ { 0 };
    /// The job that the task belongs to.
    std::string_view job() const { return std::string_view(task_).substr(0, task_.find('.')); }
    friend auto operator<=>(const RunName&, const RunName&) = default;
};

/// A target's periodic report about itself.
struct TargetHeartbeat {
    TargetIncarnation incarnation_;
    /// Rises with each heartbeat of an incarnation.
    std::uint64_t sequence_ { 0 };
    std::string service_;
    std::string availabilityZone_;
    std::vector<std::string> labels_;
    Wire::Resources capacity_;
    bool isDraining_ { false };
    /// How much longer the target is slow because it has begun only recently; zero if it is not.
    Duration coldLeft_ {};
};

/// A start to be sent to the target. The reply repeats `call_`.
struct StartCall {
    std::uint64_t call_ { 0 };
    RunName name_;
    std::string payload_;
    /// End of the lease in milliseconds by the target's clock.
    std::int64_t leaseUntil_ { 0 };
    std::uint64_t fencingToken_ { 0 };
    std::string expectedTarget_;
};

/// How a target answered a call.
enum class CallAnswer : std::uint8_t {
    Accepted,
    /// A higher fencing token was used before.
    Fenced,
    /// The start number does not exceed that of a run of the task that was already started or stopped there.
    StaleStartNumber,
    /// The lease had expired when the target handled the call.
    Late,
    NoRoom,
    /// The target is unhealthy or overloaded; it did nothing.
    Rejected,
    /// A target with another id than the expected one answered.
    WrongTarget,
    /// The target did not understand the request.
    Malformed,
    /// No answer arrived; the call may have been carried out, or may still be.
    NoAnswer,
};

/// The outcome of a call that starts or stops a run.
struct CallReply {
    std::uint64_t call_ { 0 };
    CallAnswer answer_ { CallAnswer::NoAnswer };
    /// The target's clock in milliseconds, if the answer contained it.
    std::optional<std::int64_t> clock_;
};

/// A stop to be sent to the target. The reply repeats `call_`.
struct StopCall {
    std::uint64_t call_ { 0 };
    RunName name_;
    std::uint64_t fencingToken_ { 0 };
    std::string expectedTarget_;
};

/// A lease renewal to be sent to the target, which also requests the lists of running and of ended runs.
struct LeaseCall {
    std::uint64_t call_ { 0 };
    /// End of the lease in milliseconds by the target's clock; empty to request the lists without extending the lease.
    std::optional<std::int64_t> leaseUntil_;
    std::uint64_t fencingToken_ { 0 };
    /// Ends up to this number have been received and need not be listed again.
    std::uint64_t highestSeenEnd_ { 0 };
    /// How long the target may hold back its answer until a run ends.
    Duration wait_ {};
    std::string expectedTarget_;
};

/// A run in a target's list of running ones.
struct RunningRow {
    RunName name_;
    /// Share of the work that is done, rounded down.
    std::uint32_t percent_ { 0 };
};

/// A run in a target's list of ended ones.
struct EndedRow {
    /// Number of this end; rises within an incarnation of the target.
    std::uint64_t number_ { 0 };
    RunName name_;
    Wire::RunEnd end_ { Wire::RunEnd::Lost };
};

/// The outcome of a lease renewal.
struct LeaseReply {
    std::uint64_t call_ { 0 };
    CallAnswer answer_ { CallAnswer::NoAnswer };
    /// The target's clock in milliseconds, if the answer contained it.
    std::optional<std::int64_t> clock_;
    /// Start time of the answering incarnation, as in `TargetIncarnation`; 0 if unknown.
    std::uint64_t startedAt_ { 0 };
    std::vector<RunningRow> running_;
    std::vector<EndedRow> ended_;
    /// True if a list may lack a run: a row could not be read, or there may be more ends than an answer holds. A run that is in
    /// neither list may still be running or have ended then.
    bool isPartial_ { false };
    /// True if a row of the running ones, or that whole list, could not be read: something may run that is not in `running_`.
    bool hasUnreadRuns_ { false };
};

} // namespace Lagoonpick
