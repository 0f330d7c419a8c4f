#include "Lagoonpick/Job/WorkModel.h"

#include <algorithm>
#include <cmath>

namespace Lagoonpick {

namespace {

/// The share of the declared time in the guess; the rest is the queue's mean.
constexpr double declaredShare = 0.5;
/// Old jobs are forgotten at the rate of one in so many.
constexpr double maxSamples = 200;
/// Queues that the configuration dropped are not kept for ever.
constexpr std::size_t maxQueues = 1000;

} // namespace

Duration WorkModel::learn(const std::string& queue, Duration declared)
{
    if (queues_.size() > maxQueues)
        queues_.clear();
    Mean& mean = queues_[queue];
    double logDeclared = std::log(static_cast<double>(std::max<Duration::rep>(declared.count(), 1)));
    mean.samples_ = std::min(mean.samples_ + 1, maxSamples);
    mean.logMicroseconds_ += (logDeclared - mean.logMicroseconds_) / mean.samples_;
    double guess = declaredShare * logDeclared + (1 - declaredShare) * mean.logMicroseconds_;
    return Duration(static_cast<Duration::rep>(std::exp(guess)));
}

} // namespace Lagoonpick
