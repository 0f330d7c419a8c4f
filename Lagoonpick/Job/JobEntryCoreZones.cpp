#include "Lagoonpick/Job/JobEntryCore.h"

#include <algorithm>

// The part of `JobEntryCore` that handles the evacuation of availability zones.

namespace Lagoonpick {

void JobEntryCore::setEvacuatedZones(Wire::EvacuatedZones zones, Time now)
{
    if (evacuation_.recordRead(std::move(zones), now))
        publishZones("store");
}

void JobEntryCore::handle(LinkId link, const Wire::EvacuatedZones& zones, Time now)
{
    const AgentRow* agent = findAgent(link);
    if (evacuation_.merge(zones, now))
        publishZones(agent ? agent->name_ : "entry");
}

void JobEntryCore::publishZones(std::string_view source)
{
    std::size_t excluded = std::count_if(agents_.begin(), agents_.end(), [this](const auto& row) { return evacuation_.contains(row.second.availabilityZone_); });
    log(std::move(describeChange(evacuation_, source).number("targets", agents_.size()).number("excluded", excluded)));
    for (const auto& [link, incarnation] : links_)
        send(link, evacuation_.set());
}

void JobEntryCore::sendZones(LinkId link)
{
    if (evacuation_.isKnown())
        send(link, evacuation_.set());
}

bool JobEntryCore::isUsable(const AgentRow& agent) const
{
    return agent.isUsable() && !evacuation_.contains(agent.availabilityZone_);
}

} // namespace Lagoonpick
