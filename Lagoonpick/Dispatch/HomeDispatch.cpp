#include "Lagoonpick/Dispatch/Home.h"

#include <algorithm>
#include <cassert>

// The periodic work of a home: job deadlines, stalled targets and the dispatch of pending tasks.

namespace Lagoonpick {

namespace {

/// A target with outstanding tasks has stalled when none has ended for this many mean run times and for `minStallTime`.
constexpr double stallRunTimeFactor = 10;
constexpr Duration minStallTime = std::chrono::seconds(2);
/// How long no task is sent to a target that has stalled.
constexpr Duration pauseAfterStall = std::chrono::seconds(5);

} // namespace

void Home::tick(Time now)
{
    now_ = now;
    expireDeadlines(now);
    dispatch(now);
    expireWaiters(now);
    forgetExpired(now);
}

void Home::expireDeadlines(Time now)
{
    while (!jobDeadlines_.empty() && jobDeadlines_.begin()->first <= now) {
        JobIndex index = jobs_.find(jobDeadlines_.begin()->second);
        jobDeadlines_.erase(jobDeadlines_.begin());
        if (index == noJob || jobs_.at(index).isEnded_)
            continue;
        stop(index);
        endIfSettled(index);
    }
}

void Home::updateLastProgress(Time now, TargetIndex index)
{
    if (targets_.loadOf(index).outstanding_ == 1)
        targets_.at(index).lastProgress_ = now;
}

void Home::recallFromStalled(Time now)
{
    for (auto& service : services_) {
        for (auto index : service.targets_) {
            Target& target = targets_.at(index);
            TargetLoad& load = targets_.loadOf(index);
            auto stallTime = Duration(static_cast<Duration::rep>(service.model_.meanWork() * load.slowdown_ * stallRunTimeFactor));
            bool isStalled = load.outstanding_ && target.link_ && target.lastProgress_ + std::max(stallTime, minStallTime) < now;
            if (!isStalled || target.isStalled_)
                continue;
            // Running tasks may still end there; the queued ones are recalled, to be sent to other targets.
            target.isStalled_ = true;
            load.avoidUntil_ = now + pauseAfterStall;
            ++recalls_;
            effects_.messages_.push_back({ *target.link_, Wire::Recall {} });
        }
    }
}

void Home::dispatch(Time now)
{
    for (auto& service : services_) {
        while (auto job = service.queue_.front()) {
            if (!sendNext(now, service, *job))
                break;
        }
    }
}

bool Home::skipToPending(Job& job)
{
    while (job.nextPending_ < job.tasks_.size() && job.tasks_[job.nextPending_].stage_ != TaskStage::Pending)
        ++job.nextPending_;
    return job.nextPending_ < job.tasks_.size();
}

bool Home::sendNext(Time now, Service& service, JobIndex index)
{
    Job& job = jobs_.at(index);
    if (!skipToPending(job)) {
        service.queue_.removeFront();
        return true;
    }
    if (service.targets_.empty())
        return false;
    double expectedWork = service.model_.expectedWork(job.tasks_[job.nextPending_].workClass_);
    auto target = policy_.choose({ now, targets_, service.targets_, expectedWork, service.model_.meanWork(), settings_.queueDepth_, random_ });
    if (!target)
        return false;
    send(now, index, job.nextPending_, *target);
    service.queue_.serveFront(skipToPending(job));
    return true;
}

void Home::send(Time now, JobIndex index, std::uint32_t number, TargetIndex to)
{
    Job& job = jobs_.at(index);
    Task& task = job.tasks_[number];
    Target& target = targets_.at(to);
    if (!job.hasSentTask_)
        waitTimes_.add(now - job.acceptedAt_);
    job.hasSentTask_ = true;
    task.stage_ = TaskStage::Sent;
    task.target_ = to;
    task.generation_ = target.generation_;
    ++task.attempt_;
    ++targets_.loadOf(to).outstanding_;
    --tasksPending_;
    --serviceOf(job).pending_;
    updateLastProgress(now, to);
    ++tasksOutstanding_;
    ++tasksSent_;
    effects_.messages_.push_back({ *target.link_, Wire::Start { .key_ = { job.id_, number }, .attempt_ = task.attempt_, .taskCount_ = static_cast<std::uint32_t>(job.tasks_.size()), .service_ = serviceOf(job).name_, .dueInMicroseconds_ = (job.due_ - now).count(), .timeoutMilliseconds_ = task.timeoutMilliseconds_, .payload_ = task.body_ } });
}

} // namespace Lagoonpick
