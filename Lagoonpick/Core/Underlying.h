#pragma once

#include <type_traits>

namespace Lagoonpick {

/// The value of an enumerator in the enumeration's underlying type.
template <typename Enum>
requires std::is_enum_v<Enum>
constexpr std::underlying_type_t<Enum> toUnderlying(Enum value)
{
    return static_cast<std::underlying_type_t<Enum>>(value);
}

} // namespace Lagoonpick
