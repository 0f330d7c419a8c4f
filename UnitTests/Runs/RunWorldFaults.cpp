#include "UnitTests/Runs/RunWorldParts.h"

#include <algorithm>
#include <utility>

// Injection of the faults that `RunFaults` describes.

namespace Lagoonpick {

using std::chrono::milliseconds;

namespace {

/// How long a process is stalled, counted from its last input: less than what counts as a suspension.
constexpr Duration minStall = milliseconds(100);
constexpr Duration maxStall = milliseconds(390);

} // namespace

void RunWorld::killEntry(Entry& entry)
{
    trace(entry.address_, { LogLine("killed") });
    entry.isUp_ = false;
    entry.pendingInputs_.clear();
    for (auto& [id, link] : std::map(links_)) {
        if (link->entry_ == &entry)
            closeLink(link, false, true);
    }
    for (auto& [caller, attempt] : std::map(callers_)) {
        if (entries_[attempt.entry_].get() == &entry)
            finishAttempt(caller, std::nullopt);
    }
    at(now_ + randomDuration(milliseconds(200), milliseconds(2000)), [this, &entry] { startEntry(entry); });
}

void RunWorld::killAgent(Agent& agent)
{
    agent.isUp_ = false;
    agent.pendingInputs_.clear();
    for (auto& [id, link] : std::map(links_)) {
        if (link->agent_ == &agent)
            closeLink(link, true, false);
    }
    resetDrain(agent);
    at(now_ + randomDuration(milliseconds(50), milliseconds(1500)), [this, &agent] { startAgent(agent); });
}

void RunWorld::stallEntry(Entry& entry)
{
    if (now_ < entry.suspendedUntil_)
        return;
    entry.suspendedUntil_ = entry.lastInputAt_ + randomDuration(minStall, maxStall);
    trace(entry.address_, { LogLine("stalled").milliseconds("for_ms", entry.suspendedUntil_ - now_) });
    at(entry.suspendedUntil_, [this, &entry, incarnation = entry.incarnationCount_] {
        if (entry.isUp_ && entry.incarnationCount_ == incarnation)
            tickEntry(entry);
    });
}

void RunWorld::stallAgent(Agent& agent)
{
    if (now_ < agent.suspendedUntil_)
        return;
    agent.suspendedUntil_ = agent.lastInputAt_ + randomDuration(minStall, maxStall);
    trace("agent-" + std::to_string(agent.index_), { LogLine("stalled").milliseconds("for_ms", agent.suspendedUntil_ - now_) });
    at(agent.suspendedUntil_, [this, &agent, incarnation = agent.incarnationCount_] {
        if (agent.isUp_ && agent.incarnationCount_ == incarnation)
            tickAgent(agent);
    });
}

void RunWorld::replaceMachine(Agent& agent)
{
    agent.isReplaced_ = true;
    const Time end = now_ + randomDuration(milliseconds(100), milliseconds(4000));
    agent.wayUp_.lostUntil_ = end;
    agent.wayDown_.lostUntil_ = end;
    at(end, [this, &agent] {
        agent.isUp_ = false;
        agent.target_->restart(now_);
    });
    at(now_ + randomDuration(milliseconds(100), milliseconds(1500)), [this, &agent] {
        startAgent(addMachine(agent.name_, "target-" + std::to_string(agents_.size()), agent.target_->heartbeat().capacity_));
    });
}

void RunWorld::injectEntryFaults()
{
    for (auto& entry : entries_) {
        if (entry->isUp_ && chance(faults_.entryKill_))
            killEntry(*entry);
        else if (chance(faults_.entrySuspension_))
            entry->suspendedUntil_ = std::max(entry->suspendedUntil_, now_ + randomDuration(milliseconds(100), milliseconds(4000)));
        if (faults_.entryStall_ > 0 && entry->isUp_ && chance(faults_.entryStall_))
            stallEntry(*entry);
    }
}

void RunWorld::injectTargetFaults(Agent& agent)
{
    if (chance(faults_.targetRestart_))
        restartTarget(agent);
    if (faults_.targetReplacement_ > 0 && chance(faults_.targetReplacement_)) {
        std::string id = "target-" + std::to_string(agent.index_) + "-" + std::to_string(agent.target_->incarnation() + 1);
        agent.target_->replace(id, { chance(0.5) ? requiredLabel : "other" }, now_);
        resetCalls(agent);
        resetDrain(agent);
        // A target reports as soon as it is up.
        sendHeartbeat(agent);
    }
    if (chance(faults_.targetCut_))
        agent.targetCutUntil_ = now_ + randomDuration(milliseconds(50), milliseconds(2500));
    if (faults_.stopLoss_ > 0 && chance(faults_.stopLoss_))
        agent.stopsLostUntil_ = now_ + randomDuration(milliseconds(500), milliseconds(3000));
    if (chance(faults_.targetDrain_))
        agent.target_->setDraining();
    if (chance(faults_.targetFailure_))
        agent.target_->setFailing(chance(0.5));
    if (faults_.strayHeartbeat_ > 0 && chance(faults_.strayHeartbeat_))
        sendStrayHeartbeat(agent);
}

void RunWorld::restartTarget(Agent& agent)
{
    agent.target_->restart(now_, faults_.targetClockStepBack_ > 0 && chance(faults_.targetClockStepBack_));
    resetCalls(agent);
    resetDrain(agent);
}

void RunWorld::sendStrayHeartbeat(Agent& agent)
{
    TargetHeartbeat heartbeat = agent.target_->heartbeat();
    if (chance(0.5))
        heartbeat.incarnation_.id_ = "another";
    heartbeat.incarnation_.startedAt_ += chance(0.5) ? 1000 : -1;
    heartbeat.isDraining_ = chance(0.3);
    // More room than any target has.
    heartbeat.capacity_.milliCores_ *= 4;
    deliverToAgent(agent, agent.incarnationCount_, [this, &agent, heartbeat] { agent.core_->receive(heartbeat, now_); });
}

void RunWorld::hideEntry(Agent& agent)
{
    agent.hiddenEntry_ = entries_[random_() % entries_.size()]->address_;
    agent.hiddenUntil_ = now_ + randomDuration(milliseconds(500), milliseconds(4000));
}

void RunWorld::injectAgentFaults()
{
    for (auto& agent : agents_) {
        if (agent->isReplaced_)
            continue;
        if (faults_.machineReplacement_ > 0 && agent->isUp_ && chance(faults_.machineReplacement_)) {
            replaceMachine(*agent);
            continue;
        }
        if (chance(faults_.clockStepBack_))
            agent->clockOffsetMs_ = -randomDuration(Duration(), std::chrono::seconds(5)).count() / 1000;
        if (agent->isUp_ && chance(faults_.agentKill_))
            killAgent(*agent);
        else if (chance(faults_.agentSuspension_))
            agent->suspendedUntil_ = std::max(agent->suspendedUntil_, now_ + randomDuration(milliseconds(100), milliseconds(3000)));
        if (faults_.agentStall_ > 0 && agent->isUp_ && chance(faults_.agentStall_))
            stallAgent(*agent);
        injectWayFaults(*agent);
        if (faults_.entryHidden_ > 0 && chance(faults_.entryHidden_))
            hideEntry(*agent);
        injectTargetFaults(*agent);
        agent->target_->advance(now_);
        if (agent->target_->wasOvercommitted())
            reportViolation("capacity exceeded on target " + std::to_string(agent->index_));
    }
}

void RunWorld::slowDown(Way& way, Duration span)
{
    if (now_ < way.slowUntil_)
        return;
    way.slowFrom_ = now_;
    way.slowUntil_ = now_ + span;
    way.peak_ = randomDuration(faults_.maxLatency_ / 2, faults_.maxLatency_);
}

void RunWorld::injectWayFaults(Agent& agent)
{
    constexpr Duration maxSlowTime = milliseconds(6000);
    constexpr Duration minTime = milliseconds(300);
    if (faults_.slowWay_ > 0 && chance(faults_.slowWay_))
        slowDown(chance(0.5) ? agent.wayUp_ : agent.wayDown_, randomDuration(minTime, maxSlowTime));
    if (faults_.lostWayUp_ > 0 && chance(faults_.lostWayUp_)) {
        Duration span = randomDuration(minTime, milliseconds(4000));
        agent.wayUp_.lostUntil_ = now_ + span;
        slowDown(agent.wayDown_, span);
    }
}

void RunWorld::cutLink(const std::shared_ptr<Link>& link)
{
    link->isCut_ = true;
    at(now_ + randomDuration(milliseconds(50), milliseconds(3000)), [this, link] {
        link->isCut_ = false;
        for (auto& [toAgent, message] : std::exchange(link->heldMessages_, {}))
            transmit(link, toAgent, std::move(message));
    });
}

void RunWorld::injectLinkFaults()
{
    for (auto& [id, link] : std::map(links_)) {
        if (!link->isOpen_)
            continue;
        if (chance(faults_.linkReset_))
            closeLink(link, true, true);
        else if (!link->isCut_ && chance(faults_.linkCut_))
            cutLink(link);
    }
}

void RunWorld::injectFaults()
{
    injectEntryFaults();
    injectAgentFaults();
    injectLinkFaults();
    injectZoneChanges();
}

} // namespace Lagoonpick
