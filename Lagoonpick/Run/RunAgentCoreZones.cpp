#include "Lagoonpick/Run/RunAgentCore.h"

// The part of `RunAgentCore` that handles the evacuation of availability zones.

namespace Lagoonpick {

void RunAgentCore::handle(LinkId link, const Wire::EvacuatedZones& zones, Time now)
{
    bool wasPermitted = isZoneOpen();
    if (!evacuation_.merge(zones, now))
        return;
    log(std::move(describeChange(evacuation_, sessionOf(link)->name_).flag("open", isZoneOpen()).number("running", runs_.rows().size() - runs_.queuedCount()).number("waiting", runs_.queuedCount())));
    // Before the tasks that are returned, so that no entry places them in the zone again.
    for (const auto& [other, incarnation] : links_) {
        if (other != link)
            send(other, evacuation_.set());
    }
    returnTasksOfEvacuatedZone(now);
    if (wasPermitted != isZoneOpen())
        markReportsDue();
}

void RunAgentCore::returnTasksOfEvacuatedZone(Time now)
{
    if (!isZoneOpen())
        refuseQueued(Wire::NotStartedReason::ZoneEvacuated, now);
}

void RunAgentCore::exchangeZones(LinkId link, std::uint64_t peerRevision, Time now)
{
    if (evacuation_.revision() > peerRevision)
        send(link, evacuation_.set());
    else if (evacuation_.revision() < peerRevision)
        sendHeartbeat(link, now);
}

} // namespace Lagoonpick
