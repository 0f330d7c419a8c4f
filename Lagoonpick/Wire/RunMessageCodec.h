#pragma once

#include "Lagoonpick/Core/Error.h"
#include "Lagoonpick/Wire/RunMessage.h"

#include <span>
#include <string>

namespace Lagoonpick::Wire {

/// Codec for frames between job entries and the agents that run their tasks under leases.
struct RunCodec {
    using Message = RunMessage;
    static std::string encode(std::span<const Message> messages);
    static Outcome<std::vector<Message>> decode(const std::string& frame);
};

} // namespace Lagoonpick::Wire
