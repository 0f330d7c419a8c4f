#pragma once

#include "Lagoonpick/Transport/MessageHub.h"
#include "Lagoonpick/Wire/RunMessageCodec.h"

/// What the two ends of the links between job entries and run agents have in common.
namespace Lagoonpick {

/// A process that stood still for so long may act on news that is too old. Less than the time after which either end gives
/// up the other's runs.
inline constexpr Duration maxRunGap = std::chrono::milliseconds(400);

inline LinkLimits runLinkLimits()
{
    LinkLimits limits;
    limits.maxLinks_ = 2000;
    limits.maxBufferedBytes_ = 4'194'304;
    limits.maxRedialDelay_ = std::chrono::milliseconds(250);
    limits.handshakeTimeout_ = std::chrono::milliseconds(500);
    return limits;
}

/// Hands what happens on links to a decision core: `enter` tells the time before each input, `schedule` has the core's
/// effects carried out after it.
template <typename Core, typename Enter, typename Schedule>
MessageEvents<Wire::RunMessage> runLinkEvents(Core& core, Enter enter, Schedule schedule)
{
    return {
        [&core, enter, schedule](LinkId link) {
            core.linkOpened(link, enter());
            schedule();
        },
        [&core, enter, schedule](LinkId link) {
            core.linkClosed(link, enter());
            schedule();
        },
        [&core, enter, schedule](LinkId link, const std::vector<Wire::RunMessage>& messages) {
            Time now = enter();
            for (const auto& message : messages)
                core.receive(link, message, now);
            schedule();
        }
    };
}

} // namespace Lagoonpick
