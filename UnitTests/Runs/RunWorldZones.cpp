#include "UnitTests/Runs/RunWorldParts.h"

// The operators who evacuate availability zones, and the entries' reads of the store that show it.

namespace Lagoonpick {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t zoneCount = 2;
/// Time after a zone's evacuation or its withdrawal by which every process in contact applies it.
constexpr Duration maxZoneChangeTime = milliseconds(5000);
/// Interval of an entry's reads that no reported change causes: two watches.
constexpr Duration zoneReadInterval = milliseconds(2000);
constexpr Duration zoneReadRetryDelay = milliseconds(100);
/// From a change in the store until a watch reports it.
constexpr Duration watchDelay = milliseconds(5);
/// Before the end of a history all evacuations are withdrawn, so that each zone serves again.
constexpr Duration timeWithoutEvacuation = milliseconds(8000);

} // namespace

std::string RunWorld::zoneOf(std::size_t machine)
{
    return "zone-" + std::to_string(machine % zoneCount);
}

void RunWorld::beginZoneReads(Entry& entry)
{
    if (faults_.zoneChange_ <= 0) {
        entry.core_->setEvacuatedZones({ 1, {} }, now_);
        return;
    }
    scheduleZoneReads(entry, entry.incarnationCount_, watchDelay);
}

void RunWorld::scheduleZoneReads(Entry& entry, std::uint64_t incarnation, Duration delay)
{
    at(now_ + delay, [this, &entry, incarnation] {
        if (entry.incarnationCount_ != incarnation || !entry.isUp_)
            return;
        readZones(entry, incarnation);
        scheduleZoneReads(entry, incarnation, zoneReadInterval);
    });
}

void RunWorld::readZones(Entry& entry, std::uint64_t incarnation)
{
    if (entry.incarnationCount_ != incarnation || !entry.isUp_)
        return;
    if (now_ < entry.storeCutUntil_) {
        at(now_ + zoneReadRetryDelay, [this, &entry, incarnation] { readZones(entry, incarnation); });
        return;
    }
    Wire::EvacuatedZones zones { storeRevision_, {} };
    for (const auto& [zone, change] : zoneChanges_) {
        if (change.isEvacuated_)
            zones.names_.push_back(zone);
    }
    Duration delay = chance(faults_.zoneReadLate_) ? randomDuration(milliseconds(100), milliseconds(1500)) : watchDelay;
    at(now_ + delay, [this, &entry, incarnation, zones] {
        deliverToEntry(entry, incarnation, [this, &entry, zones] {
            std::uint64_t former = entry.core_->evacuation().revision();
            entry.core_->setEvacuatedZones(zones, now_);
            if (entry.core_->evacuation().revision() < former)
                reportViolation("entry " + entry.address_ + " replaced a set of zones by an older one");
        });
    });
}

void RunWorld::changeZone(const std::string& zone, bool isEvacuated)
{
    ++storeRevision_;
    trace("operator", { LogLine("zone_changed").text("zone", zone).flag("evacuated", isEvacuated) });
    zoneChanges_[zone] = { isEvacuated, now_ };
    for (auto& entry : entries_) {
        if (!chance(faults_.zoneChangeMissed_))
            at(now_ + watchDelay, [this, &entry = *entry, incarnation = entry->incarnationCount_] { readZones(entry, incarnation); });
    }
}

void RunWorld::injectZoneChanges()
{
    if (faults_.zoneChange_ <= 0)
        return;
    // Other keys of the store change all the time.
    ++storeRevision_;
    for (std::size_t i = 0; i < zoneCount; ++i) {
        bool isEvacuated = zoneChanges_[zoneOf(i)].isEvacuated_;
        bool isLast = now_ > end_ - timeWithoutEvacuation;
        if (isLast ? isEvacuated : chance(faults_.zoneChange_))
            changeZone(zoneOf(i), !isEvacuated);
    }
    for (auto& entry : entries_) {
        if (faults_.storeCut_ > 0 && chance(faults_.storeCut_))
            entry->storeCutUntil_ = now_ + randomDuration(milliseconds(100), milliseconds(2000));
    }
    checkZones();
}

void RunWorld::checkZones()
{
    auto isStale = [this](const EvacuationState& state, const std::string& zone, Time inContactSince) {
        const ZoneChange& change = zoneChanges_[zone];
        return state.isKnown() && state.contains(zone) != change.isEvacuated_ && now_ - std::max(change.at_, inContactSince) > maxZoneChangeTime;
    };
    for (const auto& agent : agents_) {
        bool isInContact = agent->isUp_ && !agent->isReplaced_ && now_ >= agent->suspendedUntil_ && agent->core_->linkedEntryCount() == entries_.size();
        if (isInContact && isStale(agent->core_->evacuation(), zoneOf(agent->index_), Time()))
            reportViolation("agent " + std::to_string(agent->index_) + " has an old set of zones");
    }
    for (const auto& entry : entries_) {
        for (std::size_t i = 0; i < zoneCount; ++i) {
            if (entry->isUp_ && now_ >= entry->suspendedUntil_ && isStale(entry->core_->evacuation(), zoneOf(i), entry->storeCutUntil_))
                reportViolation("entry " + entry->address_ + " has an old set of zones");
        }
    }
}

void RunWorld::checkStartsSent(const Agent& agent, const std::vector<StartCall>& starts)
{
    const EvacuationState& evacuation = agent.core_->evacuation();
    if (!starts.empty() && (!evacuation.isKnown() || evacuation.contains(zoneOf(agent.index_))))
        reportViolation("start sent by agent " + std::to_string(agent.index_) + ", which knows that its zone is evacuated or knows no set");
}

void RunWorld::checkZoneOfStart(std::size_t machine, const RunName& name)
{
    auto change = zoneChanges_.find(zoneOf(machine));
    if (change == zoneChanges_.end())
        return;
    if (change->second.isEvacuated_ && now_ - change->second.at_ > maxZoneChangeTime)
        reportViolation("task started in an evacuated zone: " + name.task_);
    if (!change->second.isEvacuated_ && change->second.at_ != Time())
        ++startsAfterWithdrawal_;
}

} // namespace Lagoonpick
