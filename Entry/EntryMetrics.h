#pragma once

#include "Lagoonpick/Dispatch/EntryCore.h"

#include <string>

namespace Lagoonpick {

/// Returns an entry's metrics in the Prometheus text format.
std::string writeMetrics(const EntryCore& core);

} // namespace Lagoonpick
