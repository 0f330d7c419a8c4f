#pragma once

#include "Lagoonpick/Core/LinkId.h"

namespace Lagoonpick::Wire {

/// A message and the link over which to send it.
template <typename Message>
struct Outgoing {
    LinkId link_;
    Message message_;
    bool operator==(const Outgoing&) const = default;
};

} // namespace Lagoonpick::Wire
