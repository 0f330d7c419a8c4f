#pragma once

#include "Lagoonpick/Observability/EventLog.h"

namespace Lagoonpick {

/// Appends the metrics that all programs on the users' platform share, in the Prometheus text format: dropped log
/// lines, calls to the platform's store, and failed calls.
void writeProcessMetrics(std::string& text, const EventLog& log, std::uint64_t storeCalls, std::uint64_t storeFailures);

} // namespace Lagoonpick
