#include "Lagoonpick/Run/RunAgentCore.h"

#include <algorithm>

// The part of `RunAgentCore` that renews the lease of the target's runs and handles the lists in the answers.

namespace Lagoonpick {

using Wire::NotStartedReason;
using Wire::RunEnd;

namespace {

/// Call number of the stops of orphans; no run has it.
constexpr std::uint64_t orphanCall = 0;
/// Pause before the next regular renewal after an unanswered or misdirected one, or while there are orphans: a fraction of
/// the lease.
constexpr Duration renewalPause = std::chrono::milliseconds(20);
/// Maximum share by which a target's clock may be slower than this agent's; a lease then lasts longer by that share.
constexpr double maxClockDrift = 0.02;

/// The longest time on this agent's clock for a time on a target's.
Duration withDrift(Duration onTarget)
{
    return onTarget + scale(onTarget, maxClockDrift);
}

} // namespace

/// Keeps one renewal in flight, and a second while there are runs: if the answer to one is lost, the other still lists the
/// runs that ended.
void RunAgentCore::keepRenewalsInFlight(Time now)
{
    if (now < renewAt_)
        return;
    bool isSteady = hasLeaseAnswer_ && orphans_.empty();
    std::size_t desired = isSteady && !runs_.rows().empty() ? 2 : 1;
    Duration wait = isSteady ? settings_.renewalWait_ : Duration();
    while (pendingLeases_.size() < desired && target_.incarnation().isValid())
        renewLease(wait, now);
}

void RunAgentCore::renewLease(Duration wait, Time now)
{
    LeaseCall call { .call_ = ++lastCall_, .leaseUntil_ = {}, .fencingToken_ = fencingToken_, .highestSeenEnd_ = highestSeenEnd_, .wait_ = wait, .expectedTarget_ = target_.incarnation().id_ };
    // The lease is not extended while there are orphans or may be some, since runs of an earlier incarnation of this agent
    // must not go on; nor while the target does not answer, so that its lease expires; nor while the target may have
    // restarted, since the clock of its previous incarnation no longer applies; nor while a run may be there that its entry
    // takes for over soon.
    bool isAnswering = now - leaseAnsweredAt_ <= settings_.times_.lease_ / 2;
    auto clock = target_.clockAt(now);
    if (hasLeaseAnswer_ && isAnswering && !unansweredAt_ && orphans_.empty() && mayExtendLease(now) && clock) {
        call.leaseUntil_ = *clock + std::chrono::duration_cast<std::chrono::milliseconds>(settings_.times_.lease_).count();
        recordLease(now);
    }
    // A next incarnation numbers its ends anew, and would forget some that nobody has seen.
    if (!isAnswering || unansweredAt_)
        call.highestSeenEnd_ = 0;
    pendingLeases_[call.call_] = { now, fencingToken_, call.leaseUntil_.has_value() };
    effects_.leases_.push_back(std::move(call));
}

bool RunAgentCore::mayExtendLease(Time now) const
{
    const Time leaseEnd = now + settings_.times_.lease_;
    return std::all_of(runs_.rows().begin(), runs_.rows().end(), [&](const auto& row) {
        const Run& run = row.second;
        if (run.phase_ == RunPhase::Queued || run.isStopAnswered_)
            return true;
        bool isStopOverdue = run.phase_ == RunPhase::Stopping && now - run.stopBeganAt_ >= settings_.times_.stopTimeout_;
        return !isStopOverdue && mayRunUntil(run.entry_, leaseEnd);
    });
}

void RunAgentCore::recordLease(Time now)
{
    // The target's clock was read with its last answer.
    Duration sinceAnswer = now - leaseAnsweredAt_;
    leaseEndsAt_ = std::max(leaseEndsAt_, leaseAnsweredAt_ + withDrift(sinceAnswer + settings_.times_.lease_));
    recordLeaseOfNext(now);
}

void RunAgentCore::recordLeaseOfNext(Time now)
{
    leaseOfNextEndsAt_ = now + withDrift(settings_.times_.maxLease_);
}

void RunAgentCore::receive(const LeaseReply& reply, Time now)
{
    auto pending = pendingLeases_.find(reply.call_);
    if (pending == pendingLeases_.end())
        return;
    PendingLease sent = pending->second;
    pendingLeases_.erase(pending);
    switch (reply.answer_) {
    case CallAnswer::Accepted:
        break;
    case CallAnswer::Fenced:
        if (sent.tokenUsed_ == fencingToken_)
            raiseFencingToken(now);
        keepRenewalsInFlight(now);
        return;
    case CallAnswer::WrongTarget:
        handleAbsence(now);
        return;
    default:
        ++counters_.leaseAnswersMissed_;
        if (sent.extendsLease_)
            recordLeaseOfNext(now);
        handleUnansweredLease(now);
        return;
    }
    bool hasRestarted = target_.confirm(reply.startedAt_);
    if (hasRestarted)
        handleRestart(now);
    if (isLeaseLost_) {
        log(LogLine("target_regained").text("target", target_.incarnation().id_));
        isLeaseLost_ = false;
        markReportsDue();
    }
    leaseAnsweredAt_ = now;
    if (hasRestarted) {
        // Its lists prove nothing: calls of before the restart may still be carried out until a call with the raised token was.
        keepRenewalsInFlight(now);
        return;
    }
    if (reply.clock_)
        target_.updateClock(*reply.clock_, now);
    if (unansweredAt_ && sent.sentAt_ >= *unansweredAt_) {
        unansweredAt_.reset();
        target_.dropClaim();
    }
    handleEnds(reply, now);
    handleRunning(reply, sent.sentAt_, now);
    if (!hasLeaseAnswer_ && !reply.hasUnreadRuns_) {
        hasLeaseAnswer_ = true;
        // Calls with a time of a former clock, and those of an earlier incarnation of this agent, were carried out before this one.
        leaseEndsAt_ = now + withDrift(settings_.times_.maxLease_);
        markReportsDue();
    }
    if (!orphans_.empty() || !hasLeaseAnswer_)
        renewAt_ = now + renewalPause;
    keepRenewalsInFlight(now);
}

/// Handles an unanswered lease call: the target may have restarted. A restarted target grants a start whose lease end refers
/// to its previous clock the longest lease that it allows, which is longer than entries wait for a lost agent. So the target
/// is asked for its incarnation before anything else is started.
void RunAgentCore::handleUnansweredLease(Time now)
{
    bool isNew = !unansweredAt_;
    unansweredAt_ = now;
    renewAt_ = now + renewalPause;
    if (isNew && hasLeaseAnswer_)
        renewLease(Duration(), now);
    acceptClaimOfSilentTarget(now);
}

/// A claim proves nothing: the heartbeat may be late, or come from another writer. Until the address has answered, the known
/// target keeps its runs and their leases, but nothing is started there, since it may have restarted.
void RunAgentCore::checkClaim(const TargetHeartbeat& claim, Time now)
{
    log(LogLine("target_claimed").text("target", claim.incarnation_.id_).number("born_ms", claim.incarnation_.startedAt_).text("known", target_.incarnation().id_).number("known_born_ms", target_.incarnation().startedAt_));
    if (unansweredAt_)
        return;
    unansweredAt_ = now;
    renewLease(Duration(), now);
}

bool RunAgentCore::mayHaveRuns() const
{
    auto isSent = [](const auto& row) { return row.second.phase_ != RunPhase::Queued; };
    return std::any_of(runs_.rows().begin(), runs_.rows().end(), isSent);
}

void RunAgentCore::acceptClaimOfSilentTarget(Time now)
{
    if (!mayHaveRuns() && (!hasLeaseAnswer_ || isLeaseLost_) && target_.acceptClaim())
        beginTarget(now);
}

/// Handles a target that has become the known one. The runs of the former one have ended, or were counted as lost.
void RunAgentCore::beginTarget(Time now)
{
    const TargetHeartbeat& heartbeat = target_.heartbeat();
    log(LogLine("target_began").text("target", heartbeat.incarnation_.id_).number("born_ms", heartbeat.incarnation_.startedAt_).text("service", heartbeat.service_).flag("draining", heartbeat.isDraining_));
    monitor_.resetFaults();
    handleRestart(now);
    isLeaseLost_ = false;
    leaseAnsweredAt_ = now;
    keepRenewalsInFlight(now);
}

/// Handles the answer that another target is at the address: the known one has ended, and its runs with it.
void RunAgentCore::handleAbsence(Time now)
{
    if (!target_.isAbsent())
        log(LogLine("target_changed").text("expected", target_.incarnation().id_));
    endAllAsLost("target_changed", now);
    hasLeaseAnswer_ = false;
    markReportsDue();
    renewAt_ = now + renewalPause;
    if (target_.handleAbsence())
        beginTarget(now);
}

/// Resets what applied to the target's previous incarnation only. After a restart under the same id, the lists show what
/// runs: a start in transit may have reached the new incarnation, so runs that are not listed count as lost only by the rule
/// for every list. Until a call with the raised fencing token is answered, nothing is started, and calls in transit may still
/// extend the present incarnation's lease, to the longest that it grants.
void RunAgentCore::handleRestart(Time now)
{
    log(LogLine("target_restarted").text("target", target_.incarnation().id_).number("born_ms", target_.incarnation().startedAt_));
    // Whether the former incarnation was cold says nothing about this one.
    cold_ = ColdStart();
    recordCold(now);
    // Their answers may come from the former incarnation.
    pendingLeases_.clear();
    // A start that is still on its way was stopped at the former incarnation, of which the present one knows nothing. It carries a
    // lower token, so it does nothing once the present one has answered a lease call.
    ++fencingToken_;
    orphans_.clear();
    highestSeenEnd_ = 0;
    hasLeaseAnswer_ = false;
    renewAt_ = now;
    Duration longestTransit = settings_.renewalWait_ + settings_.answerTimeout_;
    leaseEndsAt_ = now + longestTransit + withDrift(settings_.times_.maxLease_);
    // The entries chose the former incarnation for them; the present one may serve another service or lack a label.
    refuseQueued(NotStartedReason::TargetUnavailable, now);
    for (auto& [id, run] : runs_.rows()) {
        run.isSentToFormer_ = true;
        run.isListed_ = false;
    }
    markReportsDue();
}

void RunAgentCore::handleEnds(const LeaseReply& reply, Time now)
{
    for (const auto& row : reply.ended_) {
        if (row.number_ <= highestSeenEnd_)
            continue;
        highestSeenEnd_ = row.number_;
        orphans_.erase(row.name_);
        RunId id = runs_.findOnTarget(row.name_);
        if (id)
            end(id, row.end_, NotStartedReason::None, now);
    }
}

void RunAgentCore::handleRunning(const LeaseReply& reply, Time sentAt, Time now)
{
    std::set<RunId> listed;
    std::set<RunName> listedOrphans;
    for (const auto& row : reply.running_) {
        RunId id = runs_.findOnTarget(row.name_);
        if (!id) {
            listedOrphans.insert(row.name_);
            continue;
        }
        listed.insert(id);
        Run& run = *runs_.find(id);
        run.isListed_ = true;
        run.progress_.record(row.percent_, now);
        if (run.phase_ == RunPhase::Starting)
            confirmStart(run, now);
        if (!run.isConfirmed_) {
            run.isConfirmed_ = true;
            run.answeredAt_ = std::max(run.answeredAt_, now);
        }
    }
    handleOrphans(listedOrphans, reply, sentAt, now);
    std::vector<RunId> missing;
    for (auto& [id, run] : runs_.rows()) {
        if (run.phase_ == RunPhase::Starting && run.unansweredAt_ && *run.unansweredAt_ <= sentAt && !listed.contains(id))
            revokeStart(id, run, now);
        bool mustBeListed = run.phase_ == RunPhase::Running || (run.phase_ == RunPhase::Stopping && run.isStopAnswered_);
        if (mustBeListed && !reply.isPartial_ && !listed.contains(id) && run.answeredAt_ < sentAt)
            missing.push_back(id);
    }
    for (RunId id : missing) {
        const Run& run = *runs_.find(id);
        if (run.isConfirmed_ || run.isSentToFormer_)
            end(id, RunEnd::Lost, NotStartedReason::None, now);
        else
            end(id, RunEnd::NotStarted, run.reason_, now);
    }
}

/// Answers on two connections may overtake each other, so that a run whose end is known is listed once more. After the
/// first list, an unknown run therefore counts as an orphan only once the answer to a renewal that was sent after it was
/// first listed contains it again, and an orphan as gone only once a list that was requested after its stop lacks it.
void RunAgentCore::handleOrphans(const std::set<RunName>& listed, const LeaseReply& reply, Time sentAt, Time now)
{
    for (const auto& name : listed) {
        auto [seen, isNew] = unknownSince_.emplace(name, now);
        bool isCertain = !hasLeaseAnswer_ || (!isNew && seen->second < sentAt);
        if (isCertain && !orphans_.contains(name))
            stopOrphan(name, now);
    }
    // A run that is missing may be in a row that could not be read.
    if (reply.hasUnreadRuns_)
        return;
    auto isGone = [&](const auto& row) { return row.second <= sentAt && !listed.contains(row.first); };
    std::erase_if(unknownSince_, isGone);
    std::erase_if(orphans_, isGone);
}

void RunAgentCore::stopOrphan(const RunName& name, Time now)
{
    if (!orphans_.contains(name))
        log(LogLine("orphan_stopped").text("task", name.task_).number("number", name.number_));
    orphans_[name] = now;
    effects_.stops_.push_back({ .call_ = orphanCall, .name_ = name, .fencingToken_ = fencingToken_, .expectedTarget_ = target_.incarnation().id_ });
}

void RunAgentCore::expireLease(Time now)
{
    bool isInUse = hasLeaseAnswer_ || mayHaveRuns();
    if (!isInUse || now - leaseAnsweredAt_ <= settings_.times_.lease_ / 2)
        return;
    if (!isLeaseLost_ && now > leaseEndsAt_ + settings_.times_.stopTimeout_) {
        isLeaseLost_ = true;
        log(LogLine("target_lost").text("target", target_.incarnation().id_).milliseconds("silent_ms", now - leaseAnsweredAt_));
        endAsLost(
            "lease_expired", [](const Run& run) { return run.isListed_; }, now);
        markReportsDue();
        acceptClaimOfSilentTarget(now);
    }
    if (isLeaseLost_ && mayHaveRuns() && now > leaseOfNextEndsAt_ + settings_.times_.stopTimeout_) {
        endAllAsLost("longest_lease_expired", now);
        acceptClaimOfSilentTarget(now);
    }
}

} // namespace Lagoonpick
