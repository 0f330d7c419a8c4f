#pragma once

#include "Lagoonpick/Core/Incarnation.h"
#include "Lagoonpick/Core/SubmissionId.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The messages between the processes of the system. All are plain values. The `describe` overloads of MessageFields.h list
/// the fields of each message in wire order, for both the encoder and the decoder.
namespace Lagoonpick::Wire {

/// Protocol version; must be the same at both ends of a link.
constexpr std::uint32_t protocolVersion = 1;

/// The kind of process that sends a `Hello`.
enum class Role : std::uint8_t {
    Entry,
    Agent,
};

/// How a task ended. Every task of an answered job has one of these outcomes.
enum class TaskOutcome : std::uint8_t {
    Succeeded,
    Failed,
    NotRun,
    Unknown,
};

/// Why an agent refused a `Start`. Each reason guarantees that the attempt was not started and never will be.
enum class RefusalReason : std::uint8_t {
    /// The attempt had not arrived when the home sent a `Query` for it.
    NeverSeen,
    Fenced,
    Draining,
    QueueFull,
    Expired,
    Cancelled,
    Recalled,
    TargetUnreachable,
    UnknownService,
    LedgerFull,
};

/// The state of a task in an agent's ledger.
enum class Phase : std::uint8_t {
    Refused,
    Queued,
    Started,
    Done,
};

/// How busy a target is. Part of most messages from an agent.
struct Load {
    std::uint32_t slots_ { 0 };
    std::uint32_t running_ { 0 };
    std::uint32_t queued_ { 0 };
    bool isDraining_ { false };
    bool operator==(const Load&) const = default;
};

/// The first message in each direction on every link; identifies the sender.
struct Hello {
    std::uint32_t version_ { protocolVersion };
    Role role_ { Role::Entry };
    Incarnation incarnation_;
    /// Number of the agent's registration among the successive registrations of its target; see `Registration`. 0 for entries.
    std::uint64_t generation_ { 0 };
    std::string name_;
    std::string availabilityZone_;
    std::string service_;
    Load load_;
    bool operator==(const Hello&) const = default;
};

/// Shows that the sender is alive, and carries an agent's load.
struct Heartbeat {
    Load load_;
    /// Always 0: no process sets this field.
    std::uint64_t configurationRevision_ { 0 };
    bool operator==(const Heartbeat&) const = default;
};

/// Entry to agent: run this task. If the ledger has the task already, the agent answers with the task's state; only a refused
/// task can be started by a later attempt.
struct Start {
    TaskKey key_;
    std::uint32_t attempt_ { 0 };
    std::uint32_t taskCount_ { 0 };
    std::string service_;
    /// Time from sending until the task's job is due; negative if it is overdue. The agent starts the queued tasks of all entries
    /// in this order.
    std::int64_t dueInMicroseconds_ { 0 };
    std::uint32_t timeoutMilliseconds_ { 0 };
    std::string payload_;
    bool operator==(const Start&) const = default;
};

/// Agent to entry: the attempt was not started and never will be.
struct Refusal {
    TaskKey key_;
    std::uint32_t attempt_ { 0 };
    RefusalReason reason_ { RefusalReason::NeverSeen };
    Load load_;
    bool operator==(const Refusal&) const = default;
};

/// Agent to entry: the task has ended. Sent again on each new link until acknowledged, and in answer to `Query` or a repeated
/// `Start`.
struct Result {
    TaskKey key_;
    std::uint32_t attempt_ { 0 };
    TaskOutcome outcome_ { TaskOutcome::Unknown };
    std::uint32_t status_ { 0 };
    std::uint64_t runMicroseconds_ { 0 };
    std::string body_;
    Load load_;
    bool operator==(const Result&) const = default;
};

/// Entry to agent: the home has received the results of these tasks. One message acknowledges several results.
struct ResultAcks {
    std::vector<TaskKey> keys_;
    bool operator==(const ResultAcks&) const = default;
};

/// Entry to agent, after a link was lost: asks for the state of an attempt. If the attempt has not arrived, the agent records
/// a tombstone, which refuses the attempt should it still arrive.
struct Query {
    TaskKey key_;
    std::uint32_t attempt_ { 0 };
    bool operator==(const Query&) const = default;
};

/// Agent to entry: the task is queued or running. For an ended task the agent sends `Result`, for a refused one `Refusal`.
struct TaskState {
    TaskKey key_;
    std::uint32_t attempt_ { 0 };
    Phase phase_ { Phase::Queued };
    Load load_;
    bool operator==(const TaskState&) const = default;
};

/// Entry to agent: drop every queued task of the submission. Running tasks are not stopped.
struct Cancel {
    SubmissionId submission_;
    bool operator==(const Cancel&) const = default;
};

/// Entry to agent: drop every queued task of the sending entry, because the target has stalled.
struct Recall {
    bool operator==(const Recall&) const = default;
};

/// One attempt listed in `Dropped`.
struct DroppedTask {
    std::uint32_t task_ { 0 };
    std::uint32_t attempt_ { 0 };
    bool operator==(const DroppedTask&) const = default;
};

/// Agent to entry: these attempts were queued and will never be started.
struct Dropped {
    SubmissionId submission_;
    RefusalReason reason_ { RefusalReason::Cancelled };
    std::vector<DroppedTask> tasks_;
    Load load_;
    bool operator==(const Dropped&) const = default;
};

/// Entry to agent: drop the queued tasks of this incarnation of an entry, and refuse all its further starts.
struct Fence {
    Incarnation incarnation_;
    bool operator==(const Fence&) const = default;
};

/// Agent to entry: the agent accepts no further start from this incarnation.
struct FenceAck {
    Incarnation incarnation_;
    bool operator==(const FenceAck&) const = default;
};

/// Entry to agent: list the tasks that the ledger holds of this submission, whose home is fenced.
struct Collect {
    SubmissionId submission_;
    bool operator==(const Collect&) const = default;
};

/// One task listed in `Collected`.
struct CollectedTask {
    std::uint32_t task_ { 0 };
    Phase phase_ { Phase::Refused };
    TaskOutcome outcome_ { TaskOutcome::Unknown };
    std::uint32_t status_ { 0 };
    /// True if the task has ended and the agent still has the response body.
    bool isBodyKept_ { false };
    std::string body_;
    bool operator==(const CollectedTask&) const = default;
};

/// Agent to entry: every task of the submission that is queued, running or ended at this agent.
struct Collected {
    SubmissionId submission_;
    std::uint32_t taskCount_ { 0 };
    std::vector<CollectedTask> tasks_;
    bool operator==(const Collected&) const = default;
};

/// The operation that a caller requests.
enum class RequestKind : std::uint8_t {
    Submit,
    Fetch,
    CancelJob,
};

/// Entry to entry: a caller's request, forwarded to the home of its submission.
struct Forward {
    std::uint64_t request_ { 0 };
    RequestKind kind_ { RequestKind::Submit };
    SubmissionId submission_;
    std::uint32_t waitMilliseconds_ { 0 };
    std::string team_;
    std::string body_;
    bool operator==(const Forward&) const = default;
};

/// Entry to entry: the HTTP response to a forwarded request, for the forwarding entry to pass to the caller.
struct ForwardReply {
    std::uint64_t request_ { 0 };
    std::uint32_t status_ { 0 };
    std::uint32_t retryAfterSeconds_ { 0 };
    std::string body_;
    bool operator==(const ForwardReply&) const = default;
};

using Message = std::variant<Hello, Heartbeat, Start, Refusal, Result, ResultAcks, Query, TaskState, Cancel, Dropped,
    Fence, FenceAck, Collect, Collected, Forward, ForwardReply, Recall>;

/// Number of message kinds. A message's kind is the index of its type in `Message`.
constexpr std::size_t messageKindCount = std::variant_size_v<Message>;

/// Returns the name of a message kind, as used in state dumps and metrics.
std::string_view nameOfKind(std::size_t kind);

} // namespace Lagoonpick::Wire
