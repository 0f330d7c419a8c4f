#pragma once

#include "Lagoonpick/Core/Time.h"

#include <cstdint>
#include <string>

namespace Lagoonpick {

/// Settings of `AgentCore`. Built by `AgentSettingsReader`.
struct AgentSettings {
    std::string name_;
    std::string availabilityZone_;
    std::string service_;
    /// Tasks that may run on the target at the same time.
    std::uint32_t slots_ { 8 };
    std::uint32_t maxQueued_ { 64 };
    /// Ledger rows beyond which starts are refused. The ledger may grow further by the rows of refused attempts.
    std::uint32_t maxLedgerRows_ { 1'000'000 };
    /// Total size of answers in bytes beyond which acknowledged answers are evicted, oldest acknowledgement first.
    std::uint64_t maxKeptBytes_ { 16'777'216 };
    /// Age of a submission's id up to which its starts are accepted. Ledger rows are kept this long plus `clockError_`.
    Duration rememberingWindow_ { std::chrono::minutes(10) };
    /// How far the time in a submission's id may be ahead of this instance's clock; must exceed what entries allow.
    Duration clockError_ { std::chrono::seconds(10) };
    Duration heartbeatInterval_ { std::chrono::seconds(1) };
    Duration linkTimeout_ { std::chrono::seconds(3) };
    bool operator==(const AgentSettings&) const = default;
};

} // namespace Lagoonpick
