#pragma once

#include "Lagoonpick/Observability/EventLog.h"

namespace Lagoonpick {

/// Appends what every program on the users' platform counts of its log and of its calls to the store.
void writeProcessMetrics(std::string& text, const EventLog& log, std::uint64_t storeCalls, std::uint64_t storeFailures);

} // namespace Lagoonpick
