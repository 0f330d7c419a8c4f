#pragma once

#include "Lagoonpick/Core/Error.h"
#include "Lagoonpick/Wire/RunMessage.h"

#include <span>
#include <string>

namespace Lagoonpick::Wire {

/// The frames between entries and agents that run tasks under leases.
struct RunCodec {
    using Message = RunMessage;
    static std::string encode(std::span<const Message> messages);
    static Outcome<std::vector<Message>> decode(const std::string& frame);
};

} // namespace Lagoonpick::Wire
