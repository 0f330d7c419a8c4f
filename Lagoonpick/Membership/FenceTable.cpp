#include "Lagoonpick/Membership/FenceTable.h"

#include <algorithm>

namespace Lagoonpick {

void FenceTable::acknowledge(Incarnation entry, const std::string& target, Incarnation agent)
{
    acknowledgedAgents_[entry][target] = agent;
}

FenceState FenceTable::state(const PlatformView& view, Incarnation entry, Time createdAt, Duration margin) const
{
    if (!view.membership_.isFenced(entry))
        return FenceState::NotFenced;
    auto acknowledged = acknowledgedAgents_.find(entry);
    Time ledgerLostAt;
    for (const auto& [name, registration] : view.targets_) {
        ledgerLostAt = std::max(ledgerLostAt, registration.ledgerLostAt_);
        if (registration.hasLeft_)
            continue;
        if (acknowledged == acknowledgedAgents_.end())
            return FenceState::Pending;
        auto agent = acknowledged->second.find(name);
        if (agent == acknowledged->second.end() || agent->second != registration.agent_)
            return FenceState::Pending;
    }
    return createdAt >= ledgerLostAt + margin ? FenceState::Certain : FenceState::LedgerLost;
}

void FenceTable::retain(const Membership& table)
{
    std::erase_if(acknowledgedAgents_, [&](const auto& item) { return !table.isFenced(item.first); });
}

std::size_t FenceTable::acknowledgedCount(Incarnation entry) const
{
    auto found = acknowledgedAgents_.find(entry);
    return found == acknowledgedAgents_.end() ? 0 : found->second.size();
}

} // namespace Lagoonpick
