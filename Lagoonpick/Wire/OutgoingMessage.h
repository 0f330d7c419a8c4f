#pragma once

#include "Lagoonpick/Wire/Message.h"
#include "Lagoonpick/Wire/Outgoing.h"

namespace Lagoonpick::Wire {

using OutgoingMessage = Outgoing<Message>;

} // namespace Lagoonpick::Wire
