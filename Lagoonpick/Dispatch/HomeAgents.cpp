#include "Lagoonpick/Dispatch/Home.h"

#include <algorithm>
#include <cassert>

// The agents of a home: their links and registrations, and the messages that they send about tasks.

namespace Lagoonpick {

using Wire::RefusalReason;
using Wire::TaskOutcome;

namespace {

/// Results are acknowledged in batches of this size, or after `maxAckDelay`: an acknowledgement only lets the agent drop
/// answers early.
constexpr std::size_t ackBatchSize = 256;
constexpr Duration maxAckDelay = std::chrono::seconds(10);

/// How long no task is sent to a target that refused one.
constexpr Duration pauseAfterFullQueue = std::chrono::milliseconds(20);
constexpr Duration pauseAfterFault = std::chrono::seconds(1);

constexpr Duration pauseAfter(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::QueueFull:
        return pauseAfterFullQueue;
    case RefusalReason::TargetUnreachable:
    case RefusalReason::UnknownService:
    case RefusalReason::LedgerFull:
        return pauseAfterFault;
    default:
        return {};
    }
}

constexpr bool isRetryable(RefusalReason reason)
{
    return reason != RefusalReason::Cancelled && reason != RefusalReason::Fenced && reason != RefusalReason::Expired;
}

} // namespace

void Home::release(Task& task)
{
    if (task.target_ == noTarget)
        return;
    --targets_.loadOf(task.target_).outstanding_;
    --tasksOutstanding_;
}

void Home::agentConnected(Time, LinkId link, const Wire::Hello& hello)
{
    TargetIndex index = targets_.findOrAdd(hello.name_);
    assignService(index, hello.service_);
    Target& target = targets_.at(index);
    target.agent_ = hello.incarnation_;
    target.generation_ = hello.generation_;
    target.availabilityZone_ = hello.availabilityZone_;
    targets_.bind(index, link);
    targets_.updateLoad(index, hello.load_);
    forEachOutstandingTask(index, [&](JobIndex job, std::uint32_t number, Task& task) {
        // Tasks sent over an older link are unconfirmed as well: that link may close without any further message.
        task.stage_ = TaskStage::Unconfirmed;
        if (task.generation_ == hello.generation_)
            effects_.messages_.push_back({ link, Wire::Query { .key_ = { jobs_.at(job).id_, number }, .attempt_ = task.attempt_ } });
    });
    settleLostTasks(index);
}

void Home::agentRegistered(const Registration& registration)
{
    TargetIndex index = targets_.findOrAdd(registration.target_);
    assignService(index, registration.service_);
    targets_.at(index).registeredGeneration_ = registration.generation_;
    settleLostTasks(index);
}

void Home::assignService(TargetIndex index, const std::string& service)
{
    Target& target = targets_.at(index);
    if (target.service_ == service)
        return;
    if (!target.service_.empty())
        std::erase(services_[findOrAddService(target.service_)].targets_, index);
    target.service_ = service;
    services_[findOrAddService(service)].targets_.push_back(index);
}

ServiceIndex Home::findOrAddService(const std::string& name)
{
    auto [found, isNew] = serviceIndexOf_.emplace(name, static_cast<ServiceIndex>(services_.size()));
    if (isNew)
        services_.push_back({ .name_ = name });
    return found->second;
}

void Home::settleLostTasks(TargetIndex index)
{
    const Target& target = targets_.at(index);
    std::vector<TaskKey> lost;
    forEachOutstandingTask(index, [&](JobIndex job, std::uint32_t number, const Task& task) {
        // A replaced agent may still run and answer, so its tasks are not settled while its link is open.
        bool mayAnswer = target.link_ && target.generation_ == task.generation_;
        if (task.generation_ < target.registeredGeneration_ && !mayAnswer)
            lost.push_back({ jobs_.at(job).id_, number });
    });
    for (const auto& key : lost) {
        JobIndex job = jobs_.find(key.submission_);
        jobs_.at(job).tasks_[key.task_].body_ = {};
        settle(job, key.task_, TaskOutcome::Unknown);
    }
}

template <typename Visitor>
void Home::forEachOutstandingTask(TargetIndex index, Visitor visit)
{
    if (!targets_.loadOf(index).outstanding_)
        return;
    jobs_.forEach([&](JobIndex job) {
        auto& tasks = jobs_.at(job).tasks_;
        for (std::uint32_t i = 0; i < tasks.size(); ++i) {
            bool isHere = tasks[i].target_ == index
                && (tasks[i].stage_ == TaskStage::Sent || tasks[i].stage_ == TaskStage::Unconfirmed);
            if (isHere)
                visit(job, i, tasks[i]);
        }
    });
}

void Home::agentDisconnected(LinkId link)
{
    TargetIndex index = targets_.findByLink(link);
    if (index == noTarget)
        return;
    targets_.unbind(index);
    forEachOutstandingTask(index, [](JobIndex, std::uint32_t, Task& task) { task.stage_ = TaskStage::Unconfirmed; });
    settleLostTasks(index);
}

