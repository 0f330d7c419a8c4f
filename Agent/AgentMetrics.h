#pragma once

#include "Lagoonpick/Ledger/AgentCore.h"

#include <string>

namespace Lagoonpick {

/// Returns an agent's metrics in the Prometheus text format.
std::string writeMetrics(const AgentCore& core);

} // namespace Lagoonpick
