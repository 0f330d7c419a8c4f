#include "Lagoonpick/Run/AddressTable.h"

namespace Lagoonpick {

namespace {

/// Exceeds the usual outage of a store that lost its keys or of a rack without power.
constexpr Duration addressLifetime = std::chrono::seconds(60);
/// Several times the number of entries in the largest planned deployment.
constexpr std::size_t maxAddresses = 1024;

bool isOld(Time notedAt, Time now)
{
    return now - notedAt > addressLifetime;
}

} // namespace

void AddressTable::note(const std::string& address, Time now)
{
    if (notedAt_.size() >= maxAddresses)
        forgetOld(now);
    auto found = notedAt_.find(address);
    if (found != notedAt_.end())
        found->second = now;
    else if (notedAt_.size() < maxAddresses)
        notedAt_.emplace(address, now);
}

std::vector<std::string> AddressTable::addresses(Time now) const
{
    std::vector<std::string> recent;
    for (const auto& [address, notedAt] : notedAt_) {
        if (!isOld(notedAt, now))
            recent.push_back(address);
    }
    return recent;
}

void AddressTable::forgetOld(Time now)
{
    std::erase_if(notedAt_, [now](const auto& row) { return isOld(row.second, now); });
}

} // namespace Lagoonpick
