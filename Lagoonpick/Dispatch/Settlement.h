#pragma once

#include "Lagoonpick/Dispatch/Job.h"
#include "Lagoonpick/Dispatch/Reply.h"
#include "Lagoonpick/Wire/Message.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Lagoonpick {

/// Determines the outcome of one submission whose home is fenced, from the ledgers of all agents.
///
/// The outcome depends on the ledgers alone, so every entry that queries them gives the same answer, and it agrees
/// with any answer that the home gave before it was fenced. Not thread-safe.
class Settlement {
public:
    Settlement(SubmissionId id, Time until);

    void addWaiter(RequestId request) { waiters_.push_back(request); }

    /// Starts a round in which every agent is queried; `agents` lists them all. `isCertain` is true if no ledger that
    /// could have held a start of the submission was lost before.
    void beginRound(std::set<Incarnation> agents, bool isCertain);

    /// Adds what one agent's ledger holds. Ignores an agent that is not part of the round: it may have registered later,
    /// with an empty ledger.
    void collect(Incarnation agent, const Wire::Collected&);

    /// True once every agent of the round has answered.
    bool isRoundOver() const { return hasBegun_ && awaitedAgents_.empty(); }

    /// The job's answer, or the problem to reply with if there is none; nothing while a task is queued or runs. Call when
    /// the round is over.
    std::optional<Reply> conclude() const;

    const std::vector<RequestId>& waiters() const { return waiters_; }
    /// Deadline of the replies to all waiters.
    Time until() const { return until_; }
    Time nextRound() const { return nextRound_; }
    void setNextRound(Time at) { nextRound_ = at; }

private:
    Reply concludeFromLedgers() const;

    SubmissionId id_;
    bool hasBegun_ { false };
    bool isCertain_ { false };
    Time until_;
    Time nextRound_;
    std::vector<RequestId> waiters_;
    std::set<Incarnation> awaitedAgents_;
    std::uint32_t taskCount_ { 0 };
    std::map<std::uint32_t, Wire::CollectedTask> tasks_;
};

} // namespace Lagoonpick
