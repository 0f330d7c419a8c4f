#pragma once

#include "Lagoonpick/Dispatch/TargetPolicy.h"

namespace Lagoonpick {

/// Chooses the target on which a task is expected to finish first, using learnt run times and reported load. Examines
/// a bounded number of candidates, so the cost of a decision does not grow with the number of targets.
class ExpectedFinish {
public:
    std::optional<TargetIndex> choose(const PolicyInput&) const;
};

static_assert(TargetPolicy<ExpectedFinish>);

} // namespace Lagoonpick
