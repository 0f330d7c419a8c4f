#pragma once

#include "Lagoonpick/Configuration/SettingsReader.h"
#include "Lagoonpick/Run/RunAgentCoreSettings.h"

namespace Lagoonpick {

/// Everything that an agent which runs tasks under leases is configured with.
struct RunAgentSettings {
    RunAgentCoreSettings run_;
    /// Where the target beside it sends its heartbeats.
    std::string controlAddress_;
    std::string metricsAddress_;
    std::string targetAddress_;
    std::string storeAddress_;
    /// Where entries take links; only the port counts.
    std::string entryLinkAddress_;
    /// The hosts of some entries, as `IP:port`; the port does not matter.
    std::vector<std::string> seeds_;
    Duration shutdownTimeout_ {};
};

RunAgentSettings readRunAgentSettings(SettingsReader& reader);

} // namespace Lagoonpick
