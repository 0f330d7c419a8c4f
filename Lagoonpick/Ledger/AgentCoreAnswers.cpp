#include "Lagoonpick/Ledger/AgentCore.h"

#include "Lagoonpick/Core/Underlying.h"

#include <algorithm>
#include <cassert>
#include <utility>

// The part of `AgentCore` that reports tasks of the ledger: results until they are acknowledged, and replies to `Collect`,
// to `Query` and to repeated starts.

namespace Lagoonpick {

using Wire::Phase;

void AgentCore::handle(Time, LinkId, const Wire::ResultAcks& acks)
{
    for (const auto& key : acks.keys_)
        acknowledge(key);
    evictBodies();
}

void AgentCore::acknowledge(const TaskKey& key)
{
    auto index = ledger_.find(key);
    if (index == Ledger::noRow)
        return;
    LedgerRow& row = ledger_.at(index);
    if (row.phase_ != Phase::Done || row.isAcknowledged_)
        return;
    row.isAcknowledged_ = true;
    removeUnacknowledged(row);
    evictable_.push_back(key);
}

void AgentCore::removeUnacknowledged(const LedgerRow& row)
{
    auto found = unacknowledged_.find(row.home_);
    found->second.erase(row.key_);
    if (found->second.empty())
        unacknowledged_.erase(found);
}

void AgentCore::sendUnacknowledged(LinkId link, Incarnation home)
{
    auto found = unacknowledged_.find(home);
    if (found == unacknowledged_.end())
        return;
    for (const auto& key : found->second)
        sendResult(link, ledger_.at(ledger_.find(key)));
}

void AgentCore::evictBodies()
{
    while (keptBytes_ > settings_.maxKeptBytes_ && !evictable_.empty()) {
        auto index = ledger_.find(evictable_.front());
        evictable_.pop_front();
        if (index == Ledger::noRow)
            continue;
        LedgerRow& row = ledger_.at(index);
        keptBytes_ -= row.body_.size();
        row.isBodyKept_ = false;
        row.body_.clear();
        row.body_.shrink_to_fit();
    }
}

Wire::CollectedTask AgentCore::makeCollectedTask(const LedgerRow& row) const
{
    Wire::CollectedTask task { .task_ = row.key_.task_, .phase_ = row.phase_, .outcome_ = row.outcome_, .status_ = row.status_ };
    task.isBodyKept_ = row.phase_ == Phase::Done && row.isBodyKept_;
    if (task.isBodyKept_)
        task.body_ = row.body_;
    return task;
}

void AgentCore::handle(Time, LinkId link, const Wire::Collect& request)
{
    Wire::Collected reply { .submission_ = request.submission_ };
    for (auto index : ledger_.rowsOf(request.submission_)) {
        const LedgerRow& row = ledger_.at(index);
        reply.taskCount_ = std::max(reply.taskCount_, row.taskCount_);
        if (row.phase_ != Phase::Refused)
            reply.tasks_.push_back(makeCollectedTask(row));
    }
    send(link, std::move(reply));
}

void AgentCore::reportRow(LinkId link, Ledger::RowIndex index)
{
    const LedgerRow& row = ledger_.at(index);
    switch (row.phase_) {
    case Phase::Refused:
        sendRefusal(link, row);
        return;
    case Phase::Done:
        sendResult(link, row);
        return;
    case Phase::Queued:
    case Phase::Started:
        send(link, Wire::TaskState { .key_ = row.key_, .attempt_ = row.attempt_, .phase_ = row.phase_, .load_ = load() });
        return;
    }
}

void AgentCore::sendResult(LinkId link, const LedgerRow& row)
{
    send(link, Wire::Result { .key_ = row.key_, .attempt_ = row.attempt_, .outcome_ = row.outcome_, .status_ = row.status_, .runMicroseconds_ = row.runMicroseconds_, .body_ = row.body_, .load_ = load() });
}

void AgentCore::sendRefusal(LinkId link, const LedgerRow& row)
{
    send(link, Wire::Refusal { .key_ = row.key_, .attempt_ = row.attempt_, .reason_ = row.reason_, .load_ = load() });
}

} // namespace Lagoonpick
