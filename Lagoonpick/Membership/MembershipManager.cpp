#include "Lagoonpick/Membership/MembershipManager.h"

#include <algorithm>

namespace Lagoonpick {

namespace {

/// How long `decide` waits after a write with unknown outcome before it compares the table again.
constexpr Duration unknownOutcomeBackoff = std::chrono::milliseconds(500);

/// Each member waits this much longer than the one before it in the table until it advances the horizon, so that the members
/// don't all write at once.
constexpr Duration horizonDelayPerMember = std::chrono::milliseconds(400);

bool contains(const std::vector<Member>& members, Incarnation incarnation)
{
    return std::any_of(members.begin(), members.end(), [&](const Member& member) { return member.incarnation_ == incarnation; });
}

} // namespace

MembershipManager::MembershipManager(const EntrySettings& settings, Incarnation self)
    : settings_(settings)
    , self_(self)
{
}

void MembershipManager::observe(Time now, const PlatformView& view, bool isFresh)
{
    if (!isFresh) {
        // Leases may have been renewed without this entry seeing it: give every member the whole TTL again.
        missingSince_.clear();
        return;
    }
    std::map<Incarnation, Time> missing;
    for (const auto& member : view.membership_.currentMembers()) {
        if (view.liveEntries_.contains(member.incarnation_))
            continue;
        auto previous = missingSince_.find(member.incarnation_);
        missing[member.incarnation_] = previous == missingSince_.end() ? now : previous->second;
    }
    missingSince_ = std::move(missing);
}

bool MembershipManager::isLapsed(Time now, Incarnation entry) const
{
    if (entry == self_)
        return isLeaving_;
    auto missing = missingSince_.find(entry);
    return missing != missingSince_.end() && missing->second + settings_.leaseTtl_ <= now;
}

std::vector<Member> MembershipManager::desiredMembers(Time now, const PlatformView& view) const
{
    const Membership& table = view.membership_;
    std::vector<Member> members;
    for (const auto& member : table.currentMembers()) {
        if (!isLapsed(now, member.incarnation_) && !table.isFenced(member.incarnation_))
            members.push_back(member);
    }
    // A member without a live lease would be fenced by the others, so this entry joins only once it has one.
    bool mayJoin = !isLeaving_ && view.liveEntries_.contains(self_);
    if (mayJoin && !contains(members, self_))
        members.push_back({ self_, settings_.name_, settings_.availabilityZone_, settings_.peerAddress_ });
    return members;
}

void MembershipManager::fenceRemovedMembers(Time now, Membership& table, const std::vector<Member>& members) const
{
    for (const auto& member : table.currentMembers()) {
        bool isRemoved = !contains(members, member.incarnation_) && !table.isFenced(member.incarnation_);
        if (isRemoved)
            table.fenced_.push_back({ member.incarnation_, now });
    }
}

Time MembershipManager::startOfNextEpoch(const Membership& table) const
{
    return table.epochs_.empty() ? Time() : std::max(table.horizon_, table.epochs_.back().from_);
}

Duration MembershipManager::horizonDelay(const Membership& table) const
{
    const auto& members = table.currentMembers();
    auto self = std::find_if(members.begin(), members.end(), [&](const Member& member) { return member.incarnation_ == self_; });
    return horizonDelayPerMember * std::distance(members.begin(), self);
}

void MembershipManager::advanceHorizon(Time now, Membership& table) const
{
    if (table.horizon_ + horizonDelay(table) < now + settings_.horizon_ / 2)
        table.horizon_ = std::max(table.horizon_, now + settings_.horizon_);
}

void MembershipManager::removeExpired(Time now, Membership& table) const
{
    Time limit = now - settings_.rememberingWindow_ - settings_.horizon_ - settings_.clockError_;
    while (table.epochs_.size() > 1 && table.epochs_[1].from_ < limit)
        table.epochs_.erase(table.epochs_.begin());
    std::erase_if(table.fenced_, [&](const FencedEntry& fenced) { return fenced.fencedAt_ < limit; });
}

Membership MembershipManager::desiredTable(Time now, const PlatformView& view) const
{
    Membership table = view.membership_;
    auto members = desiredMembers(now, view);
    fenceRemovedMembers(now, table, members);
    if (members != table.currentMembers() && !members.empty()) {
        Time from = startOfNextEpoch(table);
        if (!table.epochs_.empty() && table.epochs_.back().from_ == from)
            table.epochs_.back().members_ = members;
        else
            table.epochs_.push_back({ from, members });
    }
    advanceHorizon(now, table);
    // Expired epochs and fences alone are no reason to write: they are removed with the next write.
    if (table != view.membership_)
        removeExpired(now, table);
    return table;
}

std::optional<CompareAndSwap> MembershipManager::decide(Time now, const PlatformView& view, bool isFresh)
{
    observe(now, view, isFresh);
    bool mustWait = isWriting_ || now < backoffEnd_ || view.revision_ <= revisionAtWrite_;
    if (!isFresh || mustWait)
        return std::nullopt;
    // An entry without a live lease of its own must not decide about the others, unless it is leaving.
    bool mayWrite = view.liveEntries_.contains(self_) || isLeaving_;
    if (!mayWrite || view.membership_.isFenced(self_))
        return std::nullopt;
    Membership table = desiredTable(now, view);
    if (table == view.membership_)
        return std::nullopt;
    isWriting_ = true;
    revisionAtWrite_ = view.revision_;
    return CompareAndSwap { .key_ = PlatformKeys::membership, .expectedRevision_ = view.membershipRevision_, .value_ = writeMembership(table) };
}

void MembershipManager::writeEnded(Time now, WriteOutcome outcome)
{
    isWriting_ = false;
    if (outcome != WriteOutcome::Unknown)
        return;
    // If nothing was written, no newer revision may arrive: compare the same view again after the backoff.
    revisionAtWrite_ = 0;
    backoffEnd_ = now + unknownOutcomeBackoff;
}

} // namespace Lagoonpick
