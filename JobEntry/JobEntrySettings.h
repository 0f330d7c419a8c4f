#pragma once

#include "Lagoonpick/Configuration/SettingsReader.h"
#include "Lagoonpick/Job/JobEntryCoreSettings.h"
#include "Lagoonpick/Transport/HttpServer.h"

#include <vector>

namespace Lagoonpick {

/// All settings of a job entry, as read from its settings file.
struct JobEntrySettings {
    JobEntryCoreSettings job_;
    /// The address that this process accepts links on; `job_.linkAddress_` is the one announced to others.
    std::string linkListenAddress_;
    std::string frontAddress_;
    /// The limits of the callers' server, derived from the process's file descriptors and memory.
    HttpLimits frontLimits_;
    /// What all links together may hold in either direction, and what all responses of the store together may.
    std::uint64_t linkMemoryBytes_ { 0 };
    std::uint64_t storeMemoryBytes_ { 0 };
    std::string readyAddress_;
    std::string metricsAddress_;
    std::string storeAddress_;
    /// The hosts of other entries, as `IP:port`; the port is ignored.
    std::vector<std::string> seeds_;
};

JobEntrySettings readJobEntrySettings(SettingsReader& reader);

} // namespace Lagoonpick
