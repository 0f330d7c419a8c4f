#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Lagoonpick {

/// Identifies one run of a process: a process that is started again is a new incarnation. 48 bits; zero is invalid.
class Incarnation {
public:
    static constexpr int bits = 48;
    static constexpr std::uint64_t mask = (1ULL << bits) - 1;

    constexpr Incarnation() = default;

    /// Takes the low 48 bits of `value`.
    constexpr explicit Incarnation(std::uint64_t value)
        : value_(value & mask)
    {
    }

    constexpr std::uint64_t value() const { return value_; }

    /// False for the default value, which stands for "no incarnation".
    constexpr bool isValid() const { return value_; }

    /// Twelve lower-case hexadecimal digits.
    std::string toString() const;

    /// Parses twelve hexadecimal digits, as `toString` writes them; `std::nullopt` for any other text and for zero.
    static std::optional<Incarnation> parse(std::string_view text);

    friend constexpr auto operator<=>(const Incarnation&, const Incarnation&) = default;

private:
    std::uint64_t value_ { 0 };
};

} // namespace Lagoonpick

template <>
struct std::hash<Lagoonpick::Incarnation> {
    std::size_t operator()(const Lagoonpick::Incarnation& incarnation) const noexcept
    {
        return std::hash<std::uint64_t>()(incarnation.value());
    }
};
