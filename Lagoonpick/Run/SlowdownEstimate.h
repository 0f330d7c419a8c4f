#pragma once

#include <vector>

namespace Lagoonpick {

/// What one run shows about the slowdown of its target.
struct SlowdownSample {
    /// Natural logarithm of the ratio of measured to expected run time.
    double logRatio_ { 0 };
    double weight_ { 1 };
};

/// Estimates the slowdown of a target from its runs. Handles the load pattern of run times with a tail: a run whose ratio is far from the
/// median of all has a bounded influence, so that one or two stragglers don't make a sound target look slow. Returns 1 without samples.
double estimateSlowdown(std::vector<SlowdownSample> samples);

} // namespace Lagoonpick
