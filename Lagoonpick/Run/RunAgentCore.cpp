#include "Lagoonpick/Run/RunAgentCore.h"

#include "Lagoonpick/Core/Underlying.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Lagoonpick {

using Wire::NotStartedReason;
using Wire::RunEnd;

namespace {

/// Pause between starts after the target reported that it is full: about the time of two answers.
constexpr Duration noRoomPause = std::chrono::milliseconds(10);
/// Increment of the fencing token after the target has seen a higher one, in milliseconds like the clock that the first token
/// is made from; exceeds any step of that clock.
constexpr std::uint64_t fencingTokenStep = 3'600'000;

} // namespace

RunAgentCore::RunAgentCore(RunAgentCoreSettings settings)
    : settings_(std::move(settings))
    , selection_(settings_.name_, settings_.maxEntries_)
    , fencingToken_(settings_.fencingToken_)
{
}

void RunAgentCore::restore(const TargetHeartbeat& heartbeat, Time now)
{
    if (!target_.incarnation().isValid())
        receive(heartbeat, now);
}

void RunAgentCore::receive(const TargetHeartbeat& heartbeat, Time now)
{
    bool wasDraining = target_.heartbeat().isDraining_;
    switch (target_.update(heartbeat)) {
    case TargetState::Change::None:
        return;
    case TargetState::Change::Claim:
        checkClaim(heartbeat, now);
        return;
    case TargetState::Change::NewIncarnation:
        beginTarget(now);
        break;
    case TargetState::Change::Updated:
        recordCold(now);
        break;
    }
    if (target_.heartbeat().isDraining_ && !wasDraining)
        log(LogLine("target_draining").text("target", heartbeat.incarnation_.id_).number("sequence", heartbeat.sequence_).number("running", runs_.rows().size()));
    markReportsDue();
}

void RunAgentCore::handleDeparture(const std::string& target, Time)
{
    target_.handleDeparture(target);
    log(LogLine("target_departed").text("target", target));
    markReportsDue();
}

void RunAgentCore::recordCold(Time now)
{
    const TargetHeartbeat& heartbeat = target_.heartbeat();
    if (!cold_.record(heartbeat.coldLeft_, heartbeat.capacity_, now))
        return;
    ++counters_.coldStarts_;
    log(LogLine("target_cold").text("target", heartbeat.incarnation_.id_).milliseconds("cold_left_ms", heartbeat.coldLeft_).number("milli_cores", capacity(now).milliCores_).number("capacity", heartbeat.capacity_.milliCores_));
}

bool RunAgentCore::isOpen() const
{
    return target_.acceptsRuns() && hasLeaseAnswer_ && !isLeaseLost_ && !isShuttingDown_ && orphans_.empty() && isZoneOpen();
}

RunAgentCore::RunId RunAgentCore::findNextToStart(Time now) const
{
    const Wire::Resources used = runs_.used();
    const Wire::Resources capacity = this->capacity(now);
    RunId best = 0;
    const Run* bestRun = nullptr;
    for (const auto& [id, run] : runs_.rows()) {
        if (run.phase_ != RunPhase::Queued || !hasRoom(capacity, used, run.need_) || !mayStart(run.entry_, now))
            continue;
        if (!bestRun || orderAt(run, now) < orderAt(*bestRun, now)) {
            best = id;
            bestRun = &run;
        }
    }
    return best;
}

void RunAgentCore::startFittingRuns(Time now)
{
    // A start extends the lease of all runs.
    if (!isOpen() || unansweredAt_ || now < noRoomUntil_ || !mayExtendLease(now))
        return;
    for (RunId id = findNextToStart(now); id; id = findNextToStart(now))
        start(id, *runs_.find(id), now);
}

void RunAgentCore::start(RunId id, Run& run, Time now)
{
    auto clock = target_.clockAt(now);
    if (!clock)
        return;
    run.phase_ = RunPhase::Starting;
    run.startSentAt_ = now;
    run.progress_.begin(run.work_, now);
    run.unansweredAt_.reset();
    std::int64_t leaseUntil = *clock + std::chrono::duration_cast<std::chrono::milliseconds>(settings_.times_.lease_).count();
    recordLease(now);
    effects_.starts_.push_back({ .call_ = id, .name_ = run.name_, .payload_ = run.payload_, .leaseUntil_ = leaseUntil, .fencingToken_ = fencingToken_, .expectedTarget_ = target_.incarnation().id_ });
    markReportsDue();
}

