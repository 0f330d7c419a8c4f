#pragma once

#include "Lagoonpick/Core/Time.h"

namespace Lagoonpick {

/// The lease duration and timeouts that entries and agents must agree on so that no two runs of one task overlap. Both
/// derive them from the same three limits.
struct LeaseTiming {
    /// The longest lease that a target grants: whatever a call asks for that carries a time of its former incarnation's clock.
    Duration maxLease_ { std::chrono::milliseconds(1000) };
    /// How long a run continues without a renewal. Spans several renewals, so that a single lost one does no harm.
    Duration lease_ { std::chrono::milliseconds(700) };
    /// Maximum time that a target takes to stop a run; a stop without an answer is repeated after it.
    Duration stopTimeout_ { std::chrono::milliseconds(50) };
    /// An agent stops the runs of an entry, and extends no lease while one of them may be on the target, once the latest of its
    /// messages that the entry has confirmed was sent this long ago.
    Duration entryTimeout_ { std::chrono::milliseconds(500) };
    /// Nothing that an entry started at an agent is running this long after the entry received the latest of the agent's messages
    /// that it confirmed. No longer than a caller waits before it sends its job to another entry.
    Duration orphanTimeout_ { std::chrono::milliseconds(1300) };
    bool operator==(const LeaseTiming&) const = default;

    /// Derives the times from the longest lease that a target grants, the maximum time that it takes to stop a run, and
    /// the interval after which a caller without an answer sends its job again.
    static LeaseTiming derive(Duration maxLease, Duration stopTimeout, Duration resendInterval);
};

} // namespace Lagoonpick
