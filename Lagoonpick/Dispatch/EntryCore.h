#pragma once

#include "Lagoonpick/Dispatch/EntryEffects.h"
#include "Lagoonpick/Dispatch/EntrySettings.h"
#include "Lagoonpick/Dispatch/ForwardTable.h"
#include "Lagoonpick/Dispatch/Home.h"
#include "Lagoonpick/Dispatch/Settlement.h"
#include "Lagoonpick/Membership/FenceTable.h"
#include "Lagoonpick/Membership/MembershipKeeper.h"

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
    /// The reply is due then at the latest.
    Time until_;
    /// The caller's JSON; for `Submit` only.
    std::string body_;
};

/// Every decision of an entry: who is the home of a submission, what is answered, forwarded, refused or settled.
/// The jobs themselves are `Home`'s.
///
/// Inputs come in with the time, effects go out by `takeEffects`; the class has no socket, clock or random source
/// of its own, so the same inputs give the same effects. Not thread-safe.
class EntryCore {
public:
    EntryCore(const EntrySettings& settings, Incarnation incarnation, std::uint64_t seed);
    EntryCore(const EntryCore&) = delete;
    EntryCore& operator=(const EntryCore&) = delete;

    /// Replies with `count` fresh ids, whose home is this entry.
    void issue(Time now, RequestId request, std::uint32_t count);

    /// Replies exactly once, by `until_` at the latest if `tick` runs then.
    void handle(Time now, CallerRequest request);

    /// A connection to or from another process was opened.
    void linkOpened(Time now, LinkId link);

    /// A connection is gone, whoever closed it.
    void linkClosed(LinkId link);

    /// A message came in. A message that this role can't be sent closes the link.
    void receive(Time now, LinkId link, const Wire::Message& message);

    /// The platform was read again. `isFresh` says that the view is being kept up to date by a watch.
    void viewChanged(Time now, std::shared_ptr<const PlatformView> view, bool isFresh);

    /// The write that the last `CompareAndSwap` asked for has ended.
    void swapEnded(Time now, WriteOutcome outcome);

    /// Runs the systems; call after each batch of inputs and at least every 100 ms.
    void tick(Time now);

    /// Refuses new submissions from now on; known ones go on.
    void beginDrain();

    /// True once no job is open and no request waits.
    bool isDrained() const;

    /// Answers every waiting request with "unknown, ask again by id". For a process that must exit.
    void abandonRequests();

    /// Takes the entry out of the table and fences it. Call once drained, or when there is no more time.
    void leave() { keeper_.leave(); }

    /// True once the table says that this incarnation may start nothing any more.
    bool isFenced() const { return view_->membership_.isFenced(incarnation_); }

    /// What has to be done since the last call.
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

    /// Requests answered with a problem document so far, by its kind.
    const std::map<std::string, std::uint64_t, std::less<>>& refusalCounts() const { return refusalCounts_; }

    /// Messages sent and received so far, by kind.
    const std::array<std::uint64_t, Wire::messageKindCount>& messageCounts() const { return messageCounts_; }

private:
    struct Link {
        bool isGreeted_ { false };
        Wire::Role role_ { Wire::Role::Entry };
        Incarnation incarnation_;
        std::string name_;
        Time lastHeard_;
        Time lastSent_;
    };

    struct Origin {
        LinkId link_ {};
        std::uint64_t request_ { 0 };
    };

    void route(Time now, CallerRequest request, bool mayForward);
    std::optional<Problem> problemWithId(Time now, const SubmissionId&) const;
    void handleAtHome(Time now, const CallerRequest&);
    void forward(Time now, CallerRequest, Incarnation home);
    void settle(Time now, const CallerRequest&, FenceState);
    void beginRound(Time now, const SubmissionId&, Settlement&);
    void runSettlements(Time now);
    void runForwards(Time now);
    void replyToAll(const Settlement&, const Reply&);
    void refuse(RequestId, const SubmissionId&, const Problem&);
    void spreadFences();
    Duration settlementMargin() const;

    void greet(Time now, LinkId, const Wire::Hello&);
    void handle(Time now, LinkId, const Wire::Forward&);
    void handle(Time now, LinkId, const Wire::ForwardReply&);
    void handle(Time now, LinkId, const Wire::FenceAck&);
    void handle(Time now, LinkId, const Wire::Collected&);
    void handle(Time now, LinkId, const Wire::Heartbeat&);
    bool keepNewest(LinkId, Incarnation);
    void closeLink(LinkId);
    void closeSilentLinks(Time now);
    void sendHeartbeats(Time now);
    void noteSent(Time now);
    void send(LinkId, Wire::Message);
    void answerForwarded();

    EntrySettings settings_;
    Incarnation incarnation_;
    EntryEffects effects_;
    Home home_;
    MembershipKeeper keeper_;
    FenceTable fences_;
    ForwardTable forwards_;
    std::map<SubmissionId, Settlement> settlements_;
    std::shared_ptr<const PlatformView> view_;
    bool isViewFresh_ { false };
    bool isDraining_ { false };
    std::uint32_t issued_ { 0 };
    std::uint64_t nextForwarded_ { 0 };
    /// How many of the messages in `effects_` their links know of.
    std::size_t notedMessages_ { 0 };
    Time nextReview_;
    Time nextSweep_;
    bool mustReview_ { false };
    std::array<std::uint64_t, Wire::messageKindCount> messageCounts_ {};
    std::map<std::string, std::uint64_t, std::less<>> refusalCounts_;
    boost::unordered_flat_map<std::uint64_t, Link> links_;
    boost::unordered_flat_map<Incarnation, LinkId, std::hash<Incarnation>> peers_;
    boost::unordered_flat_map<std::uint64_t, Origin> origins_;
};

} // namespace Lagoonpick
