#pragma once

#include "Lagoonpick/Core/Error.h"
#include "Lagoonpick/Core/Incarnation.h"
#include "Lagoonpick/Core/SubmissionId.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonpick {

/// An entry in the entries' table.
struct Member {
    Incarnation incarnation_;
    std::string name_;
    std::string availabilityZone_;
    /// Where other entries reach this one, as `IP:port`.
    std::string peerAddress_;
    bool operator==(const Member&) const = default;
};

/// The members among which the homes of callers' ids are chosen that were created at `from_` or later, up to the next epoch.
struct Epoch {
    Time from_;
    std::vector<Member> members_;
    bool operator==(const Epoch&) const = default;
};

/// An incarnation of an entry whose starts agents refuse, and when it was fenced.
struct FencedEntry {
    Incarnation incarnation_;
    Time fencedAt_;
    bool operator==(const FencedEntry&) const = default;
};

/// The entries' table: one value in the platform's key-value service, changed by compare-and-swap.
///
/// The homes of ids created before the horizon never change: every entry that has this version or any later one, however
/// stale, computes the same home for them. A new epoch therefore begins at the horizon or later.
struct Membership {
    std::vector<Epoch> epochs_;
    Time horizon_;
    std::vector<FencedEntry> fenced_;

    /// The home of a submission: the issuer of an issued id, else the member that rendezvous hashing selects from the
    /// epoch in which the id was created. `std::nullopt` if the table has no members for that time, in particular for a
    /// caller's id from the horizon or later.
    std::optional<Incarnation> homeOf(const SubmissionId&) const;

    /// The members of the newest epoch; empty if there is none.
    const std::vector<Member>& currentMembers() const;

    /// The member with this incarnation, from the newest epoch that has it; `nullptr` if there is none.
    const Member* find(Incarnation) const;

    bool isFenced(Incarnation) const;

    bool operator==(const Membership&) const = default;
};

/// Encodes the table as the JSON that the platform stores.
std::string writeMembership(const Membership&);

/// Decodes the output of `writeMembership`; `Malformed` for anything else.
Outcome<Membership> readMembership(std::string_view json);

} // namespace Lagoonpick
