#pragma once

#include "Lagoonpick/Core/Incarnation.h"
#include "Lagoonpick/Wire/Resources.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The messages between the entries that hold jobs and the agents that run their tasks under leases. Plain values.
namespace Lagoonpick::Wire {

/// Both sides of a link must speak the same version.
constexpr std::uint32_t runProtocolVersion = 1;

/// How a run ended.
enum class RunEnd : std::uint8_t {
    Done,
    /// The task failed, through its own fault or the target's.
    Failed,
    /// It was stopped or its lease expired.
    Stopped,
    /// It began, and what became of it is not known; it runs no more.
    Lost,
    /// It never began and never will.
    NotStarted,
};

/// Why a run never began.
enum class NotStartedReason : std::uint8_t {
    None,
    /// There was no room in the time that it could wait.
    NoRoom,
    Draining,
    TargetUnavailable,
    /// The target has seen this run's number, or a higher one.
    OldNumber,
    /// The target rejected it as unhealthy or full.
    Rejected,
    /// The target did not answer the start in time; the start was revoked.
    Unanswered,
    Recalled,
    /// The agent does not know of it.
    Unknown,
};

/// As logs name them.
std::string_view nameOf(RunEnd end);
std::string_view nameOf(NotStartedReason reason);

/// Opens a link: who the entry is.
struct EntryHello {
    std::uint32_t version_ { runProtocolVersion };
    Incarnation incarnation_;
    std::string name_;
    std::string availabilityZone_;
    /// Where agents reach this entry.
    std::string address_;
    bool operator==(const EntryHello&) const = default;
};

/// Opens a link: who the agent is.
struct AgentHello {
    std::uint32_t version_ { runProtocolVersion };
    Incarnation incarnation_;
    std::string name_;
    std::string availabilityZone_;
    bool operator==(const AgentHello&) const = default;
};

/// Says that its sender lives.
struct Pulse {
    std::uint64_t configurationVersion_ { 0 };
    /// From an entry: the last end of a run that it has seen on any of its links to this agent.
    std::uint64_t endsSeen_ { 0 };
    bool operator==(const Pulse&) const = default;
};

/// The operators' configuration as it was published; passed on to whoever has an older one.
struct ConfigurationCopy {
    std::uint64_t version_ { 0 };
    std::string text_;
    bool operator==(const ConfigurationCopy&) const = default;
};

/// The entries that the sender knows of, by address.
struct EntryAddresses {
    std::vector<std::string> addresses_;
    bool operator==(const EntryAddresses&) const = default;
};

/// Asks an agent to run a task.
struct StartRun {
    /// Unique among the entry's runs, rising.
    std::uint64_t run_ { 0 };
    /// The task's name, as targets know it.
    std::string task_;
    /// How often the task was started, with this one.
    std::uint32_t number_ { 1 };
    std::string payload_;
    Resources need_;
    /// How long the task is expected to take on a target of slowness 1.
    std::uint64_t workMicroseconds_ { 0 };
    /// How long the task may wait for room; 0 if it is to be returned at once should there be none.
    std::uint64_t waitMicroseconds_ { 0 };
    /// When the task should have ended, from now on; negative if that is past.
    std::int64_t dueInMicroseconds_ { 0 };
    /// How long its caller still waits for the whole job.
    std::uint64_t patienceMicroseconds_ { 0 };
    bool operator==(const StartRun&) const = default;
};

/// Asks an agent to stop a run, or not to begin it.
struct StopRun {
    std::uint64_t run_ { 0 };
    bool operator==(const StopRun&) const = default;
};

/// Asks what became of a run after a link was lost. An agent that does not know it never starts it.
struct QueryRun {
    std::uint64_t run_ { 0 };
    bool operator==(const QueryRun&) const = default;
};

/// The end of a run.
struct RunEnded {
    /// Rises by one with each end that the agent tells this entry.
    std::uint64_t sequence_ { 0 };
    std::uint64_t run_ { 0 };
    RunEnd end_ { RunEnd::Lost };
    NotStartedReason reason_ { NotStartedReason::None };
    std::uint64_t tookMicroseconds_ { 0 };
    bool operator==(const RunEnded&) const = default;
};

/// A run makes no progress, or hardly any, compared with what was expected.
struct RunStalled {
    std::uint64_t run_ { 0 };
    /// How long it would still take at its present pace.
    std::uint64_t remainingMicroseconds_ { 0 };
    bool operator==(const RunStalled&) const = default;
};

/// What an agent's target is and how busy it is.
struct TargetReport {
    /// False while nothing can be started there.
    bool isOpen_ { false };
    /// Failed what it ran of late; worth a single task as a probe.
    bool isSuspect_ { false };
    std::string service_;
    std::vector<std::string> labels_;
    Resources capacity_;
    /// What runs or is being stopped.
    Resources used_;
    /// What waits at the agent.
    Resources queued_;
    /// How many thousandths of the expected time tasks take.
    std::uint64_t slownessPermille_ { 1000 };
    /// How long a task that comes now would wait for room, by what runs and waits there.
    std::uint64_t backlogMicroseconds_ { 0 };
    /// How long runs took of late.
    std::uint64_t typicalMicroseconds_ { 0 };
    /// The highest of this entry's runs that `used_` and `queued_` take account of.
    std::uint64_t seenRun_ { 0 };
    bool operator==(const TargetReport&) const = default;
};

using RunMessage = std::variant<EntryHello, AgentHello, Pulse, ConfigurationCopy, EntryAddresses, StartRun, StopRun, QueryRun,
    RunEnded, RunStalled, TargetReport>;

} // namespace Lagoonpick::Wire
