#pragma once

#include <cstdint>
#include <functional>

namespace Lagoonpick {

/// Identifies one connection to another process, from its opening to its closing. Ids are never reused within a process.
enum class LinkId : std::uint64_t {};

} // namespace Lagoonpick
