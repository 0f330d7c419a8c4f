#pragma once

#include "Lagoonpick/Core/Incarnation.h"
#include "Lagoonpick/Core/Time.h"

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Lagoonpick {

/// The 128-bit id of a submission, written as a UUID (RFC 9562).
///
/// An issued id is a version 8 UUID that holds the issuing entry's incarnation; a caller's own id is a version 7 UUID.
/// Both begin with the time of their creation in milliseconds, which bounds how long they must be remembered.
class SubmissionId {
public:
    static constexpr int counterBits = 26;

    constexpr SubmissionId() = default;

    /// Creates an id issued by `issuer`. `counter` is taken modulo 2^26 and must not repeat within a millisecond.
    static SubmissionId issue(Incarnation issuer, Time now, std::uint32_t counter);

    /// Creates a caller's id (UUIDv7) with the time `now`; `randomA` and `randomB` fill its 12 and 62 random bits.
    static SubmissionId makeCallerId(Time now, std::uint64_t randomA, std::uint64_t randomB);

    /// Parses the 36-character form, in either case; accepts only versions 7 and 8 with the variant of RFC 9562.
    static std::optional<SubmissionId> parse(std::string_view text);

    /// Makes an id of its two 64-bit halves, as messages carry them, without checking version and variant.
    static constexpr SubmissionId fromHalves(std::uint64_t high, std::uint64_t low)
    {
        return SubmissionId(high, low);
    }

    constexpr std::uint64_t high() const { return high_; }
    constexpr std::uint64_t low() const { return low_; }

    /// True if an entry issued the id, false if a caller chose it.
    bool isIssued() const;

    /// The issuing entry's incarnation; meaningful for issued ids only.
    Incarnation issuer() const;

    /// When the id was created, by its creator's clock, in whole milliseconds.
    Time createdAt() const;

    /// The 36-character lower-case form.
    std::string toString() const;

    friend constexpr auto operator<=>(const SubmissionId&, const SubmissionId&) = default;

private:
    constexpr SubmissionId(std::uint64_t high, std::uint64_t low)
        : high_(high)
        , low_(low)
    {
    }

    std::uint64_t high_ { 0 };
    std::uint64_t low_ { 0 };
};

/// Identifies a task: its submission and its index there, from 0.
struct TaskKey {
    SubmissionId submission_;
    std::uint32_t task_ { 0 };
    friend constexpr auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

/// Hashes three words. The result is the same on every instance and in every process.
std::uint64_t stableHash(std::uint64_t first, std::uint64_t second, std::uint64_t third);

} // namespace Lagoonpick

template <>
struct std::hash<Lagoonpick::SubmissionId> {
    std::size_t operator()(const Lagoonpick::SubmissionId& id) const noexcept
    {
        return Lagoonpick::stableHash(id.high(), id.low(), 0);
    }
};

template <>
struct std::hash<Lagoonpick::TaskKey> {
    std::size_t operator()(const Lagoonpick::TaskKey& key) const noexcept
    {
        return Lagoonpick::stableHash(key.submission_.high(), key.submission_.low(), key.task_ + 1ULL);
    }
};
