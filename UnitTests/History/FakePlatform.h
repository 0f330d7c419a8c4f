#pragma once

#include "Lagoonpick/Membership/PlatformView.h"
#include "Lagoonpick/Platform/PlatformRequest.h"

#include <memory>

namespace Lagoonpick::History {

/// Simulates the platform's key-value service: one consistent state, changed by plain writes and compare-and-swap.
///
/// The unavailability is only a flag: callers check it before each call.
class FakePlatform {
public:
    bool isUnavailable() const { return isUnavailable_; }
    void setUnavailable(bool isUnavailable) { isUnavailable_ = isUnavailable; }

    std::shared_ptr<const PlatformView> read() const { return std::make_shared<PlatformView>(view_); }
    const PlatformView& view() const { return view_; }

    /// Writes if the entries' table still has the expected revision.
    WriteOutcome swap(const CompareAndSwap& request)
    {
        if (request.expectedRevision_ != view_.membershipRevision_)
            return WriteOutcome::Conflict;
        put(request.key_, request.value_);
        return WriteOutcome::Written;
    }

    void put(const std::string& key, const std::optional<std::string>& value)
    {
        auto applied = view_.apply(key, value, view_.revision_ + 1);
        assert(applied);
    }

    /// Registers a target as `Registrar` does: a later registration has the next generation and a lost ledger.
    void registerTarget(Registration registration)
    {
        auto previous = view_.targets_.find(registration.target_);
        if (previous != view_.targets_.end()) {
            registration.ledgerLostAt_ = registration.registeredAt_;
            registration.generation_ = previous->second.generation_ + 1;
        }
        put(PlatformKeys::targets + registration.target_, writeRegistration(registration));
    }

private:
    bool isUnavailable_ { false };
    PlatformView view_ { .revision_ = 1, .membership_ = {}, .liveEntries_ = {}, .targets_ = {} };
};

} // namespace Lagoonpick::History
