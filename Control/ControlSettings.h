#pragma once

#include "Lagoonpick/Configuration/SettingsReader.h"

#include <string>
#include <vector>

namespace Lagoonpick {

/// Settings of `lagoonpick-ctl`.
struct ControlSettings {
    /// Addresses that serve `GET /debug/state` (entries' caller addresses, agents' debug addresses) or `GET /state` (metrics
    /// addresses of the programs on the users' platform).
    std::vector<std::string> processes_;
    /// Limit of each HTTP request.
    Duration timeout_ { std::chrono::seconds(2) };
};

/// Reads the settings; faults are added to `reader`.
ControlSettings readControlSettings(SettingsReader& reader);

} // namespace Lagoonpick
