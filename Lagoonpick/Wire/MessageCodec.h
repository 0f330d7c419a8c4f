#pragma once

#include "Lagoonpick/Core/Error.h"
#include "Lagoonpick/Wire/Message.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonpick::Wire {

/// Encodes `messages` as one frame: a CBOR array head (RFC 8949) with the number of messages, then the kind and the fields of
/// each message.
std::string encode(std::span<const Message> messages);

/// Decodes a frame. Fails with `Malformed` if `encode` can't have written it: an unknown message kind, a wrong type, an
/// enumerator out of range, a length beyond the frame, or trailing bytes. Allocates at most a small multiple of the frame's
/// size, whatever lengths the frame states.
Outcome<std::vector<Message>> decode(std::string_view frame);

} // namespace Lagoonpick::Wire
