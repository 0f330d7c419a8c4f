#pragma once

#include "Lagoonpick/Core/LinkId.h"
#include "Lagoonpick/Job/TargetChoice.h"

#include <map>
#include <optional>

namespace Lagoonpick {

/// What an entry knows of one life of an agent and of its target.
struct AgentRow {
    std::string name_;
    std::string availabilityZone_;
    /// Nothing while the link is down.
    std::optional<LinkId> link_;
    Time lastHeard_;
    Time linkLostAt_;
    Time nextPulse_;
    Time reportedAt_;
    Wire::TargetReport report_;
    std::uint64_t configurationVersion_ { 0 };
    std::uint64_t endsSeen_ { 0 };
    Time nextProbe_;
    /// Runs of this entry that the agent was asked for and has not told the end of, with what they need.
    std::map<std::uint64_t, Wire::Resources> runs_;

    bool isUsable() const { return link_ && report_.isOpen_; }

    /// The load with what is on its way there.
    TargetLoadView load() const;
};

/// The agents that an entry has links with, or had until just now.
using AgentTable = std::map<Incarnation, AgentRow>;

} // namespace Lagoonpick
