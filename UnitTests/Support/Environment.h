#pragma once

#include <cstdint>
#include <cstdlib>

namespace Lagoonpick {

/// Returns the number in an environment variable, or the default if the variable is not set.
inline std::uint64_t numberFromEnvironment(const char* variable, std::uint64_t defaultValue)
{
    const char* text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : defaultValue;
}

} // namespace Lagoonpick
