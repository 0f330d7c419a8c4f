#include "Lagoonpick/Ledger/AgentCore.h"

#include "Lagoonpick/Core/Underlying.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Lagoonpick {

using Wire::Phase;
using Wire::RefusalReason;
using Wire::TaskOutcome;

namespace {

constexpr std::uint32_t minSuccessStatus = 200;
constexpr std::uint32_t maxSuccessStatus = 299;

/// The ledger may grow to this many times `maxLedgerRows_`. Rows beyond `maxLedgerRows_` are tombstones, with which a full
/// ledger can still refuse starts permanently.
constexpr std::size_t ledgerCapacityFactor = 2;

TaskOutcome outcomeOf(const TargetEnd& end)
{
    if (end.answer_ == TargetAnswer::Ambiguous)
        return TaskOutcome::Unknown;
    bool isSuccess = end.status_ >= minSuccessStatus && end.status_ <= maxSuccessStatus;
    return isSuccess ? TaskOutcome::Succeeded : TaskOutcome::Failed;
}

} // namespace

AgentCore::AgentCore(AgentSettings settings, Incarnation incarnation)
    : settings_(std::move(settings))
    , incarnation_(incarnation)
{
}

void AgentCore::becomeReady(std::uint64_t generation, std::span<const Incarnation> fenced)
{
    generation_ = generation;
    fenced_.insert(fenced.begin(), fenced.end());
    isReady_ = true;
}

void AgentCore::linkOpened(Time now, LinkId link)
{
    if (!isReady_) {
        effects_.linksToClose_.push_back(link);
        return;
    }
    links_[toUnderlying(link)] = { .entry_ = {}, .lastReceived_ = now };
    send(link, Wire::Hello { .role_ = Wire::Role::Agent, .incarnation_ = incarnation_, .generation_ = generation_, .name_ = settings_.name_, .availabilityZone_ = settings_.availabilityZone_, .service_ = settings_.service_, .load_ = load() });
}

void AgentCore::linkClosed(LinkId link)
{
    auto found = links_.find(toUnderlying(link));
    if (found == links_.end())
        return;
    auto newest = linkOf_.find(found->second.entry_);
    if (newest != linkOf_.end() && newest->second == link)
        linkOf_.erase(newest);
    links_.erase(found);
}

void AgentCore::closeLink(LinkId link)
{
    linkClosed(link);
    effects_.linksToClose_.push_back(link);
}

void AgentCore::receive(Time now, LinkId link, const Wire::Message& message)
{
    auto found = links_.find(toUnderlying(link));
    if (found == links_.end())
        return;
    found->second.lastReceived_ = now;
    ++messageCounts_[message.index()];
    bool hasReceivedHello = found->second.entry_.isValid();
    if (hasReceivedHello == std::holds_alternative<Wire::Hello>(message)) {
        closeLink(link);
        return;
    }
    std::visit([&](const auto& alternative) {
        if constexpr (requires { handle(now, link, alternative); })
            handle(now, link, alternative);
        else
            closeLink(link);
    },
        message);
}

void AgentCore::handle(Time, LinkId link, const Wire::Hello& hello)
{
    bool isUsable = hello.version_ == Wire::protocolVersion && hello.role_ == Wire::Role::Entry
        && hello.incarnation_.isValid();
    if (!isUsable) {
        closeLink(link);
        return;
    }
    links_[toUnderlying(link)].entry_ = hello.incarnation_;
    auto [known, isNew] = linkOf_.emplace(hello.incarnation_, link);
    // Messages left on an older connection may be read after the `Hello` of a newer one, so the higher id is the newer link.
    LinkId older = std::min(known->second, link);
    known->second = std::max(known->second, link);
    if (!isNew)
        closeLink(older);
    // Acknowledgements may have been lost with an older connection.
    if (known->second == link)
        sendUnacknowledged(link, hello.incarnation_);
}

void AgentCore::handle(Time, LinkId, const Wire::Heartbeat&)
{
}

std::optional<RefusalReason> AgentCore::checkStart(Time now, Incarnation home, const Wire::Start& start) const
{
    if (fenced_.contains(home))
        return RefusalReason::Fenced;
    Time createdAt = start.key_.submission_.createdAt();
    // An id with a time further ahead could outlive the row that is to refuse a second start.
    if (createdAt + settings_.rememberingWindow_ < now || createdAt > now + settings_.clockError_)
        return RefusalReason::Expired;
    if (isDraining_)
        return RefusalReason::Draining;
    if (start.service_ != settings_.service_)
        return RefusalReason::UnknownService;
    if (queue_.size() >= settings_.maxQueued_)
        return RefusalReason::QueueFull;
    if (ledger_.size() > settings_.maxLedgerRows_)
        return RefusalReason::LedgerFull;
    return std::nullopt;
}