void RunAgentCore::receiveStartReply(const CallReply& reply, Time now)
{
    Run* run = runs_.find(reply.call_);
    bool isFromFormer = !run || run->isSentToFormer_;
    if (reply.clock_ && !isFromFormer)
        target_.updateClock(*reply.clock_, now);
    if (!run || run->phase_ == RunPhase::Queued)
        return;
    // An answer to a start does not tell which incarnation gave it.
    recordLeaseOfNext(now);
    bool isStarting = run->phase_ == RunPhase::Starting;
    switch (reply.answer_) {
    case CallAnswer::Accepted:
        run->isConfirmed_ = true;
        run->answeredAt_ = now;
        if (isStarting)
            confirmStart(*run, now);
        return;
    case CallAnswer::NoAnswer:
        ++counters_.startsUnanswered_;
        if (isStarting) {
            log(LogLine("start_unanswered").text("task", run->name_.task_).number("number", run->name_.number_).milliseconds("after_ms", now - run->startSentAt_));
            run->unansweredAt_ = now;
            unansweredAt_ = now;
            renewLease(Duration(), now);
        }
        return;
    case CallAnswer::Fenced:
        // Calls to the present incarnation carry a higher token already.
        if (!run->isSentToFormer_)
            raiseFencingToken(now);
        break;
    case CallAnswer::NoRoom:
        ++counters_.startsWithoutRoom_;
        noRoomUntil_ = now + noRoomPause;
        break;
    case CallAnswer::Late:
        break;
    case CallAnswer::StaleStartNumber:
        end(reply.call_, RunEnd::NotStarted, NotStartedReason::StaleStartNumber, now);
        return;
    case CallAnswer::WrongTarget:
        end(reply.call_, RunEnd::NotStarted, NotStartedReason::TargetUnavailable, now);
        return;
    case CallAnswer::Rejected:
    case CallAnswer::Malformed:
        monitor_.recordFailure(run->name_.job());
        end(reply.call_, RunEnd::NotStarted, NotStartedReason::Rejected, now);
        return;
    }
    // The target did nothing and may accept the same run later, unless the entry chose a former incarnation of it.
    if (isStarting && !run->isSentToFormer_)
        run->phase_ = RunPhase::Queued;
    else
        end(reply.call_, RunEnd::NotStarted, isStarting ? NotStartedReason::TargetUnavailable : run->reason_, now);
    markReportsDue();
}

/// Records that the target has begun a run.
void RunAgentCore::confirmStart(Run& run, Time now)
{
    run.phase_ = RunPhase::Running;
    ++counters_.started_;
    const EntrySession& session = sessions_[run.entry_];
    log(LogLine("run_started").text("task", run.name_.task_).number("number", run.name_.number_).text("entry", session.name_).milliseconds("confirmed_ms_ago", now - session.confirmedAt_).milliseconds("lease_ms", leaseEndsAt_ - now));
}

void RunAgentCore::requestStop(RunId id, Run& run, NotStartedReason reason, Time now)
{
    if (run.phase_ == RunPhase::Stopping)
        return;
    if (run.phase_ == RunPhase::Queued) {
        end(id, RunEnd::NotStarted, reason, now);
        return;
    }
    beginStop(id, run, reason, now);
}

void RunAgentCore::beginStop(RunId id, Run& run, NotStartedReason reason, Time now)
{
    run.reason_ = reason;
    run.phase_ = RunPhase::Stopping;
    run.stopBeganAt_ = now;
    sendStop(id, run, now);
}

void RunAgentCore::sendStop(RunId id, Run& run, Time now)
{
    run.stopSentAt_ = now;
    effects_.stops_.push_back({ .call_ = id, .name_ = run.name_, .fencingToken_ = fencingToken_, .expectedTarget_ = target_.incarnation().id_ });
}

/// Stops a run whose start was not answered. The start may still be carried out; only an answered stop rules that out.
void RunAgentCore::revokeStart(RunId id, Run& run, Time now)
{
    beginStop(id, run, NotStartedReason::Unanswered, now);
}

void RunAgentCore::repeatStops(Time now)
{
    for (auto& [id, run] : runs_.rows()) {
        if (run.phase_ == RunPhase::Starting && run.unansweredAt_ && now - *run.unansweredAt_ >= settings_.times_.stopTimeout_)
            revokeStart(id, run, now);
        if (run.phase_ == RunPhase::Stopping && !run.isStopAnswered_ && now - run.stopSentAt_ >= settings_.times_.stopTimeout_)
            sendStop(id, run, now);
    }
    for (auto& [name, sentAt] : orphans_) {
        if (now - sentAt >= settings_.times_.stopTimeout_)
            stopOrphan(name, now);
    }
}

void RunAgentCore::receiveStopReply(const CallReply& reply, Time now)
{
    Run* run = runs_.find(reply.call_);
    if (reply.answer_ == CallAnswer::Fenced)
        raiseFencingToken(now);
    if (!run || run->phase_ != RunPhase::Stopping || reply.answer_ != CallAnswer::Accepted)
        return;
    run->isStopAnswered_ = true;
    run->answeredAt_ = now;
}

void RunAgentCore::dropOverdue(Time now)
{
    std::vector<RunId> overdue;
    for (const auto& [id, run] : runs_.rows()) {
        if (run.phase_ == RunPhase::Queued && run.waitUntil_ <= now)
            overdue.push_back(id);
    }
    for (RunId id : overdue)
        end(id, RunEnd::NotStarted, NotStartedReason::NoRoom, now);
}

