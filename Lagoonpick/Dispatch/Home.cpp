#include "Lagoonpick/Dispatch/Home.h"

#include "Lagoonpick/Dispatch/Admission.h"
#include "Lagoonpick/Dispatch/HttpStatus.h"
#include <algorithm>
#include <cassert>

namespace Lagoonpick {

using Wire::TaskOutcome;

namespace {

constexpr std::uint32_t retryAfterSeconds = 1;

} // namespace

Home::Home(const EntrySettings& settings, std::uint64_t seed, EntryEffects& effects)
    : settings_(settings)
    , random_(seed)
    , effects_(effects)
    , policy_(settings.policy_)
{
}

bool Home::containsSubmission(const SubmissionId& id) const
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
    auto known = serviceIndexOf_.find(submission.service_);
    if (known == serviceIndexOf_.end() || services_[known->second].targets_.empty()) {
        refuse(now, request, id, { HttpStatus::serviceUnavailable, "no-target", "no target offers the service '" + submission.service_ + "'", RunState::No, RunState::No, retryAfterSeconds });
        return;
    }
    Service& service = services_[known->second];
    Admission admission(settings_.maxBacklog_, entryCount_);
    Admission::ServiceState state { targets_, service.targets_, service.model_, service.pending_ };
    bool isFull = tasksPending_ + tasksOutstanding_ + submission.tasks_.size() > settings_.maxTasksHeld_
        || jobs_.size() >= settings_.maxJobsRemembered_;
    if (isFull) {
        // The entry has room again as its tasks are sent and end.
        auto seconds = service.model_.hasSamples() ? Admission::secondsFor(admission.expectedBacklog(state, 0)) : retryAfterSeconds;
        refuse(now, request, id, { HttpStatus::serviceUnavailable, "overloaded", "too many tasks are waiting", RunState::No, RunState::No, seconds });
        return;
    }
    if (auto problem = admission.check(state, submission)) {
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
        jobDeadlines_.emplace(now + std::chrono::milliseconds(submission.deadlineMilliseconds_), id);
    job.due_ = now + settings_.duePerTask_ * static_cast<Duration::rep>(job.tasks_.size());
    service.queue_.push(job.team_, index, job.due_);
    effects_.audit_.push_back({ .event_ = AuditEvent::JobAccepted, .submission_ = id, .detail_ = job.team_ });
    replyOrWait(request, index, until);
}

void Home::refuse(Time now, RequestId request, const SubmissionId& id, const Problem& problem)
{
    addTombstone(now, id);
    effects_.audit_.push_back({ .event_ = AuditEvent::RequestRefused, .submission_ = id, .detail_ = std::string(problem.kind_) });
    effects_.replies_.push_back(writeProblem(request, problem));
}

void Home::addTombstone(Time now, const SubmissionId& id)
{
    if (tombstones_.emplace(id, now).second)
        remember(now, id);
}

void Home::remember(Time now, const SubmissionId& id)
{
    rememberedSubmissions_.push_back({ now, id });
}

void Home::replyOrWait(RequestId request, JobIndex index, Time until)
{
    Job& job = jobs_.at(index);
    if (job.isEnded_) {
        replyEnded(request, job);
        return;
    }
    job.waiters_.push_back({ request, until });
    waiterDeadlines_.emplace(until, job.id_);
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
    // The submission may still be on its way and run once it arrives; only a tombstone rules that out.
    RunState submission = tombstones_.contains(id) ? RunState::No : RunState::Unknown;
    effects_.replies_.push_back(writeProblem(request,
        { HttpStatus::notFound, "not-known", "this submission has not reached its home", RunState::No, submission }));
}

void Home::cancel(Time now, RequestId request, const SubmissionId& id, Time until)
{
    JobIndex index = jobs_.find(id);
    if (index == noJob) {
        // The submission may still be on its way and must not run once its cancellation has been answered.
        addTombstone(now, id);
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
    std::vector<TargetIndex> targetsToCancel;
    for (auto& task : job.tasks_) {
        if (task.stage_ == TaskStage::Pending) {
            --tasksPending_;
            --serviceOf(job).pending_;
            settleNotRun(index, task);
            continue;
        }
        bool mayBeQueued = task.stage_ == TaskStage::Sent && targets_.at(task.target_).link_;
        if (mayBeQueued && std::find(targetsToCancel.begin(), targetsToCancel.end(), task.target_) == targetsToCancel.end())
            targetsToCancel.push_back(task.target_);
    }
    for (auto target : targetsToCancel)
        effects_.messages_.push_back({ *targets_.at(target).link_, Wire::Cancel { job.id_ } });
}

void Home::settleNotRun(JobIndex index, Task& task)
{
    task.stage_ = TaskStage::Settled;
    task.outcome_ = TaskOutcome::NotRun;
    task.body_ = {};
    --jobs_.at(index).unsettled_;
}

void Home::settle(JobIndex index, std::uint32_t number, TaskOutcome outcome)
{
    Job& job = jobs_.at(index);
    Task& task = job.tasks_[number];
    assert(task.stage_ == TaskStage::Sent || task.stage_ == TaskStage::Unconfirmed);
    release(task);
    task.stage_ = TaskStage::Settled;
    task.outcome_ = outcome;
    --job.unsettled_;
    if (outcome != TaskOutcome::Succeeded)
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

void Home::abandonRequests(const Problem& problem)
{
    jobs_.forEach([&](JobIndex index) {
        for (const auto& waiter : std::exchange(jobs_.at(index).waiters_, {}))
            effects_.replies_.push_back(writeProblem(waiter.request_, problem));
    });
}

void Home::expireWaiters(Time now)
{
    while (!waiterDeadlines_.empty() && waiterDeadlines_.begin()->first <= now) {
        JobIndex index = jobs_.find(waiterDeadlines_.begin()->second);
        waiterDeadlines_.erase(waiterDeadlines_.begin());
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

void Home::forgetExpired(Time now)
{
    Duration retention = settings_.rememberingWindow_ + settings_.maxIdAhead_;
    while (!rememberedSubmissions_.empty() && rememberedSubmissions_.front().rememberedSince_ + retention < now) {
        RememberedSubmission oldest = rememberedSubmissions_.front();
        rememberedSubmissions_.pop_front();
        tombstones_.erase(oldest.id_);
        JobIndex index = jobs_.find(oldest.id_);
        if (index == noJob)
            continue;
        Job& job = jobs_.at(index);
        if (!job.isEnded_) {
            rememberedSubmissions_.push_back({ now, oldest.id_ });
            continue;
        }
        if (job.isAnswerKept_)
            keptBytes_ -= job.answer_.size();
        jobs_.remove(index);
    }
}

} // namespace Lagoonpick
