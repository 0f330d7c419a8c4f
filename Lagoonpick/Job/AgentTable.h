#pragma once

#include "Lagoonpick/Core/LinkId.h"
#include "Lagoonpick/Job/TargetChoice.h"
#include "Lagoonpick/Run/Backlog.h"

#include <map>
#include <optional>

namespace Lagoonpick {

/// What an entry keeps about a run that it started on an agent.
struct SentRun {
    Wire::Resources need_;
    StartOrder order_;
};

/// State that an entry keeps about one incarnation of an agent and about its target.
struct AgentRow {
    std::string name_;
    std::string availabilityZone_;
    /// As in the agent's hello.
    std::string controlAddress_;
    std::string targetAddress_;
    /// Empty while the link is down.
    std::optional<LinkId> link_;
    /// The link that the agent's latest hello came over.
    LinkId latestLink_ {};
    /// When the last message from the agent arrived.
    Time lastReceived_;
    /// The latest time by the agent's clock that a message of it carried, in milliseconds, and when that message was handled.
    std::uint64_t agentTime_ { 0 };
    Time agentTimeReceivedAt_;
    /// `agentTimeReceivedAt_` of the latest time that was sent back to the agent: the agent's leave to go on with the runs of this entry
    /// counts from before this.
    Time confirmedAt_;
    Time linkLostAt_;
    /// When a heartbeat was last sent to the agent.
    Time heartbeatSentAt_;
    /// When `report_` arrived.
    Time reportedAt_;
    Wire::TargetReport report_;
    /// As in `report_`.
    Backlog backlog_ { {}, {} };
    /// Highest sequence number of a run's end received from the agent.
    std::uint64_t highestSeenEnd_ { 0 };
    /// Earliest time at which a suspect target gets another task as a probe.
    Time nextProbe_;
    /// Runs that this entry started on the agent and whose end has not been received, by number.
    std::map<std::uint64_t, SentRun> runs_;

    bool isUsable() const { return link_ && report_.isOpen_; }

    /// True if `other` is an earlier incarnation of this agent, beside the same target. Then its process has ended: this one listens
    /// at its address, and greeted over a link that was opened after the other's. Incarnations don't tell the order of starts.
    bool isSuccessorOf(const AgentRow& other) const;

    /// Ratio of tasks' run time on the target to their expected run time.
    double slowdown() const;

    /// Resources of all tasks that run on the target, wait there or are in transit to it.
    Wire::Resources committed() const;

    /// Reported load plus the runs that the report does not include yet, as a task with this place in the order finds it.
    TargetLoadView load(const StartOrder& order) const;
};

/// Agents that an entry has a link with, or whose link was lost less than the orphan timeout ago.
using AgentTable = std::map<Incarnation, AgentRow>;

} // namespace Lagoonpick
