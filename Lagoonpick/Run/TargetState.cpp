#include "Lagoonpick/Run/TargetState.h"

namespace Lagoonpick {

TargetState::Change TargetState::update(const TargetHeartbeat& heartbeat)
{
    const TargetIncarnation& known = incarnation();
    const TargetIncarnation& reported = heartbeat.incarnation_;
    if (known.isValid() && reported.startedAt_ < known.startedAt_)
        return Change::None;
    bool isSame = reported == known;
    if (isSame && heartbeat.sequence_ <= heartbeat_.sequence_)
        return Change::None;
    // Draining can't be undone within an incarnation.
    bool isDraining = heartbeat.isDraining_ || (isSame && heartbeat_.isDraining_);
    bool isSameStart = isStale_ && reported.id_ == known.id_ && reported.startedAt_ == known.startedAt_;
    heartbeat_ = heartbeat;
    heartbeat_.isDraining_ = isDraining;
    isStale_ = false;
    if (isSame || isSameStart)
        return Change::Updated;
    clock_.reset();
    return Change::NewIncarnation;
}

bool TargetState::updateStartTime(std::uint64_t startedAt)
{
    if (!startedAt || !incarnation().isValid() || startedAt <= incarnation().startedAt_)
        return false;
    heartbeat_.incarnation_.startedAt_ = startedAt;
    heartbeat_.sequence_ = 0;
    heartbeat_.isDraining_ = false;
    isStale_ = true;
    clock_.reset();
    return true;
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
