#include "Lagoonpick/Dispatch/EntryCore.h"

#include "Lagoonpick/Core/Underlying.h"

#include <algorithm>
#include <utility>

// The links of an entry to other processes, and changes of the platform view.

namespace Lagoonpick {

using Wire::Role;

namespace {

/// Time between two passes over all targets.
constexpr Duration sweepInterval = std::chrono::milliseconds(100);

} // namespace

void EntryCore::linkOpened(Time now, LinkId link)
{
    links_[toUnderlying(link)] = { .lastReceived_ = now };
    send(link, Wire::Hello { .role_ = Role::Entry, .incarnation_ = incarnation_, .name_ = settings_.name_, .availabilityZone_ = settings_.availabilityZone_ });
}

void EntryCore::linkClosed(LinkId link)
{
    auto found = links_.find(toUnderlying(link));
    if (found == links_.end())
        return;
    home_.agentDisconnected(link);
    auto peer = peers_.find(found->second.incarnation_);
    if (peer != peers_.end() && peer->second == link)
        peers_.erase(peer);
    links_.erase(found);
}

void EntryCore::closeLink(LinkId link)
{
    linkClosed(link);
    effects_.linksToClose_.push_back(link);
}

void EntryCore::receive(Time now, LinkId link, const Wire::Message& message)
{
    auto found = links_.find(toUnderlying(link));
    if (found == links_.end())
        return;
    found->second.lastReceived_ = now;
    ++messageCounts_[message.index()];
    if (const auto* hello = std::get_if<Wire::Hello>(&message)) {
        handleHello(now, link, *hello);
        return;
    }
    if (!found->second.hasReceivedHello_) {
        closeLink(link);
        return;
    }
    bool isFromAgent = home_.isAgent(link);
    std::visit([&](const auto& alternative) {
        if constexpr (requires { home_.receive(now, link, alternative); }) {
            if (isFromAgent)
                home_.receive(now, link, alternative);
        } else if constexpr (requires { handle(now, link, alternative); }) {
            handle(now, link, alternative);
        } else {
            closeLink(link);
        }
    },
        message);
}

void EntryCore::handleHello(Time now, LinkId link, const Wire::Hello& hello)
{
    Link& state = links_[toUnderlying(link)];
    bool isUsable = hello.version_ == Wire::protocolVersion && hello.incarnation_.isValid() && !state.hasReceivedHello_
        && hello.incarnation_ != incarnation_;
    if (!isUsable) {
        closeLink(link);
        return;
    }
    state.hasReceivedHello_ = true;
    state.role_ = hello.role_;
    state.incarnation_ = hello.incarnation_;
    state.name_ = hello.name_;
    if (!keepNewestLink(link, hello.incarnation_))
        return;
    if (hello.role_ == Role::Agent) {
        for (const auto& fenced : view_->membership_.fenced_)
            send(link, Wire::Fence { fenced.incarnation_ });
        home_.agentConnected(now, link, hello);
        return;
    }
    for (auto& message : forwards_.messagesFor(hello.incarnation_))
        send(link, std::move(message));
}

bool EntryCore::keepNewestLink(LinkId link, Incarnation incarnation)
{
    auto [known, isNew] = peers_.emplace(incarnation, link);
    if (isNew)
        return true;
    // Link ids increase. The order of arrival does not show which link is newer: the `Hello` of an older connection may
    // be read after that of a newer one.
    LinkId older = std::min(known->second, link);
    known->second = std::max(known->second, link);
    closeLink(older);
    return older != link;
}

void EntryCore::handle(Time, LinkId link, const Wire::FenceAck& message)
{
    const Link& agent = links_[toUnderlying(link)];
    fences_.acknowledge(message.incarnation_, agent.name_, agent.incarnation_);
}

void EntryCore::handle(Time, LinkId link, const Wire::Collected& message)
{
    auto settlement = settlements_.find(message.submission_);
    if (settlement != settlements_.end())
        settlement->second.collect(links_[toUnderlying(link)].incarnation_, message);
}

void EntryCore::handle(Time, LinkId, const Wire::Heartbeat&)
{
}

void EntryCore::viewChanged(Time, std::shared_ptr<const PlatformView> view, bool isFresh)
{
    auto previous = std::exchange(view_, std::move(view));
    isViewFresh_ = isFresh;
    isMaintenanceDue_ = true;
    home_.setEntryCount(view_->membership_.currentMembers().size());
    if (!isFenced()) {
        for (const auto& [name, registration] : view_->targets_)
            home_.agentRegistered(registration);
    }
    if (previous->membership_.fenced_ == view_->membership_.fenced_)
        return;
    fences_.retain(view_->membership_);
    sendFences();
}

void EntryCore::sendFences()
{
    for (const auto& [link, state] : links_) {
        if (!state.hasReceivedHello_ || state.role_ != Role::Agent)
            continue;
        for (const auto& fenced : view_->membership_.fenced_)
            send(LinkId(link), Wire::Fence { fenced.incarnation_ });
    }
}

void EntryCore::swapEnded(Time now, WriteOutcome outcome)
{
    membershipManager_.writeEnded(now, outcome);
    isMaintenanceDue_ = true;
}

void EntryCore::closeTimedOutLinks(Time now)
{
    std::vector<LinkId> timedOut;
    for (const auto& [id, link] : links_) {
        if (link.lastReceived_ + settings_.linkTimeout_ < now)
            timedOut.push_back(LinkId(id));
    }
    for (auto link : timedOut)
        closeLink(link);
}

void EntryCore::sendPeriodicMessages(Time now)
{
    if (now >= nextSweep_) {
        nextSweep_ = now + sweepInterval;
        home_.acknowledgeResults(now);
        home_.recallFromStalled(now);
    }
    recordSendTimes(now);
    // Any message shows that the link is alive, so only an idle link needs a heartbeat.
    for (auto& [id, link] : links_) {
        if (now < link.lastSent_ + settings_.heartbeatInterval_)
            continue;
        link.lastSent_ = now;
        send(LinkId(id), Wire::Heartbeat {});
    }
}

void EntryCore::recordSendTimes(Time now)
{
    for (; recordedMessages_ < effects_.messages_.size(); ++recordedMessages_) {
        auto link = links_.find(toUnderlying(effects_.messages_[recordedMessages_].link_));
        if (link != links_.end())
            link->second.lastSent_ = now;
    }
}

} // namespace Lagoonpick
