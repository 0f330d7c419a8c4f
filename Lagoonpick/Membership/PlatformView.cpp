#include "Lagoonpick/Membership/PlatformView.h"

#include <boost/outcome/success_failure.hpp>

namespace Lagoonpick {

namespace {

std::string_view removePrefix(std::string_view key, std::string_view prefix)
{
    return key.substr(prefix.size());
}

} // namespace

Outcome<void> PlatformView::apply(std::string_view key, const std::optional<std::string>& value, std::int64_t revision)
{
    revision_ = std::max(revision_, revision);
    if (key == PlatformKeys::membership) {
        auto membership = value ? readMembership(*value) : Membership {};
        if (!membership)
            return membership.as_failure();
        membership_ = std::move(membership).value();
        membershipRevision_ = value ? revision : 0;
    } else if (key.starts_with(PlatformKeys::entries)) {
        auto entry = Incarnation::parse(removePrefix(key, PlatformKeys::entries));
        if (!entry)
            return fail(ErrorCode::Malformed, "the key does not end in an incarnation: " + std::string(key));
        if (value)
            liveEntries_.insert(*entry);
        else
            liveEntries_.erase(*entry);
    } else if (key.starts_with(PlatformKeys::targets)) {
        std::string name(removePrefix(key, PlatformKeys::targets));
        if (!value) {
            targets_.erase(name);
            return boost::outcome_v2::success();
        }
        auto registration = readRegistration(*value);
        if (!registration)
            return registration.as_failure();
        targets_[name] = std::move(registration).value();
    }
    return boost::outcome_v2::success();
}

} // namespace Lagoonpick
