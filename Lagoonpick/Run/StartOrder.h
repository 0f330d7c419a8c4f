#pragma once

#include "Lagoonpick/Core/Time.h"

#include <compare>
#include <cstdint>

namespace Lagoonpick {

/// The place of a queued run in the order in which runs start: those of a more urgent queue first, as its operators have it; among
/// equals the one with the least time left.
struct StartOrder {
    /// Priority of the run's queue; 0 comes first.
    std::uint32_t priority_ { 0 };
    /// Latest start with which the run is expected to end when its job is due.
    Time due_;
    auto operator<=>(const StartOrder&) const = default;
};

} // namespace Lagoonpick
