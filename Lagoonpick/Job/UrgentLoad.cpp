#include "Lagoonpick/Job/UrgentLoad.h"

#include <algorithm>
#include <cmath>

namespace Lagoonpick {

namespace {

/// Time constant of the decay of recorded work: about the time for which callers wait, since a job's wait depends on what arrives within
/// it.
constexpr Duration decayTime = std::chrono::milliseconds(1500);
/// The largest share that is reckoned with: near 1 the wait grows without bound, and the share isn't known so exactly.
constexpr double maxShare = 0.9;
/// Limit on the services, beyond which all are cleared, so that services removed from the configuration do not pile up.
constexpr std::size_t maxServices = 1000;

double weightAfter(Duration age)
{
    return std::exp(-static_cast<double>(std::max<Duration>(age, Duration()).count()) / static_cast<double>(decayTime.count()));
}

} // namespace

double UrgentLoad::Work::amountAt(Time now) const
{
    return amount_ * weightAfter(now - recordedAt_);
}

UrgentLoad::Service& UrgentLoad::find(const std::string& name)
{
    if (services_.size() > maxServices)
        services_.clear();
    return services_[name];
}

void UrgentLoad::recordWork(const std::string& service, std::uint32_t priority, std::uint32_t milliCores, Duration took, Time now)
{
    Work& work = find(service).byPriority_[priority];
    work = { work.amountAt(now) + static_cast<double>(milliCores) * static_cast<double>(took.count()), now };
}

void UrgentLoad::recordUtilization(const std::string& service, double utilization, Time now)
{
    Service& row = find(service);
    double oldWeight = weightAfter(now - row.utilizationAt_);
    row.utilization_ = oldWeight * row.utilization_ + (1 - oldWeight) * utilization;
    row.utilizationAt_ = now;
}

double UrgentLoad::shareBefore(const std::string& service, std::uint32_t priority, Time now) const
{
    auto found = services_.find(service);
    if (found == services_.end())
        return 0;
    double urgent = 0;
    double all = 0;
    for (const auto& [other, work] : found->second.byPriority_) {
        double amount = work.amountAt(now);
        urgent += other < priority ? amount : 0;
        all += amount;
    }
    return all > 0 ? found->second.utilization_ * urgent / all : 0;
}

Duration lengthenWait(Duration wait, double urgentShare)
{
    return scale(wait, 1 / (1 - std::min(urgentShare, maxShare)));
}

} // namespace Lagoonpick
