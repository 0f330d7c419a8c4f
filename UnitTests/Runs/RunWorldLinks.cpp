#include "UnitTests/Runs/RunWorldParts.h"

#include <utility>

// The links between entries and agents.

namespace Lagoonpick {

using std::chrono::milliseconds;

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
        if (link->agent_ == &agent && !agent.selected_.contains(link->entry_->address_))
            closeLink(*link, true, true);
    }
}

void RunWorld::connect(Entry& entry, Agent& agent)
{
    auto link = std::make_shared<Link>(Link { LinkId(++lastLink_), &entry, &agent, entry.incarnationCount_, agent.incarnationCount_ });
    links_[link->id_] = link;
    deliverToEntry(entry, entry.incarnationCount_, [this, &entry, link] { entry.core_->linkOpened(link->id_, now_); });
    deliverToAgent(agent, agent.incarnationCount_, [this, &agent, link] { agent.core_->linkOpened(link->id_, now_); });
}

std::shared_ptr<RunWorld::Link> RunWorld::findLink(LinkId id) const
{
    auto found = links_.find(id);
    return found == links_.end() ? nullptr : found->second;
}

void RunWorld::closeLink(Link& link, bool notifiesEntry, bool notifiesAgent)
{
    if (!link.isOpen_)
        return;
    link.isOpen_ = false;
    Entry& entry = *link.entry_;
    Agent& agent = *link.agent_;
    LinkId id = link.id_;
    std::uint64_t entryIncarnation = link.entryIncarnation_;
    std::uint64_t agentIncarnation = link.agentIncarnation_;
    auto closeEntry = [&entry, id, entryIncarnation, this] {
        deliverToEntry(entry, entryIncarnation, [&entry, id, this] { entry.core_->linkClosed(id, now_); });
    };
    auto closeAgent = [&agent, id, agentIncarnation, this] {
        deliverToAgent(agent, agentIncarnation, [&agent, id, this] { agent.core_->linkClosed(id, now_); });
    };
    // While a link is cut, neither end is notified that the other has closed it.
    if (notifiesEntry && !link.isCut_)
        at(now_ + linkDelay, closeEntry);
    if (notifiesAgent && !link.isCut_)
        at(now_ + linkDelay, closeAgent);
    Duration reconnectDelay = link.isCut_ ? milliseconds(1500) : randomDuration(milliseconds(25), milliseconds(100));
    at(now_ + reconnectDelay, [this, &entry, &agent, entryIncarnation, agentIncarnation] {
        if (entry.isUp_ && agent.isUp_ && entry.incarnationCount_ == entryIncarnation && agent.incarnationCount_ == agentIncarnation && agent.selected_.contains(entry.address_))
            connect(entry, agent);
    });
    links_.erase(id);
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
    at(now_ + linkDelay, [this, link, toAgent, message = std::move(message)] {
        if (toAgent) {
            deliverToAgent(*link->agent_, link->agentIncarnation_, [this, link, message] {
                if (link->isOpen_)
                    link->agent_->core_->receive(link->id_, message, now_);
            });
            return;
        }
        deliverToEntry(*link->entry_, link->entryIncarnation_, [this, link, message] {
            if (link->isOpen_)
                link->entry_->core_->receive(link->id_, message, now_);
        });
    });
}

} // namespace Lagoonpick
