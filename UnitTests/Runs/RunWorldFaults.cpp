#include "UnitTests/Runs/RunWorldParts.h"

#include <algorithm>
#include <utility>

// Injection of the faults that `RunFaults` describes.

namespace Lagoonpick {

using std::chrono::milliseconds;

void RunWorld::killEntry(Entry& entry)
{
    entry.isUp_ = false;
    entry.pendingInputs_.clear();
    for (auto& [id, link] : std::map(links_)) {
        if (link->entry_ == &entry)
            closeLink(*link, false, true);
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
            closeLink(*link, true, false);
    }
    resetDrain(agent);
    at(now_ + randomDuration(milliseconds(50), milliseconds(1500)), [this, &agent] { startAgent(agent); });
}

void RunWorld::injectEntryFaults()
{
    for (auto& entry : entries_) {
        if (entry->isUp_ && chance(faults_.entryKill_))
            killEntry(*entry);
        else if (chance(faults_.entrySuspension_))
            entry->suspendedUntil_ = std::max(entry->suspendedUntil_, now_ + randomDuration(milliseconds(100), milliseconds(4000)));
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
        if (chance(faults_.clockStepBack_))
            agent->clockOffsetMs_ = -randomDuration(Duration(), std::chrono::seconds(5)).count() / 1000;
        if (agent->isUp_ && chance(faults_.agentKill_))
            killAgent(*agent);
        else if (chance(faults_.agentSuspension_))
            agent->suspendedUntil_ = std::max(agent->suspendedUntil_, now_ + randomDuration(milliseconds(100), milliseconds(3000)));
        if (faults_.entryHidden_ > 0 && chance(faults_.entryHidden_))
            hideEntry(*agent);
        injectTargetFaults(*agent);
        agent->target_->advance(now_);
        if (agent->target_->wasOvercommitted())
            reportViolation("capacity exceeded on target " + std::to_string(agent->index_));
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
        if (chance(faults_.linkReset_))
            closeLink(*link, true, true);
        else if (!link->isCut_ && chance(faults_.linkCut_))
            cutLink(link);
    }
}

void RunWorld::injectFaults()
{
    injectEntryFaults();
    injectAgentFaults();
    injectLinkFaults();
}

} // namespace Lagoonpick
