#pragma once

#include "Lagoonpick/Core/Incarnation.h"
#include "Lagoonpick/Wire/Resources.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The messages between job entries and the agents that run their tasks under leases. All are plain values.
namespace Lagoonpick::Wire {

/// Protocol version; must be the same at both ends of a link.
constexpr std::uint32_t runProtocolVersion = 6;

/// How a run ended.
enum class RunEnd : std::uint8_t {
    Done,
    /// The task failed, through a fault of the task or of the target.
    Failed,
    /// The run was stopped or its lease expired.
    Stopped,
    /// The run may have begun and its end is unknown; it no longer runs.
    Lost,
    /// The run never began and never will.
    NotStarted,
};

/// Why a run never began; `None` for a run that ended otherwise.
enum class NotStartedReason : std::uint8_t {
    None,
    /// The target had no room within the time that the run may wait, or the agent's queue was full.
    NoRoom,
    Draining,
    TargetUnavailable,
    /// The target has already received this start number of the task or a higher one.
    StaleStartNumber,
    /// The target rejected the start as unhealthy or overloaded, or because it could not read the request.
    Rejected,
    /// The target did not answer the start in time; the start was revoked.
    Unanswered,
    Recalled,
    /// The agent has no record of the run.
    Unknown,
    /// The agent's availability zone is evacuated, or the agent does not know yet whether it is.
    ZoneEvacuated,
};

/// Names as used in logs.
std::string_view nameOf(RunEnd end);
std::string_view nameOf(NotStartedReason reason);

/// The first message of an entry on a link; identifies the entry.
struct EntryHello {
    std::uint32_t version_ { runProtocolVersion };
    Incarnation incarnation_;
    std::string name_;
    std::string availabilityZone_;
    /// Link address of the entry, as `IP:port`.
    std::string address_;
    bool operator==(const EntryHello&) const = default;
};

/// The first message of an agent on a link; identifies the agent.
struct AgentHello {
    std::uint32_t version_ { runProtocolVersion };
    Incarnation incarnation_;
    std::string name_;
    std::string availabilityZone_;
    /// Where the agent listens for its target: only one process at a time can.
    std::string controlAddress_;
    /// Where the agent calls its target.
    std::string targetAddress_;
    /// When the agent sent this, in milliseconds of its own clock.
    std::uint64_t agentTime_ { 0 };
    bool operator==(const AgentHello&) const = default;
};

/// Shows that the sender is alive, and which versions of the configuration and of the evacuated zones it has.
struct RunHeartbeat {
    std::uint64_t configurationVersion_ { 0 };
    /// The highest `RunEnded::sequence_` that an entry has received from this agent, on any link; 0 from agents.
    std::uint64_t highestSeenEnd_ { 0 };
    /// From an agent: when it sent this, in milliseconds of its own clock. From an entry: the latest such time that it has received
    /// from this agent, 0 if none. So the agent knows of which moment the entry's message tells, however long it was on its way.
    std::uint64_t agentTime_ { 0 };
    /// `EvacuatedZones::revision_` of the set that the sender has; 0 if it has no set.
    std::uint64_t zonesRevision_ { 0 };
    bool operator==(const RunHeartbeat&) const = default;
};

/// Asks for the operators' configuration; answered if the receiver has a version newer than `version_`.
struct ConfigurationRequest {
    std::uint64_t version_ { 0 };
    bool operator==(const ConfigurationRequest&) const = default;
};

/// The operators' configuration as it was published; the answer to a `ConfigurationRequest`, or to the hello of an entry.
struct ConfigurationCopy {
    std::uint64_t version_ { 0 };
    std::string text_;
    bool operator==(const ConfigurationCopy&) const = default;
};

/// The availability zones that operators have evacuated. Sent to a peer that has an older set.
struct EvacuatedZones {
    /// A revision of the platform's store at which this was the complete set; 0: not known.
    std::uint64_t revision_ { 0 };
    /// In ascending order, without duplicates.
    std::vector<std::string> names_;
    bool operator==(const EvacuatedZones&) const = default;
};

/// Link addresses of entries that the receiving agent is to connect to, as `IP:port`.
struct EntryAddresses {
    std::vector<std::string> addresses_;
    bool operator==(const EntryAddresses&) const = default;
};

/// Asks an agent to run a task.
struct StartRun {
    /// Number of the run; unique and increasing among the runs of this incarnation of the entry.
    std::uint64_t run_ { 0 };
    /// Name of the task in calls to targets.
    std::string task_;
    /// Start number of the task: higher than that of every earlier start that may have reached a target.
    std::uint32_t number_ { 1 };
    std::string payload_;
    /// The target must serve this service and, unless empty, have this label. The agent checks both, since another target may have
    /// taken the place of the one that the entry chose.
    std::string service_;
    std::string requiredLabel_;
    Resources need_;
    /// Expected run time on a target with a slowdown of 1.
    std::uint64_t workMicroseconds_ { 0 };
    /// How long the run may wait for room. 0: the agent returns the run at once if there is no room, unless it expects room
    /// within a short time.
    std::uint64_t waitMicroseconds_ { 0 };
    /// Time from sending until the latest start with which the task is expected to end when its job is due; negative if that time
    /// is past. The agent starts queued runs of the same priority in this order.
    std::int64_t dueInMicroseconds_ { 0 };
    /// Priority of the job's queue; 0 comes first.
    std::uint32_t priority_ { 0 };
    /// How long the caller still waits for the whole job, from sending.
    std::uint64_t callerTimeoutMicroseconds_ { 0 };
    /// As in an entry's `RunHeartbeat`.
    std::uint64_t agentTime_ { 0 };
    bool operator==(const StartRun&) const = default;
};

/// Asks an agent to stop a run, or not to start it if it is still queued.
struct StopRun {
    std::uint64_t run_ { 0 };
    bool operator==(const StopRun&) const = default;
};

/// Asks for the end of a run after a link was lost. An agent that has no record of the run never starts it, and answers with
/// `NotStartedReason::Unknown`.
struct QueryRun {
    std::uint64_t run_ { 0 };
    bool operator==(const QueryRun&) const = default;
};

/// Reports the end of a run.
struct RunEnded {
    /// Increases by one with each end that the agent reports to this entry; starts at 1.
    std::uint64_t sequence_ { 0 };
    std::uint64_t run_ { 0 };
    RunEnd end_ { RunEnd::Lost };
    NotStartedReason reason_ { NotStartedReason::None };
    /// From sending the start to the target until the end; 0 if the run was never started.
    std::uint64_t durationMicroseconds_ { 0 };
    bool operator==(const RunEnded&) const = default;
};

/// Reports a run that makes little or no progress compared with its expected run time, or that is not expected to end before
/// its caller stops waiting.
struct RunStalled {
    std::uint64_t run_ { 0 };
    /// Expected remaining run time at the current progress rate.
    std::uint64_t remainingMicroseconds_ { 0 };
    /// What the task takes on a target of slowdown 1 by the run's progress, if its own work is the cause; 0 if the run is stuck or its target
    /// slow, so that a new run elsewhere is expected to take the expected time.
    std::uint64_t workMicroseconds_ { 0 };
    bool operator==(const RunStalled&) const = default;
};

/// How long a run is expected to wait for room that starts right after the queued runs up to this place in their order.
struct QueuedBacklog {
    std::uint32_t priority_ { 0 };
    /// As `StartRun::dueInMicroseconds_`, from the sending of the report.
    std::int64_t dueInMicroseconds_ { 0 };
    std::uint64_t waitMicroseconds_ { 0 };
    bool operator==(const QueuedBacklog&) const = default;
};

/// Describes an agent's target and how busy it is.
struct TargetReport {
    /// False while the target can't start any run.
    bool isOpen_ { false };
    /// True if runs of several jobs failed recently. Entries then send the target only single tasks, as probes.
    bool isSuspect_ { false };
    std::string service_;
    std::vector<std::string> labels_;
    Resources capacity_;
    /// Resources of the runs that are starting, running or being stopped.
    Resources used_;
    /// Resources of the runs that wait at the agent.
    Resources queued_;
    /// Ratio of actual to expected run time, in thousandths.
    std::uint64_t slowdownPermille_ { 1000 };
    /// Expected time that a run arriving now would wait for room if it came before all queued runs.
    std::uint64_t backlogMicroseconds_ { 0 };
    /// The same at places in the order of the queued runs, first to last: at each of them, or at some if there are many.
    std::vector<QueuedBacklog> queuedBacklogs_ {};
    /// Moving average of run times.
    std::uint64_t typicalMicroseconds_ { 0 };
    /// The highest run number of the receiving entry that `used_` and `queued_` take into account.
    std::uint64_t highestSeenRun_ { 0 };
    /// As in an agent's `RunHeartbeat`.
    std::uint64_t agentTime_ { 0 };
    bool operator==(const TargetReport&) const = default;
};

using RunMessage = std::variant<EntryHello, AgentHello, RunHeartbeat, ConfigurationRequest, ConfigurationCopy, EntryAddresses, StartRun, StopRun, QueryRun,
    RunEnded, RunStalled, TargetReport, EvacuatedZones>;

} // namespace Lagoonpick::Wire
