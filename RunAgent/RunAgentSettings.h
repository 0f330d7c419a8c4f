#pragma once

#include "Lagoonpick/Configuration/SettingsReader.h"
#include "Lagoonpick/Run/RunAgentCoreSettings.h"

namespace Lagoonpick {

/// The settings of an agent that runs tasks under leases, as read from its settings file.
struct RunAgentSettings {
    RunAgentCoreSettings run_;
    std::string metricsAddress_;
    std::string storeAddress_;
    /// An address whose port is the one that all entries accept links on; the host is ignored.
    std::string entryLinkAddress_;
    /// The hosts of some entries, as `IP:port`; the port is ignored.
    std::vector<std::string> seeds_;
    /// Time after the start of shutdown at which the process stops even if runs have not ended.
    Duration shutdownTimeout_ {};
};

RunAgentSettings readRunAgentSettings(SettingsReader& reader);

} // namespace Lagoonpick
