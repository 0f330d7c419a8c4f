#pragma once

#include "Lagoonpick/Transport/MessageHub.h"
#include "Lagoonpick/Wire/RunMessageCodec.h"

/// Settings and callbacks shared by both ends of the links between job entries and run agents.
namespace Lagoonpick {

/// Longest suspension of a process after which its state, and the messages that were buffered meanwhile, still count as current.
/// Less than the time after which either end gives up the other's runs.
inline constexpr Duration maxSuspension = std::chrono::milliseconds(400);

/// The limits of links, for what all links together may hold in either direction.
inline LinkLimits makeRunLinkLimits(std::uint64_t maxHeldBytes = 33'554'432)
{
    LinkLimits limits;
    limits.maxHeldBytes_ = maxHeldBytes;
    limits.maxUnsentBytes_ = maxHeldBytes;
    limits.maxLinks_ = 2000;
    limits.maxBufferedBytes_ = 4'194'304;
    limits.maxReconnectDelay_ = std::chrono::milliseconds(250);
    limits.handshakeTimeout_ = std::chrono::milliseconds(500);
    return limits;
}

/// Callbacks that pass the events of links to a decision core. `beginInput` is called before each event and returns the current
/// time; `scheduleTick` is called after it and schedules a tick, which applies the core's effects. `reject` is told of frames that
/// can't be decoded.
template <typename Core, typename BeginInput, typename ScheduleTick, typename Reject>
MessageEvents<Wire::RunMessage> makeRunLinkEvents(Core& core, BeginInput beginInput, ScheduleTick scheduleTick, Reject reject)
{
    return {
        [&core, beginInput, scheduleTick](LinkId link) {
            core.linkOpened(link, beginInput());
            scheduleTick();
        },
        [&core, beginInput, scheduleTick](LinkId link) {
            core.linkClosed(link, beginInput());
            scheduleTick();
        },
        [&core, beginInput, scheduleTick](LinkId link, const std::vector<Wire::RunMessage>& messages) {
            Time now = beginInput();
            for (const auto& message : messages)
                core.receive(link, message, now);
            scheduleTick();
        },
        reject
    };
}

} // namespace Lagoonpick
