#include "Lagoonpick/Run/TargetMonitor.h"

#include <algorithm>
#include <cmath>

namespace Lagoonpick {

namespace {

/// The weight of a new sample once many were seen: the last ten or so count.
constexpr double steadyWeight = 0.1;
/// Tasks differ in themselves; a single one can't say that a target is more than this many times slower.
constexpr double maxSampleRatio = 20;

} // namespace

void TargetMonitor::recordDone(Duration took, Duration work)
{
    failedJobs_.clear();
    if (took.count() <= 0 || work.count() <= 0)
        return;
    samples_ += 1;
    double weight = std::max(steadyWeight, 1 / (samples_ + 1));
    double ratio = static_cast<double>(took.count()) / static_cast<double>(work.count());
    ratio = std::clamp(ratio, 1 / maxSampleRatio, maxSampleRatio);
    logSlowness_ += weight * (std::log(ratio) - logSlowness_);
    double microseconds = static_cast<double>(took.count());
    typicalMicroseconds_ += (samples_ == 1 ? 1 : steadyWeight) * (microseconds - typicalMicroseconds_);
}

void TargetMonitor::recordFailure(std::string_view job)
{
    if (std::find(failedJobs_.begin(), failedJobs_.end(), job) != failedJobs_.end())
        return;
    failedJobs_.emplace_back(job);
    if (failedJobs_.size() > suspectAfterJobs)
        failedJobs_.pop_front();
}

double TargetMonitor::slowness() const
{
    return std::exp(logSlowness_);
}

} // namespace Lagoonpick
