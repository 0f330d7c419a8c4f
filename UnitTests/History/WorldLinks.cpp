#include "UnitTests/History/World.h"

// The links between processes: delivery of messages, and connections that open, are cut and close.

namespace Lagoonpick::History {

namespace {

/// Limit on the rounds of `deliverAll`, each of which delivers a message or closes ends of cut connections.
constexpr int maxDeliveryRounds = 400;

} // namespace

void World::deliver(Connection& connection, std::size_t side, std::size_t messageIndex, bool isDuplicate)
{
    End& end = connection.ends_[side];
    Wire::Message message = end.inbox_[messageIndex];
    if (!isDuplicate)
        end.inbox_.erase(end.inbox_.begin() + static_cast<std::ptrdiff_t>(messageIndex));
    End receiver = end;
    if (receiver.isEntry_) {
        entries_[receiver.process_].core_->receive(now_, receiver.link_, message);
        applyEntryEffects(receiver.process_);
    } else {
        agents_[receiver.process_].core_->receive(now_, receiver.link_, message);
        applyAgentEffects(receiver.process_);
    }
}

void World::deliverAll()
{
    for (int round = 0; round < maxDeliveryRounds; ++round) {
        std::size_t end = 0;
        auto* connection = chooseNonEmptyInbox(static_cast<std::uint32_t>(round), end);
        if (!connection) {
            // A process notices a cut connection once it has handled all messages that arrived on it.
            bool hasClosed = false;
            for (auto& item : connections_) {
                for (std::size_t side = 0; side < 2; ++side) {
                    bool isDue = item.isCut_ && item.ends_[side].isOpen_ && isRunnable(item.ends_[side]);
                    if (isDue)
                        closeEnd(item, side);
                    hasClosed = hasClosed || isDue;
                }
            }
            std::erase_if(connections_, [](const Connection& item) { return !item.ends_[0].isOpen_ && !item.ends_[1].isOpen_; });
            if (!hasClosed)
                return;
            continue;
        }
        deliver(*connection, end, 0, false);
    }
}

void World::closeEnd(Connection& connection, std::size_t side)
{
    End& end = connection.ends_[side];
    if (!end.isOpen_ || !isRunnable(end))
        return;
    end.isOpen_ = false;
    end.inbox_.clear();
    End closed = end;
    if (closed.isEntry_) {
        entries_[closed.process_].core_->linkClosed(closed.link_);
        applyEntryEffects(closed.process_);
    } else {
        agents_[closed.process_].core_->linkClosed(closed.link_);
        applyAgentEffects(closed.process_);
    }
}

void World::cutProcessLinks(bool isEntry, std::size_t process)
{
    for (auto& connection : connections_) {
        for (auto& end : connection.ends_) {
            if (end.isEntry_ != isEntry || end.process_ != process)
                continue;
            end.isOpen_ = false;
            end.inbox_.clear();
            connection.isCut_ = true;
        }
    }
}

bool World::isConnected(bool isAgent, std::size_t from, std::size_t to) const
{
    return std::any_of(connections_.begin(), connections_.end(), [&](const Connection& connection) {
        const auto& ends = connection.ends_;
        return !connection.isCut_ && ends[0].process_ == from && ends[1].process_ == to && ends[1].isEntry_ != isAgent;
    });
}

void World::connect(bool isAgent, std::size_t from, std::size_t to)
{
    Connection connection;
    connection.ends_[0] = { .isEntry_ = true, .process_ = from, .link_ = LinkId(++lastLink_), .inbox_ = {} };
    connection.ends_[1] = { .isEntry_ = !isAgent, .process_ = to, .link_ = LinkId(++lastLink_), .inbox_ = {} };
    if (!isRunnable(connection.ends_[0]) || !isRunnable(connection.ends_[1]) || isConnected(isAgent, from, to))
        return;
    LinkId fromLink = connection.ends_[0].link_;
    LinkId toLink = connection.ends_[1].link_;
    connections_.push_back(std::move(connection));
    entries_[from].core_->linkOpened(now_, fromLink);
    if (isAgent)
        agents_[to].core_->linkOpened(now_, toLink);
    else
        entries_[to].core_->linkOpened(now_, toLink);
    applyEntryEffects(from);
    if (isAgent)
        applyAgentEffects(to);
    else
        applyEntryEffects(to);
}

void World::connectAll()
{
    for (std::size_t from = 0; from < entryCount; ++from) {
        for (std::size_t to = 0; to < agentCount; ++to)
            connect(true, from, to);
        for (std::size_t to = from + 1; to < entryCount; ++to)
            connect(false, from, to);
    }
}

void World::enqueue(bool isEntry, std::size_t process, const Wire::OutgoingMessage& item)
{
    for (auto& connection : connections_) {
        for (std::size_t side = 0; side < 2; ++side) {
            const End& from = connection.ends_[side];
            bool isSender = from.isEntry_ == isEntry && from.process_ == process && from.link_ == item.link_ && from.isOpen_;
            End& to = connection.ends_[1 - side];
            if (isSender && to.isOpen_ && !connection.isCut_)
                to.inbox_.push_back(item.message_);
        }
    }
}

void World::cutLinks(const std::vector<LinkId>& links)
{
    for (auto link : links) {
        for (auto& connection : connections_) {
            for (auto& end : connection.ends_) {
                if (end.link_ != link)
                    continue;
                end.isOpen_ = false;
                connection.isCut_ = true;
            }
        }
    }
}

} // namespace Lagoonpick::History
