#pragma once

#include "Lagoonpick/Core/Incarnation.h"
#include "Lagoonpick/Run/RunTimes.h"

#include <string>

namespace Lagoonpick {

/// What an agent that runs tasks under leases is told at start.
struct RunSettings {
    std::string name_;
    std::string availabilityZone_;
    Incarnation incarnation_;
    /// The first fencing token; higher than those of earlier lives unless the clock was set back.
    std::uint64_t fencingToken_ { 1 };

    RunTimes times_;
    /// How long a renewal waits for news: a tenth of the lease.
    Duration renewalWait_ { std::chrono::milliseconds(70) };
    /// How long the target may take over an answer, beyond the wait. An answer takes a few milliseconds; the next
    /// renewal makes up for one that was late, not lost.
    Duration answerTimeout_ { std::chrono::milliseconds(50) };
    /// How often an agent says that it lives: a fifth of the entry's timeout.
    Duration pulseInterval_ { std::chrono::milliseconds(100) };
    /// The least time between two reports to one entry.
    Duration reportInterval_ { std::chrono::milliseconds(20) };
    /// How long ends are kept for an entry that is away: longer than entries wait for a lost link.
    Duration sessionLifetime_ { std::chrono::seconds(10) };
    std::uint32_t maxQueued_ { 4096 };
};

} // namespace Lagoonpick
