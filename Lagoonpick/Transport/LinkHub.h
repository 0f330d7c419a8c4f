#pragma once

#include "Lagoonpick/Transport/MessageHub.h"
#include "Lagoonpick/Wire/MessageCodec.h"
#include "Lagoonpick/Wire/OutgoingMessage.h"

namespace Lagoonpick {

/// Codec for the frames between the entries and agents of the system's own interface.
struct LinkCodec {
    using Message = Wire::Message;
    static std::string encode(std::span<const Message> messages) { return Wire::encode(messages); }
    static Outcome<std::vector<Message>> decode(const std::string& frame) { return Wire::decode(frame); }
};

using LinkEvents = MessageEvents<Wire::Message>;
using LinkHub = MessageHub<LinkCodec>;

} // namespace Lagoonpick
