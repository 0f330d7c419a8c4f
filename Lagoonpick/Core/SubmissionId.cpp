#include "Lagoonpick/Core/SubmissionId.h"

#include <array>
#include <charconv>
#include <fmt/format.h>
#include <xxhash.h>

namespace Lagoonpick {

namespace {

// High half: 48 bits of Unix time in milliseconds, 4 bits of version, the short field of 12 bits. Low half: 2 bits of variant,
// the long field of 62 bits. An issued id has the high bits of its issuer in the short field, and the low bits of its issuer
// and the counter in the long field.
constexpr int timestampShift = 16;
constexpr int versionShift = 12;
constexpr std::uint64_t versionMask = 0xf;
constexpr std::uint64_t callerVersion = 7;
constexpr std::uint64_t issuedVersion = 8;
constexpr std::uint64_t shortFieldMask = 0xfff;
constexpr int variantShift = 62;
constexpr std::uint64_t rfcVariant = 2;
constexpr std::uint64_t longFieldMask = (1ULL << variantShift) - 1;
constexpr std::uint64_t counterMask = (1ULL << SubmissionId::counterBits) - 1;
constexpr int issuerLowBits = variantShift - SubmissionId::counterBits;
constexpr std::uint64_t issuerLowMask = (1ULL << issuerLowBits) - 1;
constexpr std::size_t textLength = 36;
constexpr std::array<std::size_t, 4> hyphenPositions { 8, 13, 18, 23 };

std::uint64_t makeHigh(Time now, std::uint64_t version, std::uint64_t shortField)
{
    auto milliseconds = static_cast<std::uint64_t>(toUnixMilliseconds(now));
    return milliseconds << timestampShift | version << versionShift | (shortField & shortFieldMask);
}

std::uint64_t versionOf(std::uint64_t high)
{
    return high >> versionShift & versionMask;
}

std::optional<std::uint64_t> parseHex(std::string_view digits)
{
    std::uint64_t value = 0;
    auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    if (error != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
    return value;
}

std::optional<std::string> removeHyphens(std::string_view text)
{
    if (text.size() != textLength)
        return std::nullopt;
    for (auto position : hyphenPositions) {
        if (text[position] != '-')
            return std::nullopt;
    }
    std::string digits;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (std::find(hyphenPositions.begin(), hyphenPositions.end(), i) == hyphenPositions.end())
            digits += text[i];
    }
    return digits;
}

} // namespace

SubmissionId SubmissionId::issue(Incarnation issuer, Time now, std::uint32_t counter)
{
    std::uint64_t issuerLow = issuer.value() & issuerLowMask;
    std::uint64_t low = rfcVariant << variantShift | issuerLow << counterBits | (counter & counterMask);
    return { makeHigh(now, issuedVersion, issuer.value() >> issuerLowBits), low };
}

SubmissionId SubmissionId::makeCallerId(Time now, std::uint64_t randomA, std::uint64_t randomB)
{
    return { makeHigh(now, callerVersion, randomA), rfcVariant << variantShift | (randomB & longFieldMask) };
}

std::optional<SubmissionId> SubmissionId::parse(std::string_view text)
{
    auto digits = removeHyphens(text);
    if (!digits)
        return std::nullopt;
    auto high = parseHex(std::string_view(*digits).substr(0, 16));
    auto low = parseHex(std::string_view(*digits).substr(16));
    if (!high || !low || *low >> variantShift != rfcVariant)
        return std::nullopt;
    if (versionOf(*high) != callerVersion && versionOf(*high) != issuedVersion)
        return std::nullopt;
    return SubmissionId(*high, *low);
}

bool SubmissionId::isIssued() const
{
    return versionOf(high_) == issuedVersion;
}

Incarnation SubmissionId::issuer() const
{
    std::uint64_t issuerHigh = high_ & shortFieldMask;
    std::uint64_t issuerLow = low_ >> counterBits & issuerLowMask;
    return Incarnation(issuerHigh << issuerLowBits | issuerLow);
}

Time SubmissionId::createdAt() const
{
    return fromUnixMilliseconds(static_cast<std::int64_t>(high_ >> timestampShift));
}

std::string SubmissionId::toString() const
{
    return fmt::format("{:08x}-{:04x}-{:04x}-{:04x}-{:012x}", high_ >> 32, high_ >> 16 & 0xffff, high_ & 0xffff,
        low_ >> 48, low_ & 0xffffffffffff);
}

std::uint64_t stableHash(std::uint64_t first, std::uint64_t second, std::uint64_t third)
{
    std::array<std::uint64_t, 3> words { first, second, third };
    return XXH3_64bits(words.data(), sizeof(words));
}

} // namespace Lagoonpick
