#pragma once

#include "Lagoonpick/Core/Time.h"
#include "Lagoonpick/Wire/Resources.h"

namespace Lagoonpick {

/// How much of its capacity a cold target is given. Handles the load pattern of targets that come back with empty caches and are slow for
/// some time: with all their room in use, all their tasks would be late.
class ColdStart {
public:
    /// Records how much longer the target with this capacity stays cold, by its heartbeat; zero if it is warm. Returns true if it was
    /// warm before.
    bool record(Duration coldLeft, const Wire::Resources& capacity, Time now);
    /// Records a run that ended as done. One that took about as long as expected makes room for another one.
    void recordDone(Duration took, Duration work, const Wire::Resources& need, Time now);

    bool isCold(Time now) const { return now < coldUntil_; }
    /// True if the time of a run that was started then tells how fast the target is now.
    bool isComparable(Time startedAt, Time now) const { return startedAt >= (isCold(now) ? coldSince_ : coldUntil_); }
    /// The part of the capacity that may be used now.
    Wire::Resources reduce(Wire::Resources capacity, Time now) const;

private:
    Time coldSince_;
    Time coldUntil_;
    std::uint32_t milliCores_ { 0 };
};

} // namespace Lagoonpick
