#pragma once

#include <cstdint>

namespace Lagoonpick {

/// Identifies a request within one entry, from its arrival to its reply.
enum class RequestId : std::uint64_t {};

} // namespace Lagoonpick
