#include "UnitTests/Runs/RunWorldParts.h"

#include <utility>

// The callers: requests, answers and resending.

namespace Lagoonpick {

using std::chrono::milliseconds;

namespace {

/// How long a caller without a final answer waits before it sends the job again.
constexpr Duration resendInterval = milliseconds(1300);

} // namespace

void RunWorld::sendJob(const std::string& id, const JobRequest& request, int attempt, std::optional<Duration> leavesAfter)
{
    std::size_t index = std::uniform_int_distribution<std::size_t>(0, entries_.size() - 1)(random_);
    Entry& entry = *entries_[index];
    std::uint64_t caller = ++lastCaller_;
    callers_[caller] = { id, request, attempt, index, entry.incarnationCount_ };
    if (!entry.isUp_) {
        at(now_ + linkDelay, [this, caller] { finishAttempt(caller, std::nullopt); });
        return;
    }
    // A suspended entry handles the request later, by which time the caller may have disconnected.
    deliverToEntry(entry, entry.incarnationCount_, [this, &entry, caller, request] {
        if (callers_.contains(caller))
            entry.core_->submit(CallerId(caller), request, now_);
    });
    Duration callerTimeout = chance(faults_.callerDisconnect_) ? randomDuration(milliseconds(10), milliseconds(300)) : leavesAfter.value_or(request.callerTimeout_);
    at(now_ + callerTimeout, [this, caller, index, incarnation = entry.incarnationCount_] {
        if (!callers_.contains(caller))
            return;
        Entry& sameEntry = *entries_[index];
        deliverToEntry(sameEntry, incarnation, [this, &sameEntry, caller] { sameEntry.core_->callerDisconnected(CallerId(caller), now_); });
        finishAttempt(caller, std::nullopt);
    });
}

void RunWorld::finishAttempt(std::uint64_t caller, std::optional<JobAnswer> answer)
{
    auto found = callers_.find(caller);
    if (found == callers_.end())
        return;
    Caller attempt = found->second;
    callers_.erase(found);
    JobRecord& record = jobs_[attempt.id_];
    auto planned = plannedJobs_.find(attempt.id_);
    Duration sinceArrival = planned == plannedJobs_.end() ? Duration() : now_ - planStartedAt_ - planned->second->arrival_;
    if (planned != plannedJobs_.end() && !(answer && answer->jobOutcome_ == JobOutcome::Done))
        outcome_->recordNotDone(*planned->second, sinceArrival);
    bool isRejected = answer && answer->jobOutcome_ == JobOutcome::Rejected;
    record.wasOnlyRejected_ = record.wasOnlyRejected_ && isRejected;
    if (isRejected) {
        record.isOpen_ = false;
        if (record.wasOnlyRejected_ && record.hasStarted_)
            reportViolation("job rejected although a task of it had started: " + attempt.id_);
        return;
    }
    if (answer && answer->jobOutcome_ == JobOutcome::Done) {
        ++jobsDone_;
        record.isOpen_ = false;
        if (planned != plannedJobs_.end())
            outcome_->recordDone(*planned->second, sinceArrival);
        if (record.doneTasks_.size() != record.taskCount_)
            reportViolation("job answered as done before all of its tasks were done: " + attempt.id_);
        return;
    }
    bool isFinal = answer && answer->jobOutcome_ != JobOutcome::GivenUp;
    if (isFinal || attempt.attempt_ >= maxAttempts) {
        record.isOpen_ = false;
        return;
    }
    at(now_ + resendInterval, [this, attempt] { sendJob(attempt.id_, attempt.request_, attempt.attempt_ + 1); });
}

} // namespace Lagoonpick
