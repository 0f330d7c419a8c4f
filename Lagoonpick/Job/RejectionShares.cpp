#include "Lagoonpick/Job/RejectionShares.h"

#include <algorithm>
#include <cmath>

namespace Lagoonpick {

namespace {

/// Time constant of the exponential decay. Bursts last some seconds; earlier rejections should count little.
constexpr Duration memory = std::chrono::seconds(1);
/// Number of accepted jobs added to each queue's count, so that a queue with few jobs does not get an extreme share.
constexpr double assumedAccepted = 5;
/// Limit on the queues per service, beyond which all are cleared, so that queues removed from the configuration do not pile up.
constexpr std::size_t maxQueues = 1000;

double fadeOver(Duration age)
{
    return std::exp(-std::chrono::duration<double>(age) / std::chrono::duration<double>(memory));
}

} // namespace

double RejectionShares::Share::share(Time now) const
{
    double fade = fadeOver(now - updatedAt_);
    return rejected_ * fade / (offered_ * fade + assumedAccepted);
}

void RejectionShares::record(const std::string& service, const std::string& queue, bool isRejected, Time now)
{
    auto& queues = services_[service];
    if (queues.size() > maxQueues)
        queues.clear();
    Share& share = queues[queue];
    double fade = fadeOver(now - share.updatedAt_);
    share.offered_ = share.offered_ * fade + 1;
    share.rejected_ = share.rejected_ * fade + (isRejected ? 1 : 0);
    share.updatedAt_ = now;
}

double RejectionShares::shortfall(const std::string& service, const std::string& queue, Time now) const
{
    auto queues = services_.find(service);
    if (queues == services_.end())
        return 0;
    double highest = 0;
    double own = 0;
    for (const auto& [name, share] : queues->second) {
        highest = std::max(highest, share.share(now));
        own = name == queue ? share.share(now) : own;
    }
    return highest - own;
}

} // namespace Lagoonpick
