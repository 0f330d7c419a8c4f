#pragma once

#include "Lagoonpick/Run/TargetCalls.h"

namespace Lagoonpick {

/// What an agent knows of the life of its target that is current: who it is, whether it leaves, what its clock says.
///
/// Not thread-safe.
class TargetState {
public:
    /// How a heartbeat changed what is known.
    enum class Change : std::uint8_t {
        None,
        Updated,
        /// Another life than the one before: nothing of before runs any more.
        NewIncarnation,
    };

    /// Takes in a heartbeat; those of earlier lives and those overtaken by later ones change nothing.
    Change update(const TargetHeartbeat& heartbeat);

    /// Takes in the birth that a lease answer tells; true if it is a later life than the known one.
    bool updateBirth(std::uint64_t bornAt);

    /// The target has said that it goes for good.
    void depart(const std::string& id);

    /// Takes in what the target's clock showed when an answer arrived.
    void updateClock(std::int64_t clock, Time now);

    /// What the target's clock shows now at the least; nothing before the first answer.
    std::optional<std::int64_t> clockAt(Time now) const;

    const TargetHeartbeat& heartbeat() const { return heartbeat_; }
    const TargetIncarnation& incarnation() const { return heartbeat_.incarnation_; }

    /// True if the target is known in this life of the agent and does not leave.
    bool takesWork() const { return incarnation().isValid() && !heartbeat_.isDraining_ && !isStale_; }

private:
    TargetHeartbeat heartbeat_;
    std::optional<std::int64_t> clock_;
    Time clockSeenAt_;
    /// The target was found to be a later life than the last heartbeat's.
    bool isStale_ { false };
};

} // namespace Lagoonpick
