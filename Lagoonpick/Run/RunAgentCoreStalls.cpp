#include "Lagoonpick/Run/RunAgentCore.h"

#include <cmath>

// The part of `RunAgentCore` that handles runs with too little progress. It is meant for targets that become slow or hang
// while their health check succeeds, so that the runs on them would end too late.

namespace Lagoonpick {

namespace {

/// The slowdown measured on ended runs weighs as much as that of this many runs in progress.
constexpr double endedRunsWeight = 2;
/// From this slowdown on, the target counts as the cause of slow runs; below it, the job may be the cause.
constexpr double slowTargetThreshold = 2;
/// A new start elsewhere gains nothing if the remaining time is below this multiple of the expected time of a whole run.
constexpr double minMoveRatio = 1.5;
/// Share of the estimated remaining time that is regarded as certain: the progress rate is known to within about a
/// tenth.
constexpr double certainRemainingShare = 0.8;
/// Interval of the stall reports of one run: the round trip to the entry plus the time to stop a run.
constexpr Duration stallReportInterval = std::chrono::milliseconds(100);

} // namespace

double RunAgentCore::slowdown(Time now) const
{
    // What was measured while the target was warm does not apply to a cold one.
    double logSum = cold_.isCold(now) ? 0 : endedRunsWeight * std::log(monitor_.slowdown(now));
    double weight = endedRunsWeight;
    for (const auto& [id, run] : runs_.rows()) {
        auto total = run.phase_ == RunPhase::Running ? run.progress_.total() : std::nullopt;
        if (!total || run.work_.count() <= 0 || !cold_.isComparable(run.startSentAt_, now))
            continue;
        logSum += std::log(static_cast<double>(total->count()) / static_cast<double>(run.work_.count()));
        weight += 1;
    }
    return std::exp(logSum / weight);
}

void RunAgentCore::reportStalls(Time now)
{
    bool isSlow = slowdown(now) >= slowTargetThreshold;
    for (auto& [id, run] : runs_.rows()) {
        if (run.phase_ != RunPhase::Running || now < run.nextStallReport_)
            continue;
        bool isStuck = run.progress_.isStuck();
        auto remaining = run.progress_.remaining(now);
        if (!remaining)
            continue;
        double left = static_cast<double>(remaining->count());
        bool isMovable = (isStuck || isSlow) && left >= minMoveRatio * static_cast<double>(run.work_.count());
        bool missesDeadline = left * certainRemainingShare > static_cast<double>((run.deadline_ - now).count());
        if (!isMovable && !missesDeadline)
            continue;
        bool isFirst = run.nextStallReport_ == Time();
        run.nextStallReport_ = now + stallReportInterval;
        if (isFirst && isStuck)
            monitor_.recordFailure(run.name_.job());
        if (isFirst)
            log(LogLine("run_stalled").text("task", run.name_.task_).number("number", run.name_.number_).flag("stuck", isStuck).milliseconds("remaining_ms", *remaining).milliseconds("expected_ms", run.work_));
        auto session = sessions_.find(run.entry_);
        if (session != sessions_.end() && session->second.link_)
            send(*session->second.link_, Wire::RunStalled { run.run_, static_cast<std::uint64_t>(remaining->count()) });
    }
}

} // namespace Lagoonpick
