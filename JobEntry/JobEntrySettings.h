#pragma once

#include "Lagoonpick/Configuration/SettingsReader.h"
#include "Lagoonpick/Job/JobEntryCoreSettings.h"
#include "Lagoonpick/Transport/HttpServer.h"

#include <vector>

namespace Lagoonpick {

/// Everything that an entry which holds jobs is configured with.
struct JobEntrySettings {
    JobEntryCoreSettings job_;
    /// Where this process takes links; `job_.linkAddress_` is what others are told.
    std::string linkListenAddress_;
    std::string frontAddress_;
    /// What callers may take of this process's descriptors and memory.
    HttpLimits frontLimits_;
    std::string readyAddress_;
    std::string metricsAddress_;
    std::string storeAddress_;
    /// The hosts of other entries, as `IP:port`; the port does not matter.
    std::vector<std::string> seeds_;
};

JobEntrySettings readJobEntrySettings(SettingsReader& reader);

} // namespace Lagoonpick
