#pragma once

#include "Lagoonpick/Configuration/SettingsReader.h"
#include "Lagoonpick/Ledger/AgentSettings.h"
#include "Lagoonpick/Transport/HttpServer.h"
#include "Lagoonpick/Transport/LinkHub.h"

namespace Lagoonpick {

/// All settings of an agent process.
struct AgentHostSettings {
    AgentSettings agent_;
    std::string address_;
    /// The address at which entries reach the agent; differs from `address_` behind a proxy.
    std::string advertisedAddress_;
    std::string debugAddress_;
    std::string targetAddress_;
    std::string platformAddress_;
    std::uint64_t maxAnswerBytes_ { 1'048'576 };
    Duration platformTimeout_ { std::chrono::seconds(2) };
    Duration shutdownTimeout_ { std::chrono::seconds(60) };
    HttpLimits http_;
    LinkLimits links_;
};

/// Reads an agent's settings; `reader` collects the faults.
AgentHostSettings readAgentHostSettings(SettingsReader& reader);

} // namespace Lagoonpick