void RunAgentCore::end(RunId id, RunEnd end, NotStartedReason reason, Time now)
{
    Run& run = *runs_.find(id);
    Duration took = run.startSentAt_ == Time() || end == RunEnd::NotStarted ? Duration() : now - run.startSentAt_;
    Wire::RunEnded ended { .run_ = run.run_, .end_ = end, .reason_ = end == RunEnd::NotStarted ? reason : NotStartedReason::None, .durationMicroseconds_ = static_cast<std::uint64_t>(took.count()) };
    // The times of a cold target say nothing about the warm one.
    bool isComparable = !cold_.isCold(now) && cold_.isComparable(run.startSentAt_, now);
    switch (end) {
    case RunEnd::Done:
        ++counters_.done_;
        monitor_.recordDone(took, isComparable ? run.work_ : Duration(), now);
        cold_.recordDone(took, run.work_, run.need_, now);
        break;
    case RunEnd::Failed:
        ++counters_.failed_;
        monitor_.recordFailure(run.name_.job());
        break;
    case RunEnd::Stopped:
        ++counters_.stopped_;
        if (isComparable)
            monitor_.recordRunTime(run.progress_.total().value_or(Duration()), run.work_, now);
        break;
    case RunEnd::Lost:
        ++counters_.lost_;
        break;
    case RunEnd::NotStarted:
        ++counters_.notStarted_;
        break;
    }
    auto session = sessions_.find(run.entry_);
    LogLine line("run_ended");
    line.text("task", run.name_.task_).number("number", run.name_.number_).text("end", nameOf(end)).milliseconds("took_ms", took).milliseconds("expected_ms", run.work_);
    if (ended.reason_ != NotStartedReason::None)
        line.text("reason", nameOf(ended.reason_));
    if (session != sessions_.end())
        line.text("entry", session->second.name_).milliseconds("confirmed_ms_ago", now - session->second.confirmedAt_);
    log(std::move(line));
    if (session != sessions_.end())
        reportEnd(run.entry_, session->second, ended);
    runs_.remove(id);
    markReportsDue();
}

void RunAgentCore::endAllAsLost(std::string_view why, Time now)
{
    endAsLost(
        why, [](const Run& run) { return run.phase_ != RunPhase::Queued; }, now);
}

void RunAgentCore::endAsLost(std::string_view why, bool (*isLost)(const Run&), Time now)
{
    std::vector<RunId> lost;
    for (const auto& [id, run] : runs_.rows()) {
        if (isLost(run))
            lost.push_back(id);
    }
    if (!lost.empty())
        log(LogLine("runs_lost").text("why", why).number("runs", lost.size()));
    for (RunId id : lost)
        end(id, RunEnd::Lost, NotStartedReason::None, now);
}

void RunAgentCore::stopRunsOf(Incarnation entry, std::string_view why, Time now)
{
    std::vector<RunId> ids;
    for (const auto& [id, run] : runs_.rows()) {
        if (run.entry_ == entry && run.phase_ != RunPhase::Stopping)
            ids.push_back(id);
    }
    if (ids.empty())
        return;
    log(LogLine("runs_stopped").text("entry", sessions_[entry].name_).text("why", why).number("runs", ids.size()));
    for (RunId id : ids)
        requestStop(id, *runs_.find(id), NotStartedReason::Recalled, now);
}

void RunAgentCore::processResumed(Duration suspension, Time now)
{
    log(LogLine("resumed").milliseconds("gap_ms", suspension));
    for (auto& [incarnation, session] : sessions_) {
        if (session.link_)
            dropLink(session, now);
    }
    for (LinkId link : std::set(openLinks_))
        abort(link);
    checkSessions(now);
    expireLease(now);
}

void RunAgentCore::beginShutdown(Time now)
{
    isShuttingDown_ = true;
    refuseQueued(NotStartedReason::Draining, now);
    markReportsDue();
}

bool RunAgentCore::isIdle() const
{
    auto isConfirmed = [](const auto& row) { return !row.second.link_ || row.second.unconfirmed_.empty(); };
    return runs_.rows().empty() && std::all_of(sessions_.begin(), sessions_.end(), isConfirmed);
}

void RunAgentCore::refuseQueued(NotStartedReason reason, Time now)
{
    std::vector<RunId> queued;
    for (const auto& [id, run] : runs_.rows()) {
        if (run.phase_ == RunPhase::Queued)
            queued.push_back(id);
    }
    for (RunId id : queued)
        end(id, RunEnd::NotStarted, reason, now);
}

void RunAgentCore::tick(Time now)
{
    checkSessions(now);
    expireLease(now);
    repeatStops(now);
    if (target_.heartbeat().isDraining_)
        refuseQueued(NotStartedReason::Draining, now);
    else if (isLeaseLost_)
        refuseQueued(NotStartedReason::TargetUnavailable, now);
    returnTasksOfEvacuatedZone(now);
    keepRenewalsInFlight(now);
    startFittingRuns(now);
    dropOverdue(now);
    reportStalls(now);
    sendHeartbeats(now);
    sendReports(now);
}

void RunAgentCore::raiseFencingToken(Time)
{
    fencingToken_ += fencingTokenStep;
    log(LogLine("fencing_token_raised").number("token", fencingToken_));
}

RunAgentEffects RunAgentCore::takeEffects()
{
    return std::exchange(effects_, {});
}

} // namespace Lagoonpick
