#pragma once

#include "Lagoonpick/Run/TargetCalls.h"

namespace Lagoonpick {

/// An agent's view of the current incarnation of its target: its identity, whether it is draining, and its clock.
///
/// A heartbeat alone doesn't prove which target is at the agent's side: it may be late, or come from another writer. One that
/// names another incarnation than the known one is only a claim, until the answers at the target's address decide.
///
/// Not thread-safe.
class TargetState {
public:
    /// The effect of a heartbeat on this state.
    enum class Change : std::uint8_t {
        None,
        Updated,
        /// No target was known, or the known one is gone: this one is known from now on.
        NewIncarnation,
        /// Another incarnation than the known one. It is kept until it is accepted or dropped; later claims replace it.
        Claim,
    };

    /// Applies a heartbeat; ignores those overtaken by later ones of the same incarnation.
    Change update(const TargetHeartbeat& heartbeat);

    /// Applies an answer of the known target that names `startedAt` as its start time, 0 if none. Returns true if the target
    /// has restarted under its id; what the claim says of that incarnation is then known as well.
    bool confirm(std::uint64_t startedAt);

    /// Handles the answer that another target is at the address of the known one. If there is a claim, it is accepted.
    /// Returns true if a target is known afterwards.
    bool handleAbsence();

    /// Makes the claimed incarnation the known one; false if there is no claim.
    bool acceptClaim();
    void dropClaim() { claim_.reset(); }

    /// Handles a target's notice that it shuts down for good: from then on the target counts as draining. The notice may come from
    /// a former incarnation, so a later heartbeat of the known one that reports no drain undoes it.
    void handleDeparture(const std::string& id);

    /// Records the target's clock, in milliseconds, from an answer that arrives now.
    void updateClock(std::int64_t clock, Time now);

    /// Conservative estimate of the target's clock in milliseconds: the value in the last answer plus the time since its
    /// arrival, without the transit time. Empty before the first answer of the incarnation.
    std::optional<std::int64_t> clockAt(Time now) const;

    /// True from the answer that another target is there until a target is known again.
    bool isAbsent() const { return isAbsent_; }

    const TargetHeartbeat& heartbeat() const { return heartbeat_; }
    const TargetIncarnation& incarnation() const { return heartbeat_.incarnation_; }

    /// True if a heartbeat of the target's current incarnation is known and the target is not draining.
    bool acceptsRuns() const { return incarnation().isValid() && !heartbeat_.isDraining_ && !isStale_; }

private:
    void adopt(const TargetHeartbeat& heartbeat);

    TargetHeartbeat heartbeat_;
    /// True if a heartbeat of the known incarnation reported a drain.
    bool isDrainReported_ { false };
    /// The last heartbeat of another incarnation that is neither accepted nor dropped.
    std::optional<TargetHeartbeat> claim_;
    bool isAbsent_ { false };
    std::optional<std::int64_t> clock_;
    Time clockSeenAt_;
    /// True if an answer came from another incarnation than the last heartbeat.
    bool isStale_ { false };
};

} // namespace Lagoonpick
