#include "Lagoonpick/Dispatch/Home.h"

#include "Lagoonpick/Dispatch/Admission.h"
#include "Lagoonpick/Dispatch/HttpStatus.h"
#include <algorithm>
#include <cassert>

namespace Lagoonpick {

using Wire::Fate;
using Wire::RefusalReason;

namespace {

constexpr std::uint32_t retryAfterSeconds = 1;

/// A target is taken to have stalled when no task ended there for this many times a task's mean run time.
constexpr double runsToStall = 10;
constexpr Duration minStall = std::chrono::seconds(2);
constexpr Duration pauseAfterStall = std::chrono::seconds(5);

/// An acknowledgement only lets an agent drop answers early, so it can wait for others.
constexpr std::size_t acksAtOnce = 256;
constexpr Duration maxAckDelay = std::chrono::seconds(10);

/// How long a target that refused a start is left alone.
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

constexpr bool isWorthRetry(RefusalReason reason)
{
    return reason != RefusalReason::Cancelled && reason != RefusalReason::Fenced && reason != RefusalReason::Expired;
}

} // namespace

Home::Home(const EntrySettings& settings, std::uint64_t seed, EntryEffects& effects)
    : settings_(settings)
    , random_(seed)
    , effects_(effects)
    , policy_(settings.policy_)
{
}

bool Home::knows(const SubmissionId& id) const
{
    return jobs_.find(id) != noJob || tombstones_.contains(id);
}

void Home::submit(Time now, RequestId request, const SubmissionId& id, std::string_view body, Time until)
{
    if (tombstones_.contains(id)) {
        effects_.replies_.push_back(writeProblem(request,
            { HttpStatus::gone, "refused-before", "this submission was refused and will not run; take a new id", RunState::No, RunState::No }));
        return;
    }
    JobIndex known = jobs_.find(id);
    if (known != noJob) {
        if (digestOf(body) == jobs_.at(known).digest_) {
            replyOrWait(request, known, until);
            return;
        }
        effects_.replies_.push_back(writeProblem(request,
            { HttpStatus::unprocessableContent, "id-reused", "this id belongs to a job with another body", RunState::No, RunState::Unknown }));
        return;
    }
    auto submission = readSubmission(body, { settings_.maxTasksPerJob_, settings_.defaultTaskTimeoutMilliseconds_ });
    if (!submission) {
        bool isTooLarge = submission.error().code_ == ErrorCode::TooLarge;
        refuse(now, request, id,
            { isTooLarge ? HttpStatus::contentTooLarge : HttpStatus::badRequest, "malformed-job", submission.error().message_ });
        return;
    }
    accept(now, request, id, std::move(submission).value(), until);
}

void Home::accept(Time now, RequestId request, const SubmissionId& id, Submission submission, Time until)
{
    if (isDraining_) {
        refuse(now, request, id, { HttpStatus::serviceUnavailable, "shutting-down", "this entry is shutting down", RunState::No, RunState::No, retryAfterSeconds });
        return;
    }
    bool isFull = tasksPending_ + tasksOutstanding_ + submission.tasks_.size() > settings_.maxTasksHeld_
        || jobs_.size() >= settings_.maxJobsRemembered_;
    if (isFull) {
        refuse(now, request, id, { HttpStatus::serviceUnavailable, "overloaded", "too many tasks are waiting", RunState::No, RunState::No, retryAfterSeconds });
        return;
    }
    auto known = serviceIndexOf_.find(submission.service_);
    if (known == serviceIndexOf_.end() || services_[known->second].targets_.empty()) {
        refuse(now, request, id, { HttpStatus::serviceUnavailable, "no-target", "no target offers the service '" + submission.service_ + "'", RunState::No, RunState::No, retryAfterSeconds });
        return;
    }
    Service& service = services_[known->second];
    Admission admission(settings_.maxBacklog_, entryCount_);
    if (auto problem = admission.check({ targets_, service.targets_, service.model_, service.pending_ }, submission)) {
        refuse(now, request, id, *problem);
        return;
    }
    JobIndex index = jobs_.add(id);
    Job& job = jobs_.at(index);
    job.team_ = std::move(submission.team_);
    job.service_ = known->second;
    job.digest_ = submission.digest_;
    job.acceptedAt_ = now;
    job.unsettled_ = static_cast<std::uint32_t>(submission.tasks_.size());
    job.tasks_.reserve(submission.tasks_.size());
    for (auto& task : submission.tasks_)
        job.tasks_.push_back({ .workClass_ = RunTimeModel::classOf(task.expectedMilliseconds_), .timeoutMilliseconds_ = task.timeoutMilliseconds_, .body_ = std::move(task.payload_) });
    tasksPending_ += job.unsettled_;
    service.pending_ += job.unsettled_;
    ++openJobs_;
    remember(now, id);
    if (submission.deadlineMilliseconds_)
        deadlines_.emplace(now + std::chrono::milliseconds(submission.deadlineMilliseconds_), id);
    job.due_ = now + settings_.duePerTask_ * static_cast<Duration::rep>(job.tasks_.size());
    service.queue_.push(job.team_, index, job.due_);
    effects_.audit_.push_back({ .event_ = AuditEvent::JobAccepted, .submission_ = id, .detail_ = job.team_ });
    replyOrWait(request, index, until);
}

void Home::refuse(Time now, RequestId request, const SubmissionId& id, const Problem& problem)
{
    refuseForGood(now, id);
    effects_.audit_.push_back({ .event_ = AuditEvent::RequestRefused, .submission_ = id, .detail_ = std::string(problem.kind_) });
    effects_.replies_.push_back(writeProblem(request, problem));
}

void Home::refuseForGood(Time now, const SubmissionId& id)
{
    if (tombstones_.emplace(id, now).second)
        remember(now, id);
}

void Home::remember(Time now, const SubmissionId& id)
{
    memory_.push_back({ now, id });
}

void Home::replyOrWait(RequestId request, JobIndex index, Time until)
{
    Job& job = jobs_.at(index);
    if (job.isEnded_) {
        replyEnded(request, job);
        return;
    }
    job.waiters_.push_back({ request, until });
    waits_.emplace(until, job.id_);
}

void Home::replyEnded(RequestId request, const Job& job)
{
    if (job.isAnswerKept_) {
        effects_.replies_.push_back({ .request_ = request, .status_ = HttpStatus::ok, .body_ = job.answer_ });
        return;
    }
    effects_.replies_.push_back(writeProblem(request,
        { HttpStatus::gone, "answer-dropped", "the job has ended and its answer is no longer kept", RunState::No, RunState::Yes }));
}

void Home::fetch(Time, RequestId request, const SubmissionId& id, Time until)
{
    JobIndex index = jobs_.find(id);
    if (index != noJob) {
        replyOrWait(request, index, until);
        return;
    }
    // It may still be on its way and run then; only a tombstone makes sure that it won't.
    RunState submission = tombstones_.contains(id) ? RunState::No : RunState::Unknown;
    effects_.replies_.push_back(writeProblem(request,
        { HttpStatus::notFound, "not-known", "this submission has not reached its home", RunState::No, submission }));
}

void Home::cancel(Time now, RequestId request, const SubmissionId& id, Time until)
{
    JobIndex index = jobs_.find(id);
    if (index == noJob) {
        // The submission may still be on its way; it must not run once its cancellation was answered.
        refuseForGood(now, id);
    } else if (!jobs_.at(index).isEnded_) {
        stop(index);
        endIfSettled(index);
    }
    fetch(now, request, id, until);
}

void Home::stop(JobIndex index)
{
    Job& job = jobs_.at(index);
    if (job.isStopping_)
        return;
    job.isStopping_ = true;
    std::vector<TargetIndex> told;
    for (auto& task : job.tasks_) {
        if (task.stage_ == TaskStage::Pending) {
            --tasksPending_;
            --serviceOf(job).pending_;
            settleNotRun(index, task);
            continue;
        }
        bool mayBeQueued = task.stage_ == TaskStage::Sent && targets_.at(task.target_).link_;
        if (mayBeQueued && std::find(told.begin(), told.end(), task.target_) == told.end())
            told.push_back(task.target_);
    }
    for (auto target : told)
        effects_.messages_.push_back({ *targets_.at(target).link_, Wire::Cancel { job.id_ } });
}

void Home::settleNotRun(JobIndex index, Task& task)
{
    task.stage_ = TaskStage::Settled;
    task.fate_ = Fate::NotRun;
    task.body_ = {};
    --jobs_.at(index).unsettled_;
}

void Home::settle(JobIndex index, std::uint32_t number, Fate fate)
{
    Job& job = jobs_.at(index);
    Task& task = job.tasks_[number];
    assert(task.stage_ == TaskStage::Sent || task.stage_ == TaskStage::InDoubt);
    release(task);
    task.stage_ = TaskStage::Settled;
    task.fate_ = fate;
    --job.unsettled_;
    if (fate != Fate::Succeeded)
        stop(index);
    endIfSettled(index);
}

void Home::endIfSettled(JobIndex index)
{
    Job& job = jobs_.at(index);
    if (job.unsettled_ || job.isEnded_)
        return;
    job.isEnded_ = true;
    responseTimes_.add(std::max(now_ - job.acceptedAt_, Duration()));
    job.answer_ = writeAnswer(job.id_, job.tasks_);
    job.isAnswerKept_ = true;
    job.tasks_ = {};
    keptBytes_ += job.answer_.size();
    evictable_.push_back(job.id_);
    --openJobs_;
    effects_.audit_.push_back({ .event_ = AuditEvent::JobEnded, .submission_ = job.id_ });
    for (const auto& waiter : std::exchange(job.waiters_, {}))
        replyEnded(waiter.request_, job);
    evictAnswers();
}

void Home::evictAnswers()
{
    while (keptBytes_ > settings_.maxKeptBytes_ && !evictable_.empty()) {
        JobIndex index = jobs_.find(evictable_.front());
        evictable_.pop_front();
        if (index == noJob)
            continue;
        Job& job = jobs_.at(index);
        keptBytes_ -= job.answer_.size();
        job.answer_ = {};
        job.isAnswerKept_ = false;
    }
}

void Home::release(Task& task)
{
    if (task.target_ == noTarget)
        return;
    --targets_.loadOf(task.target_).outstanding_;
    --tasksOutstanding_;
}

void Home::agentGreeted(Time, LinkId link, const Wire::Hello& hello)
{
    TargetIndex index = targets_.findOrAdd(hello.name_);
    offer(index, hello.service_);
    Target& target = targets_.at(index);
    target.agent_ = hello.incarnation_;
    target.generation_ = hello.generation_;
    target.availabilityZone_ = hello.availabilityZone_;
    targets_.bind(index, link);
    targets_.report(index, hello.load_);
    forEachTaskAt(index, [&](JobIndex job, std::uint32_t number, Task& task) {
        // What was sent over an older link is in doubt as well: that link may end without a word.
        task.stage_ = TaskStage::InDoubt;
        if (task.generation_ == hello.generation_)
            effects_.messages_.push_back({ link, Wire::Query { .key_ = { jobs_.at(job).id_, number }, .attempt_ = task.attempt_ } });
    });
    loseEarlierLedgers(index);
}

void Home::agentRegistered(const Registration& registration)
{
    TargetIndex index = targets_.findOrAdd(registration.target_);
    offer(index, registration.service_);
    targets_.at(index).registeredGeneration_ = registration.generation_;
    loseEarlierLedgers(index);
}

void Home::offer(TargetIndex index, const std::string& service)
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

void Home::loseEarlierLedgers(TargetIndex index)
{
    const Target& target = targets_.at(index);
    std::vector<TaskKey> lost;
    forEachTaskAt(index, [&](JobIndex job, std::uint32_t number, const Task& task) {
        // An agent that was replaced may still be there and answer; it is waited for while its link is open.
        bool mayAnswer = target.link_ && target.generation_ == task.generation_;
        if (task.generation_ < target.registeredGeneration_ && !mayAnswer)
            lost.push_back({ jobs_.at(job).id_, number });
    });
    for (const auto& key : lost) {
        JobIndex job = jobs_.find(key.submission_);
        jobs_.at(job).tasks_[key.task_].body_ = {};
        settle(job, key.task_, Fate::Unknown);
    }
}

template <typename Visitor>
void Home::forEachTaskAt(TargetIndex index, Visitor visit)
{
    if (!targets_.loadOf(index).outstanding_)
        return;
    jobs_.forEach([&](JobIndex job) {
        auto& tasks = jobs_.at(job).tasks_;
        for (std::uint32_t i = 0; i < tasks.size(); ++i) {
            bool isHere = tasks[i].target_ == index
                && (tasks[i].stage_ == TaskStage::Sent || tasks[i].stage_ == TaskStage::InDoubt);
            if (isHere)
                visit(job, i, tasks[i]);
        }
    });
}

void Home::agentLost(LinkId link)
{
    TargetIndex index = targets_.findByLink(link);
    if (index == noTarget)
        return;
    targets_.unbind(index);
    forEachTaskAt(index, [](JobIndex, std::uint32_t, Task& task) { task.stage_ = TaskStage::InDoubt; });
    loseEarlierLedgers(index);
}

Task* Home::findCurrent(const TaskKey& key, std::uint32_t attempt, TargetIndex from)
{
    JobIndex index = jobs_.find(key.submission_);
    if (index == noJob || key.task_ >= jobs_.at(index).tasks_.size())
        return nullptr;
    Task& task = jobs_.at(index).tasks_[key.task_];
    bool isOutstanding = task.stage_ == TaskStage::Sent || task.stage_ == TaskStage::InDoubt;
    bool isCurrent = isOutstanding && task.attempt_ == attempt && task.target_ == from
        && task.generation_ == targets_.at(from).generation_;
    return isCurrent ? &task : nullptr;
}

void Home::receive(Time, LinkId link, const Wire::Heartbeat& heartbeat)
{
    TargetIndex from = targets_.findByLink(link);
    targets_.report(from, heartbeat.load_);
}

void Home::receive(Time now, LinkId link, const Wire::Refusal& refusal)
{
    TargetIndex from = targets_.findByLink(link);
    if (findCurrent(refusal.key_, refusal.attempt_, from)) {
        JobIndex job = jobs_.find(refusal.key_.submission_);
        Time& avoidUntil = targets_.loadOf(from).avoidUntil_;
        avoidUntil = std::max(avoidUntil, now + pauseAfter(refusal.reason_));
        if (!isWorthRetry(refusal.reason_))
            stop(job);
        retryOrSettle(job, refusal.key_.task_);
    }
    targets_.report(from, refusal.load_);
}

void Home::retryOrSettle(JobIndex index, std::uint32_t number)
{
    Job& job = jobs_.at(index);
    Task& task = job.tasks_[number];
    if (job.isStopping_ || task.attempt_ >= settings_.maxAttempts_) {
        task.body_ = {};
        settle(index, number, Fate::NotRun);
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
    // A job whose tasks are all sent is not in the queue; one that has some pending is.
    bool isQueued = job.nextPending_ < job.tasks_.size();
    if (!isQueued)
        serviceOf(job).queue_.push(job.team_, index, job.due_);
}

void Home::receive(Time now, LinkId link, const Wire::Result& result)
{
    TargetIndex from = targets_.findByLink(link);
    Target& target = targets_.at(from);
    if (Task* task = findCurrent(result.key_, result.attempt_, from)) {
        task->status_ = result.status_;
        task->body_ = result.body_;
        JobIndex job = jobs_.find(result.key_.submission_);
        Service& service = serviceOf(jobs_.at(job));
        target.lastProgress_ = now;
        target.isStalled_ = false;
        now_ = now;
        runTimes_.add(std::chrono::microseconds(result.runMicroseconds_));
        bool hasSucceeded = result.fate_ == Fate::Succeeded;
        service.health_.taskEnded(now, targets_, from, service.targets_, hasSucceeded);
        if (hasSucceeded)
            service.model_.learn(task->workClass_, targets_.loadOf(from), static_cast<double>(result.runMicroseconds_));
        settle(job, result.key_.task_, result.fate_);
    }
    targets_.report(from, result.load_);
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
        bool isDue = target.unacknowledged_.size() >= acksAtOnce || target.oldestUnacknowledged_ + maxAckDelay <= now
            || target.load_.isDraining_;
        if (isDue)
            effects_.messages_.push_back({ *target.link_, Wire::ResultAcks { std::exchange(target.unacknowledged_, {}) } });
    }
}

void Home::receive(Time, LinkId link, const Wire::TaskState& state)
{
    TargetIndex from = targets_.findByLink(link);
    if (Task* task = findCurrent(state.key_, state.attempt_, from)) {
        task->stage_ = TaskStage::Sent;
        const Job& job = jobs_.at(jobs_.find(state.key_.submission_));
        if (job.isStopping_ && state.phase_ == Wire::Phase::Queued)
            effects_.messages_.push_back({ link, Wire::Cancel { job.id_ } });
    }
    targets_.report(from, state.load_);
}

void Home::receive(Time, LinkId link, const Wire::Dropped& dropped)
{
    TargetIndex from = targets_.findByLink(link);
    for (const auto& task : dropped.tasks_) {
        if (findCurrent({ dropped.submission_, task.task_ }, task.attempt_, from))
            retryOrSettle(jobs_.find(dropped.submission_), task.task_);
    }
    targets_.report(from, dropped.load_);
}

std::uint64_t Home::ejections() const
{
    std::uint64_t count = 0;
    for (const auto& service : services_)
        count += service.health_.ejections();
    return count;
}

void Home::tick(Time now)
{
    now_ = now;
    expireDeadlines(now);
    dispatch(now);
    expireWaiters(now);
    forget(now);
}

void Home::expireDeadlines(Time now)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        JobIndex index = jobs_.find(deadlines_.begin()->second);
        deadlines_.erase(deadlines_.begin());
        if (index == noJob || jobs_.at(index).isEnded_)
            continue;
        stop(index);
        endIfSettled(index);
    }
}

