#pragma once

#include "Lagoonpick/Dispatch/TargetPolicy.h"

namespace Lagoonpick {

/// Chooses the target with fewer tasks of two drawn at random (with replacement). A baseline: ignores the speed of
/// targets.
class TwoChoices {
public:
    std::optional<TargetIndex> choose(const PolicyInput&) const;
};

static_assert(TargetPolicy<TwoChoices>);

} // namespace Lagoonpick
