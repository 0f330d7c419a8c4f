#pragma once

#include "Lagoonpick/Dispatch/EntryEffects.h"
#include "Lagoonpick/Dispatch/EntrySettings.h"
#include "Lagoonpick/Dispatch/ForwardTable.h"
#include "Lagoonpick/Dispatch/Home.h"
#include "Lagoonpick/Dispatch/Settlement.h"
#include "Lagoonpick/Membership/FenceTable.h"
#include "Lagoonpick/Membership/MembershipManager.h"

#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <map>
#include <memory>

namespace Lagoonpick {

/// A caller's request about one submission.
struct CallerRequest {
    RequestId request_ {};
    Wire::RequestKind kind_ { Wire::RequestKind::Submit };
    SubmissionId submission_;
    /// Deadline of the reply.
    Time until_;
    /// The caller's JSON body; for `Submit` only.
    std::string body_;
};

/// Makes every decision of an entry: which entry is the home of a submission, and whether a request is answered here,
/// forwarded, refused or settled from the agents' ledgers. `Home` manages the jobs whose home this entry is.
///
/// Inputs are passed in with the current time, and `takeEffects` returns the effects. The class has no socket or clock
/// of its own and takes the seed of its random source, so the same inputs give the same effects. Not thread-safe.
class EntryCore {
public:
    EntryCore(const EntrySettings& settings, Incarnation incarnation, std::uint64_t seed);
    EntryCore(const EntryCore&) = delete;
    EntryCore& operator=(const EntryCore&) = delete;

    /// Replies with `count` new ids whose home is this entry; refuses while draining or fenced.
    void issue(Time now, RequestId request, std::uint32_t count);

    /// Replies exactly once, by `until_` if `tick` runs then. Requests for a submission that is being settled share the
    /// deadline of the first of them.
    void handle(Time now, CallerRequest request);

    /// A link to or from another process was opened.
    void linkOpened(Time now, LinkId link);

    /// A link was closed, by either side.
    void linkClosed(LinkId link);

    /// Handles a message from the process at the other end of `link`. The link is closed if its first message is not a
    /// `Hello`, or if the message is of a kind that is never sent to entries.
    void receive(Time now, LinkId link, const Wire::Message& message);

    /// The platform's key-value service was read again. `isFresh` is true while a watch keeps the view up to date.
    void viewChanged(Time now, std::shared_ptr<const PlatformView> view, bool isFresh);

    /// The write requested by the last `CompareAndSwap` has ended.
    void swapEnded(Time now, WriteOutcome outcome);

    /// Runs all periodic work; call after each batch of inputs and at least every 100 ms.
    void tick(Time now);

    /// From now on issues no ids and accepts no new jobs; accepted jobs continue.
    void beginDrain();

    /// True while draining, once no job is open, no settlement is pending and no forwarded request, sent or received, waits.
    bool isDrained() const;

    /// Answers every waiting request with the problem `entry-exiting`: the outcome is unknown, and the caller can ask
    /// another entry by id. For a process that must exit.
    void abandonRequests();

    /// Removes this entry from the entries' table and fences it. Call once drained, or after the shutdown timeout.
    void leave() { membershipManager_.leave(); }

    /// True once the entries' table lists this incarnation as fenced: it may start no more tasks.
    bool isFenced() const { return view_->membership_.isFenced(incarnation_); }

    /// Returns the effects requested since the last call.
    EntryEffects takeEffects();

    Incarnation incarnation() const { return incarnation_; }
    const EntrySettings& settings() const { return settings_; }
    const Home& home() const { return home_; }
    const PlatformView& view() const { return *view_; }
    bool isViewFresh() const { return isViewFresh_; }
    bool isDraining() const { return isDraining_; }
    std::size_t forwardCount() const { return forwards_.size(); }
    std::size_t settlementCount() const { return settlements_.size(); }
    std::size_t linkCount() const { return links_.size(); }

    /// Number of requests answered with a problem document, by the kind of problem.
    const std::map<std::string, std::uint64_t, std::less<>>& refusalCounts() const { return refusalCounts_; }

    /// Number of messages sent and received, by kind.
    const std::array<std::uint64_t, Wire::messageKindCount>& messageCounts() const { return messageCounts_; }

private:
    /// A connection to another process: another entry or an agent.
    struct Link {
        bool hasReceivedHello_ { false };
        Wire::Role role_ { Wire::Role::Entry };
        Incarnation incarnation_;
        std::string name_;
        Time lastReceived_;
        Time lastSent_;
    };

    /// Where a forwarded request came from: the link, and the forwarding entry's number of the request.
    struct Origin {
        LinkId link_ {};
        std::uint64_t request_ { 0 };
    };

    void route(Time now, CallerRequest request, bool mayForward);
    std::optional<Problem> checkId(Time now, const SubmissionId&) const;
    void handleAtHome(Time now, const CallerRequest&);
    void forward(Time now, CallerRequest, Incarnation home);
    void settle(Time now, const CallerRequest&, FenceState);
    void beginRound(Time now, const SubmissionId&, Settlement&);
    void runSettlements(Time now);
    void runForwards(Time now);
    void replyToAll(const Settlement&, const Reply&);
    void refuse(RequestId, const SubmissionId&, const Problem&);
    void sendFences();

    /// How far a submission's time may be ahead of an agent's clock.
    Duration settlementMargin() const;

    void handleHello(Time now, LinkId, const Wire::Hello&);
    void handle(Time now, LinkId, const Wire::Forward&);
    void handle(Time now, LinkId, const Wire::ForwardReply&);
    void handle(Time now, LinkId, const Wire::FenceAck&);
    void handle(Time now, LinkId, const Wire::Collected&);
    void handle(Time now, LinkId, const Wire::Heartbeat&);
    bool keepNewestLink(LinkId, Incarnation);
    void closeLink(LinkId);
    void closeTimedOutLinks(Time now);
    void sendPeriodicMessages(Time now);
    void recordSendTimes(Time now);
    void send(LinkId, Wire::Message);
    void sendForwardReplies();

    EntrySettings settings_;
    Incarnation incarnation_;
    EntryEffects effects_;
    Home home_;
    MembershipManager membershipManager_;
    FenceTable fences_;
    ForwardTable forwards_;
    std::map<SubmissionId, Settlement> settlements_;
    std::shared_ptr<const PlatformView> view_;
    bool isViewFresh_ { false };
    bool isDraining_ { false };
    std::uint32_t issued_ { 0 };
    std::uint64_t nextForwardedRequest_ { 0 };
    /// Number of messages in `effects_` whose sending is recorded in `Link::lastSent_`.
    std::size_t recordedMessages_ { 0 };
    Time nextMaintenance_;
    Time nextSweep_;
    bool isMaintenanceDue_ { false };
    std::array<std::uint64_t, Wire::messageKindCount> messageCounts_ {};
    std::map<std::string, std::uint64_t, std::less<>> refusalCounts_;
    boost::unordered_flat_map<std::uint64_t, Link> links_;
    /// The newest link to each process, by its incarnation.
    boost::unordered_flat_map<Incarnation, LinkId, std::hash<Incarnation>> peers_;
    /// The unanswered requests that other entries forwarded here, by `RequestId`.
    boost::unordered_flat_map<std::uint64_t, Origin> origins_;
};

} // namespace Lagoonpick
