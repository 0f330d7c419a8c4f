#include "Lagoonpick/Run/RunAgentCore.h"

#include <cmath>
#include <utility>

// The part of `RunAgentCore` that handles runs with too little progress. It is meant for targets that become slow or hang
// while their health check succeeds, so that the runs on them would end too late.

namespace Lagoonpick {

namespace {

/// From this slowdown on, the target counts as the cause of slow runs; below it, the job may be the cause.
constexpr double slowTargetThreshold = 2;
/// A new start elsewhere gains nothing if the remaining time is below this multiple of the expected time of a whole run.
constexpr double minMoveRatio = 1.5;
/// A run counts as a straggler if it still needs this multiple of its expected time on the target: more than the error of declared times.
constexpr double minStragglerRatio = 2;
/// Share of the estimated remaining time that is regarded as certain: the progress rate is known to within about a
/// tenth.
constexpr double certainRemainingShare = 0.8;
/// Interval of the stall reports of one run: the round trip to the entry plus the time to stop a run.
constexpr Duration stallReportInterval = std::chrono::milliseconds(100);

} // namespace

double RunAgentCore::slowdown(Time now) const
{
    std::vector<SlowdownSample> samples = monitor_.endedSamples(now);
    // What was measured while the target was warm does not apply to a cold one.
    if (cold_.isCold(now)) {
        for (auto& sample : samples)
            sample.logRatio_ = 0;
    }
    for (const auto& [id, run] : runs_.rows()) {
        auto total = run.phase_ == RunPhase::Running ? run.progress_.total() : std::nullopt;
        if (!total || run.work_.count() <= 0 || !cold_.isComparable(run.startSentAt_, now))
            continue;
        samples.push_back({ .logRatio_ = std::log(static_cast<double>(total->count()) / static_cast<double>(run.work_.count())), .weight_ = 1 });
    }
    return estimateSlowdown(std::move(samples));
}

void RunAgentCore::reportStalls(Time now)
{
    const double slowdown = this->slowdown(now);
    const bool isSlow = slowdown >= slowTargetThreshold;
    for (auto& [id, run] : runs_.rows()) {
        if (run.phase_ != RunPhase::Running || now < run.nextStallReport_)
            continue;
        bool isStuck = run.progress_.isStuck();
        // On a sound target the run's own work is long. Its mean progress tells that from a pause of the target.
        bool isTargetAtFault = isStuck || isSlow;
        auto remaining = isTargetAtFault ? run.progress_.remaining(now) : run.progress_.steadyRemaining(now);
        if (!remaining)
            continue;
        double left = static_cast<double>(remaining->count());
        const auto work = static_cast<double>(run.work_.count());
        bool isLong = left >= minMoveRatio * work;
        if (!isTargetAtFault && left >= minStragglerRatio * slowdown * work)
            recordStraggler(run, *remaining);
        bool isMovable = isLong && isTargetAtFault;
        bool missesDeadline = left * certainRemainingShare > static_cast<double>((run.deadline_ - now).count());
        if (!isMovable && !missesDeadline)
            continue;
        Duration ownWork = isTargetAtFault ? Duration() : scale(*remaining + (now - run.startSentAt_), 1 / slowdown);
        reportStall(run, { .run_ = run.run_, .remainingMicroseconds_ = static_cast<std::uint64_t>(remaining->count()), .workMicroseconds_ = static_cast<std::uint64_t>(ownWork.count()) }, now);
    }
    reportSuspicion(now);
}

void RunAgentCore::reportStall(Run& run, const Wire::RunStalled& stalled, Time now)
{
    bool isStuck = run.progress_.isStuck();
    if (run.nextStallReport_ == Time()) {
        ++counters_.stalled_;
        Duration remaining(static_cast<Duration::rep>(stalled.remainingMicroseconds_));
        log(LogLine("run_stalled").text("task", run.name_.task_).number("number", run.name_.number_).flag("stuck", isStuck).flag("target_slow", !isStuck && !stalled.workMicroseconds_).milliseconds("remaining_ms", remaining).milliseconds("expected_ms", run.work_));
    }
    if (isStuck && !std::exchange(run.isStuck_, true)) {
        ++counters_.stuck_;
        monitor_.recordStuck(run.name_.job(), run.startSentAt_);
    }
    run.nextStallReport_ = now + stallReportInterval;
    auto session = sessions_.find(run.entry_);
    if (session != sessions_.end() && session->second.link_)
        send(*session->second.link_, stalled);
}

/// Reports a change of suspicion to all entries at once: until they know, they go on choosing the target, which has room because its runs
/// fail or hang.
void RunAgentCore::reportSuspicion(Time now)
{
    if (std::exchange(wasSuspect_, monitor_.isSuspect()) == monitor_.isSuspect())
        return;
    log(LogLine("target_suspicion_changed").text("target", target_.incarnation().id_).flag("suspect", wasSuspect_).number("running", runs_.rows().size() - runs_.queuedCount()).number("queued", runs_.queuedCount()));
    markReportsDue();
    for (auto& [incarnation, session] : sessions_)
        session.nextReport_ = now;
    // Before the tasks that are returned, so that no entry chooses this target for them again.
    sendReports(now);
    if (!wasSuspect_)
        return;
    ++counters_.suspicions_;
    // They wait for room that their entries would not choose any more.
    refuseQueued(Wire::NotStartedReason::NoRoom, now);
}

/// Counts a run that is far over its expected time on a sound target and is left to run.
void RunAgentCore::recordStraggler(Run& run, Duration remaining)
{
    if (std::exchange(run.isStraggler_, true))
        return;
    ++counters_.stragglers_;
    log(LogLine("run_straggles").text("task", run.name_.task_).number("number", run.name_.number_).milliseconds("remaining_ms", remaining).milliseconds("expected_ms", run.work_));
}

} // namespace Lagoonpick
