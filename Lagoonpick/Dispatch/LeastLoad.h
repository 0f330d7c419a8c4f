#pragma once

#include "Lagoonpick/Dispatch/TargetPolicy.h"

namespace Lagoonpick {

/// Chooses the open target with the fewest tasks. A baseline: ignores the speed of targets, and its cost is linear in
/// the number of targets.
class LeastLoad {
public:
    std::optional<TargetIndex> choose(const PolicyInput&) const;
};

static_assert(TargetPolicy<LeastLoad>);

} // namespace Lagoonpick
