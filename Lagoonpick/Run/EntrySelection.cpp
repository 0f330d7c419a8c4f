#include "Lagoonpick/Run/EntrySelection.h"

#include <algorithm>
#include <functional>

namespace Lagoonpick {

namespace {

/// An entry that is not connected for this long is replaced: longer than a process takes to restart its listener, so that
/// short interruptions don't move links.
constexpr Duration connectTimeout = std::chrono::seconds(2);
/// Maximum number of entries that are tried at a time, as a multiple of the number to be connected to.
constexpr std::size_t maxTriedFactor = 3;

} // namespace

EntrySelection::EntrySelection(std::string agent, std::size_t size)
    : agent_(std::move(agent))
    , size_(size)
{
}

std::vector<std::string> EntrySelection::rank(const std::set<std::string>& known) const
{
    std::vector<std::pair<std::size_t, std::string>> scored;
    scored.reserve(known.size());
    for (const auto& address : known)
        scored.emplace_back(std::hash<std::string>()(agent_ + '@' + address), address);
    std::sort(scored.begin(), scored.end());
    std::vector<std::string> ranked;
    ranked.reserve(scored.size());
    for (auto& [score, address] : scored)
        ranked.push_back(std::move(address));
    return ranked;
}

bool EntrySelection::isPromising(const std::string& address, Time now)
{
    return now - triedSince_.emplace(address, now).first->second < connectTimeout;
}

std::set<std::string> EntrySelection::choose(const std::set<std::string>& known, const std::set<std::string>& connected, Time now)
{
    std::set<std::string> chosen;
    std::size_t connectedCount = 0;
    std::size_t promisingCount = 0;
    for (const auto& address : rank(known)) {
        if (connected.contains(address)) {
            triedSince_.erase(address);
            if (connectedCount >= size_)
                continue;
            ++connectedCount;
            ++promisingCount;
            chosen.insert(address);
            continue;
        }
        if (promisingCount >= size_ || chosen.size() >= size_ * maxTriedFactor)
            continue;
        promisingCount += isPromising(address, now) ? 1 : 0;
        chosen.insert(address);
    }
    std::erase_if(triedSince_, [&](const auto& tried) { return !chosen.contains(tried.first); });
    return chosen;
}

} // namespace Lagoonpick
