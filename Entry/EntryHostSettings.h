#pragma once

#include "Lagoonpick/Configuration/SettingsReader.h"
#include "Lagoonpick/Dispatch/EntrySettings.h"
#include "Lagoonpick/Transport/HttpServer.h"
#include "Lagoonpick/Transport/LinkHub.h"

namespace Lagoonpick {

/// All settings of an entry process.
struct EntryHostSettings {
    EntrySettings entry_;
    std::string callerAddress_;
    std::string platformAddress_;
    Duration platformTimeout_ { std::chrono::seconds(2) };
    Duration shutdownTimeout_ { std::chrono::seconds(30) };
    HttpLimits http_;
    LinkLimits links_;
};

/// Reads an entry's settings; `reader` collects the faults.
EntryHostSettings readEntryHostSettings(SettingsReader& reader);

} // namespace Lagoonpick
