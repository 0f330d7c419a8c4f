#include "UnitTests/Runs/RunWorldParts.h"

#include <algorithm>
#include <utility>

// What goes wrong.

namespace Lagoonpick {

using std::chrono::milliseconds;

void RunWorld::killEntry(Entry& entry)
{
    entry.isUp_ = false;
    entry.inbox_.clear();
    for (auto& [id, link] : std::map(links_)) {
        if (link->entry_ == &entry)
            breakLink(*link, false, true);
    }
    for (auto& [caller, attempt] : std::map(callers_)) {
        if (entries_[attempt.entry_].get() == &entry)
            finishAttempt(caller, std::nullopt);
    }
    at(now_ + between(milliseconds(200), milliseconds(2000)), [this, &entry] { startEntry(entry); });
}

void RunWorld::killAgent(Agent& agent)
{
    agent.isUp_ = false;
    agent.inbox_.clear();
    for (auto& [id, link] : std::map(links_)) {
        if (link->agent_ == &agent)
            breakLink(*link, true, false);
    }
    agent.drainAcknowledgedAt_.reset();
    at(now_ + between(milliseconds(50), milliseconds(1500)), [this, &agent] { startAgent(agent); });
}

void RunWorld::harmEntries()
{
    for (auto& entry : entries_) {
        if (entry->isUp_ && chance(faults_.entryKill_))
            killEntry(*entry);
        else if (chance(faults_.entryFreeze_))
            entry->frozenUntil_ = std::max(entry->frozenUntil_, now_ + between(milliseconds(100), milliseconds(4000)));
    }
}

void RunWorld::harmTarget(Agent& agent)
{
    if (chance(faults_.targetRestart_)) {
        agent.target_->restart(now_);
        resetCalls(agent);
        agent.drainAcknowledgedAt_.reset();
    }
    if (chance(faults_.targetCut_))
        agent.targetCutUntil_ = now_ + between(milliseconds(50), milliseconds(2500));
    if (chance(faults_.drain_))
        agent.target_->setDraining();
    if (chance(faults_.failing_))
        agent.target_->setFailing(chance(0.5));
}

void RunWorld::harmAgents()
{
    for (auto& agent : agents_) {
        if (chance(faults_.clockBack_))
            agent->clockOffsetMs_ = -between(Duration(), std::chrono::seconds(5)).count() / 1000;
        if (agent->isUp_ && chance(faults_.agentKill_))
            killAgent(*agent);
        else if (chance(faults_.agentFreeze_))
            agent->frozenUntil_ = std::max(agent->frozenUntil_, now_ + between(milliseconds(100), milliseconds(3000)));
        harmTarget(*agent);
        agent->target_->advance(now_);
        if (agent->target_->wasOvercommitted())
            report("more than the target's room: " + std::to_string(agent->index_));
    }
}

void RunWorld::cutLink(const std::shared_ptr<Link>& link)
{
    link->isCut_ = true;
    at(now_ + between(milliseconds(50), milliseconds(3000)), [this, link] {
        link->isCut_ = false;
        for (auto& [toAgent, message] : std::exchange(link->held_, {}))
            transmit(link, toAgent, std::move(message));
    });
}

void RunWorld::harmLinks()
{
    for (auto& [id, link] : std::map(links_)) {
        if (chance(faults_.linkReset_))
            breakLink(*link, true, true);
        else if (!link->isCut_ && chance(faults_.linkCut_))
            cutLink(link);
    }
}

void RunWorld::misbehave()
{
    harmEntries();
    harmAgents();
    harmLinks();
}

} // namespace Lagoonpick
