#include "Lagoonpick/Run/RunCore.h"

#include <cmath>

// What an agent does about runs that get on too slowly. The load pattern that it answers: targets that turn slow, or hang,
// while their health check is good and the runs that are there would end too late.

namespace Lagoonpick {

namespace {

/// What was learnt from runs that ended weighs as much as so many of those that run.
constexpr double learntWeight = 2;
/// A target is the cause if its runs take this many times as long as they should; else the job may be.
constexpr double slowTarget = 2;
/// Below this many times a whole run's time a new start elsewhere gains nothing.
constexpr double worthMoving = 1.5;
/// A pace is known to a tenth or so.
constexpr double leastOfRemaining = 0.8;
/// The way to the entry and back, and the time that a stop takes.
constexpr Duration stallReportInterval = std::chrono::milliseconds(100);

} // namespace

double RunCore::slowness(Time now) const
{
    double logSum = learntWeight * std::log(monitor_.slowness(now));
    double weight = learntWeight;
    for (const auto& [id, run] : runs_.rows()) {
        auto total = run.phase_ == RunPhase::Running ? run.progress_.total() : std::nullopt;
        if (!total || run.work_.count() <= 0)
            continue;
        logSum += std::log(static_cast<double>(total->count()) / static_cast<double>(run.work_.count()));
        weight += 1;
    }
    return std::exp(logSum / weight);
}

void RunCore::reportStalls(Time now)
{
    bool isSlow = slowness(now) >= slowTarget;
    for (auto& [id, run] : runs_.rows()) {
        if (run.phase_ != RunPhase::Running || now < run.nextStallReport_)
            continue;
        bool isStuck = run.progress_.isStuck();
        auto remaining = run.progress_.remaining(now);
        if (!remaining)
            continue;
        double left = static_cast<double>(remaining->count());
        bool isMovable = (isStuck || isSlow) && left >= worthMoving * static_cast<double>(run.work_.count());
        bool isHopeless = left * leastOfRemaining > static_cast<double>((run.deadline_ - now).count());
        if (!isMovable && !isHopeless)
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