void AgentCore::handle(Time now, LinkId link, const Wire::Start& start)
{
    Incarnation home = links_[toUnderlying(link)].entry_;
    auto index = ledger_.find(start.key_);
    if (index != Ledger::noRow) {
        const LedgerRow& known = ledger_.at(index);
        if (known.phase_ != Phase::Refused || start.attempt_ <= known.attempt_) {
            reportRow(link, index);
            return;
        }
    } else if (ledger_.size() >= ledgerCapacityFactor * settings_.maxLedgerRows_) {
        // Without room for a tombstone a refusal would not be permanent: send none. The home queries the task when it reconnects.
        return;
    } else {
        index = ledger_.add(start.key_, now);
    }
    LedgerRow& row = ledger_.at(index);
    row.attempt_ = start.attempt_;
    row.home_ = home;
    row.taskCount_ = start.taskCount_;
    if (auto reason = checkStart(now, home, start)) {
        refuse(index, *reason);
        sendRefusal(link, row);
        return;
    }
    enqueue(now, index, home, start);
}

void AgentCore::enqueue(Time now, Ledger::RowIndex index, Incarnation home, const Wire::Start& start)
{
    LedgerRow& row = ledger_.at(index);
    row.home_ = home;
    row.phase_ = Phase::Queued;
    row.timeoutMilliseconds_ = start.timeoutMilliseconds_;
    row.service_ = start.service_;
    row.body_ = start.payload_;
    queue_.insert({ now + Duration(start.dueInMicroseconds_), ++lastArrivalNumber_, index });
}

void AgentCore::refuse(Ledger::RowIndex index, RefusalReason reason)
{
    LedgerRow& row = ledger_.at(index);
    assert(row.phase_ == Phase::Refused || row.phase_ == Phase::Queued);
    ++refusals_;
    row.phase_ = Phase::Refused;
    row.reason_ = reason;
    row.body_.clear();
    row.body_.shrink_to_fit();
    effects_.audit_.push_back({ .event_ = AuditEvent::TaskRefused, .submission_ = row.key_.submission_, .task_ = row.key_.task_, .attempt_ = row.attempt_, .target_ = settings_.name_, .incarnation_ = row.home_ });
}

void AgentCore::handle(Time now, LinkId link, const Wire::Query& query)
{
    auto index = ledger_.find(query.key_);
    if (index == Ledger::noRow) {
        if (ledger_.size() >= ledgerCapacityFactor * settings_.maxLedgerRows_)
            return;
        index = ledger_.add(query.key_, now);
        ledger_.at(index).home_ = links_[toUnderlying(link)].entry_;
    }
    LedgerRow& row = ledger_.at(index);
    if (row.phase_ == Phase::Refused && row.attempt_ < query.attempt_) {
        // The attempt may still be in transit; the tombstone refuses it on arrival.
        row.attempt_ = query.attempt_;
        refuse(index, RefusalReason::NeverSeen);
    }
    reportRow(link, index);
}

void AgentCore::handle(Time, LinkId, const Wire::Cancel& cancel)
{
    dropQueued(RefusalReason::Cancelled, [&](const LedgerRow& row) { return row.key_.submission_ == cancel.submission_; });
}

void AgentCore::handle(Time, LinkId link, const Wire::Recall&)
{
    Incarnation home = links_[toUnderlying(link)].entry_;
    dropQueued(RefusalReason::Recalled, [&](const LedgerRow& row) { return row.home_ == home; });
}

void AgentCore::handle(Time, LinkId link, const Wire::Fence& fence)
{
    fenced_.insert(fence.incarnation_);
    dropQueued(RefusalReason::Fenced, [&](const LedgerRow& row) { return row.home_ == fence.incarnation_; });
    effects_.audit_.push_back({ .event_ = AuditEvent::EntryFenced, .target_ = settings_.name_, .incarnation_ = fence.incarnation_ });
    send(link, Wire::FenceAck { fence.incarnation_ });
}

template <typename Predicate>
void AgentCore::dropQueued(RefusalReason reason, Predicate matches)
{
    std::vector<Wire::Dropped> dropped;
    std::vector<Incarnation> homes;
    std::set<WaitingTask> remaining;
    for (const auto& waiting : queue_) {
        Ledger::RowIndex index = waiting.row_;
        LedgerRow& row = ledger_.at(index);
        if (!matches(row)) {
            remaining.insert(waiting);
            continue;
        }
        refuse(index, reason);
        if (dropped.empty() || dropped.back().submission_ != row.key_.submission_) {
            dropped.push_back({ .submission_ = row.key_.submission_, .reason_ = reason });
            homes.push_back(row.home_);
        }
        dropped.back().tasks_.push_back({ row.key_.task_, row.attempt_ });
    }
    queue_ = std::move(remaining);
    for (std::size_t i = 0; i < dropped.size(); ++i) {
        dropped[i].load_ = load();
        if (auto link = linkOf(homes[i]))
            send(*link, std::move(dropped[i]));
    }
}

