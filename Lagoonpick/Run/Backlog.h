#pragma once

#include "Lagoonpick/Run/RunTable.h"

namespace Lagoonpick {

/// How long a task that comes now would wait on a target, if what runs there takes as long as expected and what waits
/// begins in due order. `slowness` is how many times as long as expected tasks take there.
Duration expectedBacklog(const RunTable& runs, const Wire::Resources& capacity, double slowness, Time now);

} // namespace Lagoonpick
