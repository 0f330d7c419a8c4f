#include "Lagoonpick/Membership/Membership.h"

#include <algorithm>
#include <boost/json.hpp>

namespace Lagoonpick {

namespace json = boost::json;

namespace {

json::object toJson(const Member& member)
{
    return { { "incarnation", member.incarnation_.toString() }, { "name", member.name_ },
        { "zone", member.availabilityZone_ }, { "address", member.peerAddress_ } };
}

json::object toJson(const Epoch& epoch)
{
    json::array members;
    for (const auto& member : epoch.members_)
        members.push_back(toJson(member));
    return { { "from_ms", toUnixMilliseconds(epoch.from_) }, { "members", std::move(members) } };
}

json::object toJson(const FencedEntry& fenced)
{
    return { { "incarnation", fenced.incarnation_.toString() }, { "at_ms", toUnixMilliseconds(fenced.fencedAt_) } };
}

std::string readString(const json::value& value)
{
    return json::value_to<std::string>(value);
}

Incarnation readIncarnation(const json::value& value)
{
    return Incarnation::parse(readString(value)).value_or(Incarnation());
}

Member readMember(const json::value& value)
{
    return { readIncarnation(value.at("incarnation")), readString(value.at("name")), readString(value.at("zone")), readString(value.at("address")) };
}

Epoch readEpoch(const json::value& value)
{
    Epoch epoch { .from_ = fromUnixMilliseconds(value.at("from_ms").to_number<std::int64_t>()) };
    for (const auto& member : value.at("members").as_array())
        epoch.members_.push_back(readMember(member));
    return epoch;
}

FencedEntry readFencedEntry(const json::value& value)
{
    return { readIncarnation(value.at("incarnation")), fromUnixMilliseconds(value.at("at_ms").to_number<std::int64_t>()) };
}

Membership readTable(const json::value& value)
{
    Membership membership { .horizon_ = fromUnixMilliseconds(value.at("horizon_ms").to_number<std::int64_t>()) };
    for (const auto& epoch : value.at("epochs").as_array())
        membership.epochs_.push_back(readEpoch(epoch));
    for (const auto& fenced : value.at("fenced").as_array())
        membership.fenced_.push_back(readFencedEntry(fenced));
    return membership;
}

} // namespace

std::optional<Incarnation> Membership::homeOf(const SubmissionId& id) const
{
    if (id.isIssued())
        return id.issuer();
    Time createdAt = id.createdAt();
    if (createdAt >= horizon_)
        return std::nullopt;
    auto idEpoch = std::find_if(epochs_.rbegin(), epochs_.rend(), [&](const Epoch& epoch) { return epoch.from_ <= createdAt; });
    if (idEpoch == epochs_.rend() || idEpoch->members_.empty())
        return std::nullopt;
    auto weight = [&](const Member& member) { return stableHash(id.high(), id.low(), member.incarnation_.value()); };
    auto home = std::max_element(idEpoch->members_.begin(), idEpoch->members_.end(),
        [&](const Member& left, const Member& right) { return weight(left) < weight(right); });
    return home->incarnation_;
}

const std::vector<Member>& Membership::currentMembers() const
{
    static const std::vector<Member> none;
    return epochs_.empty() ? none : epochs_.back().members_;
}

const Member* Membership::find(Incarnation incarnation) const
{
    for (auto epoch = epochs_.rbegin(); epoch != epochs_.rend(); ++epoch) {
        for (const auto& member : epoch->members_) {
            if (member.incarnation_ == incarnation)
                return &member;
        }
    }
    return nullptr;
}

bool Membership::isFenced(Incarnation incarnation) const
{
    return std::any_of(fenced_.begin(), fenced_.end(), [&](const FencedEntry& fenced) { return fenced.incarnation_ == incarnation; });
}

std::string writeMembership(const Membership& membership)
{
    json::array epochs;
    for (const auto& epoch : membership.epochs_)
        epochs.push_back(toJson(epoch));
    json::array fenced;
    for (const auto& entry : membership.fenced_)
        fenced.push_back(toJson(entry));
    return json::serialize(json::object { { "horizon_ms", toUnixMilliseconds(membership.horizon_) },
        { "epochs", std::move(epochs) }, { "fenced", std::move(fenced) } });
}

Outcome<Membership> readMembership(std::string_view text)
{
    // Boost.JSON reports malformed input by exceptions; they are converted to errors here.
    try {
        return readTable(json::parse(json::string_view(text.data(), text.size())));
    } catch (const std::exception& exception) {
        return fail(ErrorCode::Malformed, exception.what());
    }
}

} // namespace Lagoonpick
