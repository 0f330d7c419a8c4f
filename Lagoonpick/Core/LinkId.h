#pragma once

#include <cstdint>
#include <functional>

namespace Lagoonpick {

/// Identifies one connection to another process, from its opening to its closing. Ids rise in the order in which a process's
/// connections open, and are never reused within it.
enum class LinkId : std::uint64_t {};

} // namespace Lagoonpick
