#pragma once

#include "Lagoonpick/Core/Incarnation.h"
#include "Lagoonpick/Run/LeaseTiming.h"

#include <string>

namespace Lagoonpick {

/// Start-up settings of a `RunAgentCore`, the state machine of an agent that runs tasks under leases.
struct RunAgentCoreSettings {
    std::string name_;
    std::string availabilityZone_;
    Incarnation incarnation_;
    /// The address that the target beside the agent sends its heartbeats to. Together with `targetAddress_` it tells entries an
    /// earlier incarnation of this agent from one on another instance, so both must be this instance's own.
    std::string controlAddress_;
    std::string targetAddress_;
    /// The first fencing token; exceeds those of earlier incarnations unless the clock was set back.
    std::uint64_t fencingToken_ { 1 };

    LeaseTiming times_;
    /// How long the target may hold back the answer to a renewal until a run ends: a tenth of the lease.
    Duration renewalWait_ { std::chrono::milliseconds(70) };
    /// Timeout of a renewal, in addition to `renewalWait_`. An answer takes a few milliseconds; the next renewal makes
    /// up for an answer that arrived too late.
    Duration answerTimeout_ { std::chrono::milliseconds(50) };
    /// Interval of heartbeats to an entry that has runs here.
    Duration heartbeatInterval_ { std::chrono::milliseconds(100) };
    /// Interval of heartbeats to an entry that has no runs here. An entry notices a lost agent only by them before it places
    /// work there, so that two of them must fit into the entry's link timeout.
    Duration idleHeartbeatInterval_ { std::chrono::milliseconds(200) };
    /// Minimum interval between two regular reports to one entry; grows with the number of entries.
    Duration reportInterval_ { std::chrono::milliseconds(20) };
    /// Time after an entry's last message for which its unconfirmed run ends are kept: longer than entries wait for a lost
    /// link.
    Duration sessionLifetime_ { std::chrono::seconds(10) };
    /// Number of entries that the agent attaches to. Bounds its links, heartbeats and reports; each entry gets this share of
    /// all agents.
    std::uint32_t maxEntries_ { 4 };
    /// Maximum number of runs that wait at the agent.
    std::uint32_t maxQueued_ { 4096 };
};

} // namespace Lagoonpick
