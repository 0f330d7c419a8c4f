#pragma once

#include "Lagoonpick/Run/RunTable.h"

namespace Lagoonpick {

/// How long a task that arrives now would wait on a target, assuming that the runs there take as long as expected and
/// that queued ones begin in order of their due times. `slowdown` is the ratio of run time on the target to expected run
/// time.
Duration expectedBacklog(const RunTable& runs, const Wire::Resources& capacity, double slowdown, Time now);

} // namespace Lagoonpick
