#include "Lagoonpick/Dispatch/Admission.h"

#include "Lagoonpick/Dispatch/HttpStatus.h"

#include <algorithm>

namespace Lagoonpick {

namespace {

/// Expectations of more than a minute are too uncertain to keep a caller away.
constexpr std::int64_t maxRetryAfterSeconds = 60;

} // namespace

Duration Admission::expectedBacklog(const ServiceState& service, double additionalWork) const
{
    double workPerMicrosecond = 0;
    double outstanding = 0;
    double busy = 0;
    for (auto index : service.targets_) {
        const TargetLoad& load = service.table_.loadOf(index);
        if (load.isOpen_ && !load.ejections_)
            workPerMicrosecond += load.slots_ / load.slowdown_;
        outstanding += load.outstanding_;
        busy += load.busy();
    }
    double waiting = static_cast<double>(service.pending_) * service.model_.meanWork() + additionalWork;
    // Assumes that this entry keeps its present share of the tasks at the targets, but at least an equal share.
    double share = std::max(1 / static_cast<double>(entryCount_), busy > 0 ? outstanding / busy : 0);
    // Microseconds, about 12 days. Upper bound of the result, also used if no target is open.
    constexpr double maxEstimateMicroseconds = 1e12;
    return Duration(static_cast<Duration::rep>(workPerMicrosecond > 0 ? std::min(waiting / workPerMicrosecond / share, maxEstimateMicroseconds) : maxEstimateMicroseconds));
}

std::uint32_t Admission::secondsFor(Duration wait)
{
    auto seconds = std::chrono::duration_cast<std::chrono::seconds>(wait).count() + 1;
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(seconds, 1, maxRetryAfterSeconds));
}

std::optional<Problem> Admission::check(const ServiceState& service, const Submission& submission) const
{
    bool hasSamples = service.model_.hasSamples();
    if (!hasSamples)
        return std::nullopt;
    Duration wait = expectedBacklog(service, 0);
    if (wait > maxBacklog_)
        return Problem { HttpStatus::serviceUnavailable, "overloaded", "what waits already would take too long", RunState::No, RunState::No, secondsFor(wait - maxBacklog_) };
    double work = 0;
    for (const auto& task : submission.tasks_)
        work += service.model_.expectedWork(RunTimeModel::classOf(task.expectedMilliseconds_));
    auto deadline = std::chrono::milliseconds(submission.deadlineMilliseconds_);
    Duration finish = expectedBacklog(service, work);
    if (submission.deadlineMilliseconds_ && finish > deadline)
        return Problem { HttpStatus::serviceUnavailable, "deadline-too-near", "the job is not expected to end before its deadline", RunState::No, RunState::No, secondsFor(finish - deadline) };
    return std::nullopt;
}

} // namespace Lagoonpick
