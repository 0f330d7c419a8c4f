#include "Lagoonpick/Job/WorkModel.h"

#include <algorithm>
#include <cmath>

namespace Lagoonpick {

namespace {

/// Weight of the declared time in the estimate; the rest is the weight of the queue's mean.
constexpr double declaredWeight = 0.5;
/// Limit on a mean's sample count: each further job has a weight of one in this many, and the weight of old jobs decays.
constexpr double maxSamples = 200;
/// Limit on the queues, beyond which all are cleared, so that queues removed from the configuration do not pile up.
constexpr std::size_t maxQueues = 1000;

} // namespace

Duration WorkModel::recordAndEstimate(const std::string& queue, Duration declared)
{
    if (queues_.size() > maxQueues)
        queues_.clear();
    Mean& mean = queues_[queue];
    double logDeclared = std::log(static_cast<double>(std::max<Duration::rep>(declared.count(), 1)));
    mean.samples_ = std::min(mean.samples_ + 1, maxSamples);
    mean.logMicroseconds_ += (logDeclared - mean.logMicroseconds_) / mean.samples_;
    double estimate = declaredWeight * logDeclared + (1 - declaredWeight) * mean.logMicroseconds_;
    return Duration(static_cast<Duration::rep>(std::exp(estimate)));
}

} // namespace Lagoonpick
