#pragma once

#include "Lagoonpick/Core/Time.h"

namespace Lagoonpick {

/// The times that entries and agents must agree on so that no two runs of one task overlap. Both derive them from the
/// same three limits.
struct RunTimes {
    /// How long a run goes on without a renewal. Room for several renewals, so that a lost one does no harm.
    Duration lease_ { std::chrono::milliseconds(700) };
    /// How long a target may take to stop a run.
    Duration stopTimeout_ { std::chrono::milliseconds(50) };
    /// An entry that an agent did not hear for so long has its runs stopped there.
    Duration entryTimeout_ { std::chrono::milliseconds(500) };
    /// How long after the last word with an agent nothing that an entry started there can run any more.
    Duration orphanTimeout_ { std::chrono::milliseconds(800) };
    bool operator==(const RunTimes&) const = default;

    /// Derives the times from the longest lease a target grants, the time it takes to stop a run, and the interval
    /// after which a caller that got no answer sends its job again.
    static RunTimes derive(Duration maxLease, Duration stopTimeout, Duration resendInterval);
};

} // namespace Lagoonpick
