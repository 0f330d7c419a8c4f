#pragma once

#include "Lagoonpick/Dispatch/EntrySettings.h"
#include "Lagoonpick/Membership/PlatformView.h"
#include "Lagoonpick/Platform/PlatformRequest.h"

#include <map>
#include <optional>

namespace Lagoonpick {

/// Maintains the entries' table: adds this entry, fences entries whose lease has expired, advances the horizon, and removes
/// epochs and fences that are past the remembering window.
///
/// Compares the desired table with the one that was last read. A write whose answer was lost needs no special case, as the
/// next read shows whether it took effect. At most one write is in progress. Not thread-safe.
class MembershipManager {
public:
    MembershipManager(const EntrySettings& settings, Incarnation self);

    /// The write that is due now, if any. `isFresh` is true while a watch keeps `view` up to date.
    std::optional<CompareAndSwap> decide(Time now, const PlatformView& view, bool isFresh);

    /// Call when the write that `decide` returned last has ended.
    void writeEnded(Time now, WriteOutcome outcome);

    /// Makes `decide` fence this entry from now on and, unless it is the only member, remove it from the members. For an
    /// entry that is about to exit.
    void leave() { isLeaving_ = true; }

private:
    void observe(Time now, const PlatformView& view, bool isFresh);
    /// True if the lease of `entry` has been missing for a whole TTL; for this entry itself, if it is leaving.
    bool isLapsed(Time now, Incarnation entry) const;
    Time startOfNextEpoch(const Membership& table) const;
    Membership desiredTable(Time now, const PlatformView& view) const;
    std::vector<Member> desiredMembers(Time now, const PlatformView& view) const;
    void fenceRemovedMembers(Time now, Membership& table, const std::vector<Member>& members) const;
    void advanceHorizon(Time now, Membership& table) const;
    void removeExpired(Time now, Membership& table) const;
    /// How much later than the first member of the table this entry advances the horizon.
    Duration horizonDelay(const Membership& table) const;

    EntrySettings settings_;
    Incarnation self_;
    bool isLeaving_ { false };
    bool isWriting_ { false };
    /// Revision of the view that the last write was decided on; the next write needs a newer view. 0 after a write with
    /// unknown outcome.
    std::int64_t revisionAtWrite_ { 0 };
    /// End of the backoff after a write with unknown outcome.
    Time backoffEnd_;
    /// For each member without a live lease: since when its lease has been missing from fresh views.
    std::map<Incarnation, Time> missingSince_;
};

} // namespace Lagoonpick
