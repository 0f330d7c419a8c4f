#pragma once

#include "Lagoonpick/Dispatch/TargetTable.h"

#include <cstdint>
#include <span>

namespace Lagoonpick {

/// Outlier detection: ejects a target that fails several tasks in a row while most tasks of its service succeed. An
/// ejected target gets single probe tasks, with pauses that double up to a limit, and its first success readmits it.
/// Without ejection a target that fails fast would look idle and attract tasks.
///
/// One instance per service. Not thread-safe.
class TargetHealth {
public:
    /// Records the outcome of a task; ejects, keeps ejected or readmits its target. `targets` are those of the service.
    void taskEnded(Time now, TargetTable&, TargetIndex, std::span<const TargetIndex> targets, bool hasSucceeded);

    /// Number of ejections of all targets, failed probes included.
    std::uint64_t ejections() const { return ejections_; }

private:
    bool mayEject(const TargetTable&, std::span<const TargetIndex> targets) const;

    /// Moving average of the share of failed tasks on targets that are not ejected, 0 to 1.
    double failureShare_ { 0 };
    std::uint64_t ejections_ { 0 };
};

} // namespace Lagoonpick