void AgentCore::start(Time now, Ledger::RowIndex index)
{
    LedgerRow& row = ledger_.at(index);
    row.phase_ = Phase::Started;
    row.startedAt_ = now;
    ++running_;
    effects_.audit_.push_back({ .event_ = AuditEvent::TaskStarting, .submission_ = row.key_.submission_, .task_ = row.key_.task_, .attempt_ = row.attempt_, .target_ = settings_.name_, .incarnation_ = row.home_ });
    effects_.starts_.push_back({ .key_ = row.key_, .timeoutMilliseconds_ = row.timeoutMilliseconds_, .service_ = std::move(row.service_), .payload_ = std::move(row.body_) });
    row.service_ = {};
    row.body_ = {};
}

void AgentCore::targetEnded(Time now, const TargetEnd& end)
{
    auto index = ledger_.find(end.key_);
    assert(index != Ledger::noRow);
    LedgerRow& row = ledger_.at(index);
    assert(row.phase_ == Phase::Started);
    --running_;
    auto link = linkOf(row.home_);
    if (end.answer_ == TargetAnswer::NeverWritten) {
        row.phase_ = Phase::Refused;
        refuse(index, RefusalReason::TargetUnreachable);
        if (link)
            sendRefusal(*link, row);
        return;
    }
    row.phase_ = Phase::Done;
    row.outcome_ = outcomeOf(end);
    row.status_ = end.status_;
    row.runMicroseconds_ = static_cast<std::uint64_t>((now - row.startedAt_).count());
    runTimes_.add(now - row.startedAt_);
    row.body_ = end.body_;
    row.isBodyKept_ = true;
    keptBytes_ += row.body_.size();
    unacknowledged_[row.home_].insert(row.key_);
    effects_.audit_.push_back({ .event_ = AuditEvent::TaskEnded, .submission_ = row.key_.submission_, .task_ = row.key_.task_, .attempt_ = row.attempt_, .target_ = settings_.name_, .incarnation_ = row.home_ });
    if (link)
        sendResult(*link, row);
}

void AgentCore::tick(Time now)
{
    Duration retention = settings_.rememberingWindow_ + settings_.clockError_;
    ledger_.removeAddedBefore(now - retention, [&](const LedgerRow& row) {
        bool isActive = row.phase_ == Phase::Queued || row.phase_ == Phase::Started;
        if (isActive)
            return false;
        if (row.phase_ == Phase::Done && !row.isAcknowledged_)
            removeUnacknowledged(row);
        if (row.isBodyKept_)
            keptBytes_ -= row.body_.size();
        return true;
    });
    startQueued(now);
    closeTimedOutLinks(now);
    recordSendTimes(now);
    sendHeartbeats(now);
}

void AgentCore::startQueued(Time now)
{
    while (running_ < settings_.slots_ && !queue_.empty()) {
        auto first = queue_.extract(queue_.begin());
        start(now, first.value().row_);
    }
}

void AgentCore::sendHeartbeats(Time now)
{
    // Any message shows that the link is alive, and most messages carry the load: only an idle link needs a heartbeat.
    for (auto& [id, link] : links_) {
        if (now < link.lastSent_ + settings_.heartbeatInterval_)
            continue;
        link.lastSent_ = now;
        send(LinkId(id), Wire::Heartbeat { .load_ = load() });
    }
}

void AgentCore::recordSendTimes(Time now)
{
    for (const auto& item : effects_.messages_) {
        auto link = links_.find(toUnderlying(item.link_));
        if (link != links_.end())
            link->second.lastSent_ = now;
    }
}

void AgentCore::closeTimedOutLinks(Time now)
{
    std::vector<LinkId> timedOut;
    for (const auto& [id, link] : links_) {
        if (link.lastReceived_ + settings_.linkTimeout_ < now)
            timedOut.push_back(LinkId(id));
    }
    for (auto link : timedOut)
        closeLink(link);
}

void AgentCore::beginDrain()
{
    if (isDraining_)
        return;
    isDraining_ = true;
    dropQueued(RefusalReason::Draining, [](const LedgerRow&) { return true; });
    for (const auto& [id, link] : links_)
        send(LinkId(id), Wire::Heartbeat { .load_ = load() });
}

bool AgentCore::isDrained() const
{
    bool hasUnacknowledgedResult = std::any_of(unacknowledged_.begin(), unacknowledged_.end(),
        [&](const auto& item) { return linkOf_.contains(item.first); });
    return isDraining_ && !running_ && !hasUnacknowledgedResult;
}

Wire::Load AgentCore::load() const
{
    return { .slots_ = settings_.slots_, .running_ = running_, .queued_ = static_cast<std::uint32_t>(queue_.size()), .isDraining_ = isDraining_ };
}

std::optional<LinkId> AgentCore::linkOf(Incarnation entry) const
{
    auto found = linkOf_.find(entry);
    if (found == linkOf_.end())
        return std::nullopt;
    return found->second;
}

void AgentCore::send(LinkId link, Wire::Message message)
{
    effects_.messages_.push_back({ link, std::move(message) });
}

AgentEffects AgentCore::takeEffects()
{
    for (const auto& item : effects_.messages_)
        ++messageCounts_[item.message_.index()];
    return std::exchange(effects_, {});
}

} // namespace Lagoonpick
