#include "Lagoonpick/Job/RejectionShares.h"

#include <algorithm>
#include <cmath>

namespace Lagoonpick {

namespace {

/// Time constant of the exponential decay. Bursts last some seconds; earlier rejections should count little.
constexpr Duration decayTime = std::chrono::seconds(1);
/// Number of accepted jobs added to each queue's count, so that a queue with few jobs does not get an extreme share.
constexpr double assumedAccepted = 5;
/// Limit on the queues per service, beyond which all are cleared, so that queues removed from the configuration do not pile up.
constexpr std::size_t maxQueues = 1000;

double decayFactor(Duration age)
{
    return std::exp(-std::chrono::duration<double>(age) / std::chrono::duration<double>(decayTime));
}

} // namespace

double RejectionShares::QueueCounts::rejectedShare(Time now) const
{
    double decay = decayFactor(now - updatedAt_);
    return rejected_ * decay / (offered_ * decay + assumedAccepted);
}

void RejectionShares::record(const std::string& service, const std::string& queue, bool isRejected, Time now)
{
    auto& queues = services_[service];
    if (queues.size() > maxQueues)
        queues.clear();
    QueueCounts& counts = queues[queue];
    double decay = decayFactor(now - counts.updatedAt_);
    counts.offered_ = counts.offered_ * decay + 1;
    counts.rejected_ = counts.rejected_ * decay + (isRejected ? 1 : 0);
    counts.updatedAt_ = now;
}

double RejectionShares::shortfall(const std::string& service, const std::string& queue, Time now) const
{
    auto queues = services_.find(service);
    if (queues == services_.end())
        return 0;
    double highest = 0;
    double own = 0;
    for (const auto& [name, counts] : queues->second) {
        highest = std::max(highest, counts.rejectedShare(now));
        own = name == queue ? counts.rejectedShare(now) : own;
    }
    return highest - own;
}

} // namespace Lagoonpick
