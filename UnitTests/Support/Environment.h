#pragma once

#include <cstdint>
#include <cstdlib>

namespace Lagoonpick {

/// A number that the one who runs a test may set by an environment variable.
inline std::uint64_t numberFromEnvironment(const char* variable, std::uint64_t otherwise)
{
    const char* text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

} // namespace Lagoonpick
