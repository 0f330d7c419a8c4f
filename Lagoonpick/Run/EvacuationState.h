#pragma once

#include "Lagoonpick/Core/Time.h"
#include "Lagoonpick/Observability/EventLog.h"
#include "Lagoonpick/Wire/RunMessage.h"

namespace Lagoonpick {

/// The evacuated availability zones as far as a process knows them, and the rule by which newer knowledge replaces older.
///
/// A set of a higher revision replaces the present one; others are ignored, so that reads and messages may arrive late and in any order.
class EvacuationState {
public:
    /// Takes over a complete set that was read from the store; the names must be sorted. Returns true if the names changed or were
    /// unknown before.
    bool recordRead(Wire::EvacuatedZones read, Time now);
    /// The same for a set that another process sent.
    bool merge(const Wire::EvacuatedZones& received, Time now);

    bool isKnown() const { return set_.revision_ != 0; }
    bool contains(std::string_view zone) const;
    /// True if tasks may start in the zone: not while it is unknown whether the zone is evacuated.
    bool permitsStarts(std::string_view zone) const { return isKnown() && !contains(zone); }
    /// The set to pass on to processes that have an older one.
    const Wire::EvacuatedZones& set() const { return set_; }
    std::uint64_t revision() const { return set_.revision_; }
    /// When this process learned of the present names.
    Time changedAt() const { return changedAt_; }

private:
    bool replace(Wire::EvacuatedZones set, Time now);

    Wire::EvacuatedZones set_;
    /// Revision of the latest read that was applied. Not passed on while the names stay the same, because it rises with every write to
    /// the store.
    std::uint64_t confirmedRevision_ { 0 };
    Time changedAt_;
};

/// A log line about a change of the set. `source` is where the process learned of it.
LogLine describeChange(const EvacuationState& state, std::string_view source);
/// The zones with revision and age for operators, as a JSON object.
std::string dumpZones(const EvacuationState& state, Time now);

} // namespace Lagoonpick
