#pragma once

#include "Lagoonpick/Core/Error.h"
#include "Lagoonpick/Core/Incarnation.h"
#include "Lagoonpick/Core/Time.h"

#include <string>
#include <string_view>
#include <vector>

namespace Lagoonpick {

/// An agent's registration of its target: one value per target in the platform's key-value service.
struct Registration {
    std::string target_;
    std::string service_;
    std::string availabilityZone_;
    /// Where entries reach the agent, as `IP:port`.
    std::string address_;
    Incarnation agent_;
    /// Counts the registrations of the target from 1: one more than that of the registration which this one replaced.
    std::uint64_t generation_ { 1 };
    Time registeredAt_;
    /// True once the agent has shut down for good; its ledger is lost.
    bool hasLeft_ { false };
    /// The last time that a ledger of this target was lost: an earlier incarnation of the agent was replaced, or the agent
    /// left. The Unix epoch if no ledger was lost.
    Time ledgerLostAt_;
    bool operator==(const Registration&) const = default;
};

/// Encodes the registration as the JSON that the platform stores.
std::string writeRegistration(const Registration&);

/// Decodes the output of `writeRegistration`; `Malformed` for anything else.
Outcome<Registration> readRegistration(std::string_view json);

} // namespace Lagoonpick
