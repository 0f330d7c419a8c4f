#include "Lagoonpick/Core/Incarnation.h"

#include <charconv>
#include <fmt/format.h>

namespace Lagoonpick {

namespace {
constexpr std::size_t hexDigitCount = Incarnation::bits / 4;
}

std::string Incarnation::toString() const
{
    return fmt::format("{:012x}", value_);
}

std::optional<Incarnation> Incarnation::parse(std::string_view text)
{
    std::uint64_t value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    bool isHexNumber = error == std::errc() && end == text.data() + text.size();
    if (!isHexNumber || text.size() != hexDigitCount || !value)
        return std::nullopt;
    return Incarnation(value);
}

} // namespace Lagoonpick