Task* Home::findOutstandingTask(const TaskKey& key, std::uint32_t attempt, TargetIndex from)
{
    JobIndex index = jobs_.find(key.submission_);
    if (index == noJob || key.task_ >= jobs_.at(index).tasks_.size())
        return nullptr;
    Task& task = jobs_.at(index).tasks_[key.task_];
    bool isOutstanding = task.stage_ == TaskStage::Sent || task.stage_ == TaskStage::Unconfirmed;
    bool isCurrent = isOutstanding && task.attempt_ == attempt && task.target_ == from
        && task.generation_ == targets_.at(from).generation_;
    return isCurrent ? &task : nullptr;
}

void Home::receive(Time, LinkId link, const Wire::Heartbeat& heartbeat)
{
    TargetIndex from = targets_.findByLink(link);
    targets_.updateLoad(from, heartbeat.load_);
}

void Home::receive(Time now, LinkId link, const Wire::Refusal& refusal)
{
    TargetIndex from = targets_.findByLink(link);
    if (findOutstandingTask(refusal.key_, refusal.attempt_, from)) {
        JobIndex job = jobs_.find(refusal.key_.submission_);
        Time& avoidUntil = targets_.loadOf(from).avoidUntil_;
        avoidUntil = std::max(avoidUntil, now + pauseAfter(refusal.reason_));
        if (!isRetryable(refusal.reason_))
            stop(job);
        retryOrSettle(job, refusal.key_.task_);
    }
    targets_.updateLoad(from, refusal.load_);
}

void Home::retryOrSettle(JobIndex index, std::uint32_t number)
{
    Job& job = jobs_.at(index);
    Task& task = job.tasks_[number];
    if (job.isStopping_ || task.attempt_ >= settings_.maxAttempts_) {
        task.body_ = {};
        settle(index, number, TaskOutcome::NotRun);
        return;
    }
    release(task);
    task.stage_ = TaskStage::Pending;
    task.target_ = noTarget;
    ++tasksPending_;
    ++serviceOf(job).pending_;
    requeue(index);
    job.nextPending_ = std::min(job.nextPending_, number);
}

void Home::requeue(JobIndex index)
{
    Job& job = jobs_.at(index);
    // The queue holds a job until `nextPending_` has passed its last task.
    bool isQueued = job.nextPending_ < job.tasks_.size();
    if (!isQueued)
        serviceOf(job).queue_.push(job.team_, index, job.due_);
}

void Home::receive(Time now, LinkId link, const Wire::Result& result)
{
    TargetIndex from = targets_.findByLink(link);
    Target& target = targets_.at(from);
    if (Task* task = findOutstandingTask(result.key_, result.attempt_, from)) {
        task->status_ = result.status_;
        task->body_ = result.body_;
        JobIndex job = jobs_.find(result.key_.submission_);
        Service& service = serviceOf(jobs_.at(job));
        target.lastProgress_ = now;
        target.isStalled_ = false;
        now_ = now;
        runTimes_.add(std::chrono::microseconds(result.runMicroseconds_));
        bool hasSucceeded = result.outcome_ == TaskOutcome::Succeeded;
        service.health_.taskEnded(now, targets_, from, service.targets_, hasSucceeded);
        if (hasSucceeded)
            service.model_.learn(task->workClass_, targets_.loadOf(from), static_cast<double>(result.runMicroseconds_));
        settle(job, result.key_.task_, result.outcome_);
    }
    targets_.updateLoad(from, result.load_);
    if (target.unacknowledged_.empty())
        target.oldestUnacknowledged_ = now;
    target.unacknowledged_.push_back(result.key_);
}

void Home::acknowledgeResults(Time now)
{
    for (TargetIndex i = 0; i < targets_.size(); ++i) {
        Target& target = targets_.at(i);
        if (!target.link_ || target.unacknowledged_.empty())
            continue;
        bool isDue = target.unacknowledged_.size() >= ackBatchSize || target.oldestUnacknowledged_ + maxAckDelay <= now
            || target.load_.isDraining_;
        if (isDue)
            effects_.messages_.push_back({ *target.link_, Wire::ResultAcks { std::exchange(target.unacknowledged_, {}) } });
    }
}

void Home::receive(Time, LinkId link, const Wire::TaskState& state)
{
    TargetIndex from = targets_.findByLink(link);
    if (Task* task = findOutstandingTask(state.key_, state.attempt_, from)) {
        task->stage_ = TaskStage::Sent;
        const Job& job = jobs_.at(jobs_.find(state.key_.submission_));
        if (job.isStopping_ && state.phase_ == Wire::Phase::Queued)
            effects_.messages_.push_back({ link, Wire::Cancel { job.id_ } });
    }
    targets_.updateLoad(from, state.load_);
}

void Home::receive(Time, LinkId link, const Wire::Dropped& dropped)
{
    TargetIndex from = targets_.findByLink(link);
    for (const auto& task : dropped.tasks_) {
        if (findOutstandingTask({ dropped.submission_, task.task_ }, task.attempt_, from))
            retryOrSettle(jobs_.find(dropped.submission_), task.task_);
    }
    targets_.updateLoad(from, dropped.load_);
}

std::uint64_t Home::ejections() const
{
    std::uint64_t count = 0;
    for (const auto& service : services_)
        count += service.health_.ejections();
    return count;
}

} // namespace Lagoonpick
