#include "Lagoonpick/Run/TargetState.h"

#include <utility>

namespace Lagoonpick {

TargetState::Change TargetState::update(const TargetHeartbeat& heartbeat)
{
    if (heartbeat.incarnation_ == incarnation()) {
        if (heartbeat.sequence_ <= heartbeat_.sequence_)
            return Change::None;
        // Draining can't be undone within an incarnation. A notice of departure is: it names no incarnation, and a target that has
        // left sends no heartbeats.
        isDrainReported_ = isDrainReported_ || heartbeat.isDraining_;
        heartbeat_ = heartbeat;
        heartbeat_.isDraining_ = isDrainReported_;
        isStale_ = false;
        return Change::Updated;
    }
    if (incarnation().isValid() && !isAbsent_) {
        claim_ = heartbeat;
        return Change::Claim;
    }
    adopt(heartbeat);
    return Change::NewIncarnation;
}

bool TargetState::confirm(std::uint64_t startedAt)
{
    isAbsent_ = false;
    bool isClaimed = claim_ && claim_->incarnation_.id_ == incarnation().id_ && (!startedAt || claim_->incarnation_.startedAt_ == startedAt);
    if (isClaimed)
        return acceptClaim();
    if (!startedAt || startedAt == incarnation().startedAt_)
        return false;
    heartbeat_.incarnation_.startedAt_ = startedAt;
    heartbeat_.sequence_ = 0;
    heartbeat_.isDraining_ = false;
    heartbeat_.coldLeft_ = Duration();
    isDrainReported_ = false;
    isStale_ = true;
    clock_.reset();
    return true;
}

bool TargetState::handleAbsence()
{
    isAbsent_ = !acceptClaim();
    return !isAbsent_;
}

bool TargetState::acceptClaim()
{
    if (!claim_)
        return false;
    adopt(*std::exchange(claim_, std::nullopt));
    return true;
}

void TargetState::adopt(const TargetHeartbeat& heartbeat)
{
    heartbeat_ = heartbeat;
    isDrainReported_ = heartbeat.isDraining_;
    isAbsent_ = false;
    isStale_ = false;
    clock_.reset();
}

void TargetState::handleDeparture(const std::string& id)
{
    if (id == incarnation().id_)
        heartbeat_.isDraining_ = true;
}

void TargetState::updateClock(std::int64_t clock, Time now)
{
    // The latest answer counts, even if it is below the estimate: the target's clock may be the slower one, and an
    // estimate that is too low only shortens a lease.
    clock_ = clock;
    clockSeenAt_ = now;
}

std::optional<std::int64_t> TargetState::clockAt(Time now) const
{
    if (!clock_)
        return std::nullopt;
    return *clock_ + std::chrono::duration_cast<std::chrono::milliseconds>(now - clockSeenAt_).count();
}

} // namespace Lagoonpick
