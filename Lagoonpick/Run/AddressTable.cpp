#include "Lagoonpick/Run/AddressTable.h"

#include "Lagoonpick/Core/SocketAddress.h"

namespace Lagoonpick {

namespace {

/// Exceeds the usual outage of a store that lost its keys or of a rack without power.
constexpr Duration addressLifetime = std::chrono::seconds(60);
/// Several times the number of entries in the largest planned deployment.
constexpr std::size_t maxAddresses = 1024;

bool isExpired(Time recordedAt, Time now)
{
    return now - recordedAt > addressLifetime;
}

} // namespace

bool AddressTable::record(const std::string& address, Time now)
{
    if (!isDestinationAddress(address))
        return false;
    if (recordedAt_.size() >= maxAddresses)
        removeExpired(now);
    auto found = recordedAt_.find(address);
    if (found != recordedAt_.end())
        found->second = now;
    else if (recordedAt_.size() < maxAddresses)
        recordedAt_.emplace(address, now);
    return true;
}

std::vector<std::string> AddressTable::addresses(Time now) const
{
    std::vector<std::string> recent;
    for (const auto& [address, recordedAt] : recordedAt_) {
        if (!isExpired(recordedAt, now))
            recent.push_back(address);
    }
    return recent;
}

void AddressTable::removeExpired(Time now)
{
    std::erase_if(recordedAt_, [now](const auto& row) { return isExpired(row.second, now); });
}

} // namespace Lagoonpick
