#pragma once

#include "Lagoonpick/Membership/Membership.h"
#include "Lagoonpick/Membership/Registration.h"

#include <map>
#include <set>
#include <string>

namespace Lagoonpick {

/// Keys and key prefixes of the system's state in the platform's key-value service.
namespace PlatformKeys {
inline constexpr const char* prefix = "lagoonpick/";
inline constexpr const char* membership = "lagoonpick/membership";
inline constexpr const char* entries = "lagoonpick/entries/";
inline constexpr const char* targets = "lagoonpick/targets/";
}

/// A copy of the system's keys in the platform's key-value service, as of one revision.
struct PlatformView {
    /// The newest revision that was applied; 0 before the first read.
    std::int64_t revision_ { 0 };
    /// Modification revision of the entries' table; 0 if there is no table.
    std::int64_t membershipRevision_ { 0 };
    Membership membership_;
    /// Entries with a live lease.
    std::set<Incarnation> liveEntries_;
    /// Registrations by target name.
    std::map<std::string, Registration> targets_;
    bool operator==(const PlatformView&) const = default;

    /// Applies the state of one key at `revision`; an absent value means that the key was deleted. A key or value that
    /// can't be decoded gives an error and changes nothing but `revision_`.
    Outcome<void> apply(std::string_view key, const std::optional<std::string>& value, std::int64_t revision);
};

} // namespace Lagoonpick
