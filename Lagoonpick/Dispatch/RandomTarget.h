#pragma once

#include "Lagoonpick/Dispatch/TargetPolicy.h"

namespace Lagoonpick {

/// Draws one target at random and chooses it if it is open; else the task waits. A baseline.
class RandomTarget {
public:
    std::optional<TargetIndex> choose(const PolicyInput& input) const
    {
        TargetIndex index = input.randomCandidate();
        return input.isOpen(index) ? std::optional(index) : std::nullopt;
    }
};

static_assert(TargetPolicy<RandomTarget>);

} // namespace Lagoonpick
