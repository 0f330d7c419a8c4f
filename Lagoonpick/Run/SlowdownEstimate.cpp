#include "Lagoonpick/Run/SlowdownEstimate.h"

#include <algorithm>
#include <cmath>

namespace Lagoonpick {

namespace {

/// A sample counts as at most this far from the median: a factor of two, which few runs exceed by the error of their declared times alone.
constexpr double maxDeviation = 0.7;

double weightOf(const std::vector<SlowdownSample>& samples)
{
    double sum = 0;
    for (const auto& sample : samples)
        sum += sample.weight_;
    return sum;
}

/// The lower weighted median of sorted samples: if both halves weigh the same, the target counts as the faster one.
double medianOf(const std::vector<SlowdownSample>& sorted, double weight)
{
    // Sums of the same weights in another order may differ by rounding.
    constexpr double roundingError = 1e-9;
    double below = 0;
    for (const auto& sample : sorted) {
        below += sample.weight_;
        if (below + roundingError >= weight / 2)
            return sample.logRatio_;
    }
    return 0;
}

} // namespace

double estimateSlowdown(std::vector<SlowdownSample> samples)
{
    double weight = weightOf(samples);
    if (weight <= 0)
        return 1;
    std::sort(samples.begin(), samples.end(), [](const auto& left, const auto& right) { return left.logRatio_ < right.logRatio_; });
    double median = medianOf(samples, weight);
    double sum = 0;
    for (const auto& sample : samples)
        sum += sample.weight_ * std::clamp(sample.logRatio_, median - maxDeviation, median + maxDeviation);
    return std::exp(sum / weight);
}

} // namespace Lagoonpick
