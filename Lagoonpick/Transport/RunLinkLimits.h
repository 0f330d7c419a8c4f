#pragma once

#include "Lagoonpick/Transport/FrameHub.h"

namespace Lagoonpick {

/// What the links between job entries and run agents allow, at either end.
inline LinkLimits runLinkLimits()
{
    LinkLimits limits;
    limits.maxLinks_ = 2000;
    limits.maxBufferedBytes_ = 4'194'304;
    limits.maxRedialDelay_ = std::chrono::milliseconds(250);
    limits.handshakeTimeout_ = std::chrono::milliseconds(500);
    return limits;
}

} // namespace Lagoonpick