void Home::abandonRequests(const Problem& problem)
{
    jobs_.forEach([&](JobIndex index) {
        for (const auto& waiter : std::exchange(jobs_.at(index).waiters_, {}))
            effects_.replies_.push_back(writeProblem(waiter.request_, problem));
    });
}

void Home::expireWaiters(Time now)
{
    while (!waits_.empty() && waits_.begin()->first <= now) {
        JobIndex index = jobs_.find(waits_.begin()->second);
        waits_.erase(waits_.begin());
        if (index == noJob)
            continue;
        std::erase_if(jobs_.at(index).waiters_, [&](const Waiter& waiter) {
            if (waiter.until_ > now)
                return false;
            effects_.replies_.push_back(writeProblem(waiter.request_,
                { HttpStatus::gatewayTimeout, "still-running", "the job has not ended yet; fetch its answer by id", RunState::Unknown, RunState::Running, retryAfterSeconds }));
            return true;
        });
    }
}

void Home::noteSending(Time now, TargetIndex index)
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
            auto run = Duration(static_cast<Duration::rep>(service.model_.meanWork() * load.slowness_ * runsToStall));
            bool isStalled = load.outstanding_ && target.link_ && target.lastProgress_ + std::max(run, minStall) < now;
            if (!isStalled || target.isStalled_)
                continue;
            // What runs there may still end; what waits is better off elsewhere.
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
    if (!job.hasSent_)
        waitTimes_.add(now - job.acceptedAt_);
    job.hasSent_ = true;
    task.stage_ = TaskStage::Sent;
    task.target_ = to;
    task.generation_ = target.generation_;
    ++task.attempt_;
    ++targets_.loadOf(to).outstanding_;
    --tasksPending_;
    --serviceOf(job).pending_;
    noteSending(now, to);
    ++tasksOutstanding_;
    ++tasksSent_;
    effects_.messages_.push_back({ *target.link_, Wire::Start { .key_ = { job.id_, number }, .attempt_ = task.attempt_, .taskCount_ = static_cast<std::uint32_t>(job.tasks_.size()), .service_ = serviceOf(job).name_, .dueInMicroseconds_ = (job.due_ - now).count(), .timeoutMilliseconds_ = task.timeoutMilliseconds_, .payload_ = task.body_ } });
}

void Home::forget(Time now)
{
    Duration memory = settings_.rememberingWindow_ + settings_.maxIdAhead_;
    while (!memory_.empty() && memory_.front().at_ + memory < now) {
        Memory oldest = memory_.front();
        memory_.pop_front();
        tombstones_.erase(oldest.id_);
        JobIndex index = jobs_.find(oldest.id_);
        if (index == noJob)
            continue;
        Job& job = jobs_.at(index);
        if (!job.isEnded_) {
            memory_.push_back({ now, oldest.id_ });
            continue;
        }
        if (job.isAnswerKept_)
            keptBytes_ -= job.answer_.size();
        jobs_.remove(index);
    }
}

} // namespace Lagoonpick
