#pragma once

#include "Lagoonpick/Observability/EventLog.h"
#include "Lagoonpick/Transport/PeerFault.h"

#include <map>

namespace Lagoonpick {

/// Appends the metrics that all programs on the users' platform share, in the Prometheus text format: dropped log
/// lines, calls to the platform's store, and failed calls.
void writeProcessMetrics(std::string& text, const EventLog& log, std::uint64_t storeCalls, std::uint64_t storeFailures);

/// The faults of peers by the port or server that met them.
using PeerFaultsByPort = std::map<std::string_view, const PeerFaults*>;

/// Appends a counter for each port and each kind of fault.
void writePeerFaults(std::string& text, const PeerFaultsByPort& peers);

} // namespace Lagoonpick
