#pragma once

#include "Lagoonpick/Run/TargetCalls.h"

namespace Lagoonpick {

/// An agent's view of the current incarnation of its target: its identity, whether it is draining, and its clock.
///
/// Not thread-safe.
class TargetState {
public:
    /// The effect of a heartbeat on this state.
    enum class Change : std::uint8_t {
        None,
        Updated,
        /// A different incarnation: the runs of the previous one no longer exist.
        NewIncarnation,
    };

    /// Applies a heartbeat; ignores those of earlier incarnations and those overtaken by later ones.
    Change update(const TargetHeartbeat& heartbeat);

    /// Applies the start time from a lease answer; true if it belongs to a later incarnation than the known one.
    bool updateStartTime(std::uint64_t startedAt);

    /// Handles a target's notice that it shuts down for good: from then on the target counts as draining.
    void handleDeparture(const std::string& id);

    /// Records the target's clock, in milliseconds, from an answer that arrives now.
    void updateClock(std::int64_t clock, Time now);

    /// Conservative estimate of the target's clock in milliseconds: the value in the last answer plus the time since its
    /// arrival, without the transit time. Empty before the first answer of the incarnation.
    std::optional<std::int64_t> clockAt(Time now) const;

    const TargetHeartbeat& heartbeat() const { return heartbeat_; }
    const TargetIncarnation& incarnation() const { return heartbeat_.incarnation_; }

    /// True if a heartbeat of the target's current incarnation is known and the target is not draining.
    bool acceptsRuns() const { return incarnation().isValid() && !heartbeat_.isDraining_ && !isStale_; }

private:
    TargetHeartbeat heartbeat_;
    std::optional<std::int64_t> clock_;
    Time clockSeenAt_;
    /// True if a lease answer came from a later incarnation than the last heartbeat.
    bool isStale_ { false };
};

} // namespace Lagoonpick
