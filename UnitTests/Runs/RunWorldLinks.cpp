#include "UnitTests/Runs/RunWorldParts.h"

#include <algorithm>
#include <utility>

// The links between entries and agents.

namespace Lagoonpick {

using std::chrono::milliseconds;

namespace {

/// Maximum round-trip time for which a connection opens in time.
constexpr Duration maxConnectTime = milliseconds(200);

} // namespace

Duration RunWorld::Way::latency(Time now) const
{
    if (now < slowFrom_ || now >= slowUntil_)
        return {};
    // It grows over the first third of the time and falls over the last one.
    constexpr double slope = 3;
    Duration span = slowUntil_ - slowFrom_;
    double nearestEnd = static_cast<double>(std::min(now - slowFrom_, slowUntil_ - now).count()) / static_cast<double>(span.count());
    return scale(peak_, std::min(1.0, nearestEnd * slope));
}

void RunWorld::selectEntries(Agent& agent)
{
    std::set<std::string> listed;
    for (const auto& entry : entries_) {
        if (now_ >= agent.hiddenUntil_ || entry->address_ != agent.hiddenEntry_)
            listed.insert(entry->address_);
    }
    auto former = std::exchange(agent.selected_, agent.core_->selectEntries(std::move(listed), now_));
    for (const auto& entry : entries_) {
        bool isNew = agent.selected_.contains(entry->address_) && !former.contains(entry->address_);
        if (isNew && entry->isUp_)
            connect(*entry, agent);
    }
    for (const auto& [id, link] : std::map(links_)) {
        if (link->agent_ != &agent || !link->isOpenAtAgent_ || agent.selected_.contains(link->entry_->address_))
            continue;
        closeLink(link, true, false);
        agent.core_->linkClosed(id, now_);
    }
}

void RunWorld::connect(Entry& entry, Agent& agent)
{
    constexpr Duration retryDelay = milliseconds(250);
    // An agent keeps one connection to each address.
    bool isConnected = std::any_of(links_.begin(), links_.end(), [&](const auto& row) {
        const Link& link = *row.second;
        return link.entry_ == &entry && link.agent_ == &agent && link.agentIncarnation_ == agent.incarnationCount_ && link.isOpenAtAgent_;
    });
    if (isConnected)
        return;
    if (now_ < agent.wayUp_.lostUntil_ || agent.wayUp_.latency(now_) + agent.wayDown_.latency(now_) > maxConnectTime) {
        connectLater(entry, agent, retryDelay);
        return;
    }
    auto link = std::make_shared<Link>(Link { LinkId(++lastLink_), &entry, &agent, entry.incarnationCount_, agent.incarnationCount_ });
    links_[link->id_] = link;
    deliverToEntry(entry, entry.incarnationCount_, [this, &entry, link] { entry.core_->linkOpened(link->id_, now_); });
    deliverToAgent(agent, agent.incarnationCount_, [this, &agent, link] { agent.core_->linkOpened(link->id_, now_); });
}

void RunWorld::connectLater(Entry& entry, Agent& agent, Duration delay)
{
    at(now_ + delay, [this, &entry, &agent, incarnation = agent.incarnationCount_] {
        if (entry.isUp_ && agent.isUp_ && agent.incarnationCount_ == incarnation && agent.selected_.contains(entry.address_))
            connect(entry, agent);
    });
}

std::shared_ptr<RunWorld::Link> RunWorld::findLink(LinkId id) const
{
    auto found = links_.find(id);
    return found == links_.end() ? nullptr : found->second;
}

Time RunWorld::reserveArrival(Link& link, bool toAgent) const
{
    const Way& way = toAgent ? link.agent_->wayDown_ : link.agent_->wayUp_;
    Time& last = toAgent ? link.arrivesAtAgent_ : link.arrivesAtEntry_;
    last = std::max({ last, way.lostUntil_, now_ + linkDelay + way.latency(now_) });
    return last;
}

void RunWorld::endLinkAtEntry(const std::shared_ptr<Link>& link)
{
    link->isOpenAtEntry_ = false;
    if (!link->isOpenAtAgent_)
        links_.erase(link->id_);
}

void RunWorld::endLinkAtAgent(const std::shared_ptr<Link>& link)
{
    link->isOpenAtAgent_ = false;
    if (!link->isOpenAtEntry_)
        links_.erase(link->id_);
    connectLater(*link->entry_, *link->agent_, link->isCut_ ? milliseconds(1500) : randomDuration(milliseconds(25), milliseconds(100)));
}

void RunWorld::closeLink(const std::shared_ptr<Link>& link, bool notifiesEntry, bool notifiesAgent)
{
    if (!notifiesEntry && link->isOpenAtEntry_)
        endLinkAtEntry(link);
    if (!notifiesAgent && link->isOpenAtAgent_)
        endLinkAtAgent(link);
    // While a link is cut, neither end is notified that the other has closed it.
    if (!std::exchange(link->isOpen_, false) || link->isCut_)
        return;
    auto closeEntry = [this, link] {
        if (!link->isOpenAtEntry_)
            return;
        endLinkAtEntry(link);
        link->entry_->core_->linkClosed(link->id_, now_);
    };
    auto closeAgent = [this, link] {
        if (!link->isOpenAtAgent_)
            return;
        endLinkAtAgent(link);
        link->agent_->core_->linkClosed(link->id_, now_);
    };
    if (notifiesEntry)
        at(reserveArrival(*link, false), [this, link, closeEntry] { deliverToEntry(*link->entry_, link->entryIncarnation_, closeEntry); });
    if (notifiesAgent)
        at(reserveArrival(*link, true), [this, link, closeAgent] { deliverToAgent(*link->agent_, link->agentIncarnation_, closeAgent); });
}

void RunWorld::transmit(const std::shared_ptr<Link>& link, bool toAgent, Wire::RunMessage message)
{
    if (!link || !link->isOpen_)
        return;
    bool isOfTask = std::holds_alternative<Wire::StartRun>(message) || std::holds_alternative<Wire::RunEnded>(message) || std::holds_alternative<Wire::StopRun>(message);
    (isOfTask ? taskMessages_ : controlMessages_) += 1;
    if (link->isCut_) {
        link->heldMessages_.emplace_back(toAgent, std::move(message));
        return;
    }
    at(reserveArrival(*link, toAgent), [this, link, toAgent, sentAt = now_, message = std::move(message)] {
        if (toAgent) {
            deliverToAgent(*link->agent_, link->agentIncarnation_, [this, link, sentAt, message] {
                if (!link->isOpenAtAgent_)
                    return;
                traceAge("agent-" + std::to_string(link->agent_->index_), link->entry_->address_, message, sentAt);
                link->agent_->core_->receive(link->id_, message, now_);
            });
            return;
        }
        deliverToEntry(*link->entry_, link->entryIncarnation_, [this, link, sentAt, message] {
            if (!link->isOpenAtEntry_)
                return;
            traceAge(link->entry_->address_, link->agent_->name_, message, sentAt);
            link->entry_->core_->receive(link->id_, message, now_);
        });
    });
}

void RunWorld::traceAge(const std::string& receiver, const std::string& sender, const Wire::RunMessage& message, Time sentAt) const
{
    constexpr Duration notableAge = milliseconds(50);
    if (now_ - sentAt > notableAge)
        trace(receiver, { LogLine("handled_late").text("sender", sender).number("kind", message.index()).milliseconds("age_ms", now_ - sentAt) });
}

} // namespace Lagoonpick
