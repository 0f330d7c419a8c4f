#pragma once

#include "Lagoonpick/Core/LinkId.h"

namespace Lagoonpick::Wire {

/// A message for the process at the other end of a link.
template <typename Message>
struct Outgoing {
    LinkId link_;
    Message message_;
    bool operator==(const Outgoing&) const = default;
};

} // namespace Lagoonpick::Wire
