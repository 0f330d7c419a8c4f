#include "Lagoonpick/Job/JobEntryCore.h"

#include "Lagoonpick/Core/Underlying.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Lagoonpick {

using Wire::NotStartedReason;
using Wire::RunEnd;

namespace {

/// Starts allowed per task beyond its queue's maximum number of attempts.
constexpr std::uint32_t maxExtraStarts = 6;
/// Added to a task's start number that the target rejected as too low; likely to exceed the number that any earlier holder of
/// the same job reached.
constexpr std::uint32_t startNumberStep = 8;
/// The smallest step in which callers are told when to come back.
constexpr Duration minRetryAfter = std::chrono::seconds(1);
constexpr double permille = 1000;
constexpr std::size_t maxKeptAnswers = 20'000;

std::string_view nameOf(JobOutcome outcome)
{
    constexpr std::array<std::string_view, 6> names { "done", "failed", "cancelled", "rejected", "given_up", "no_such_queue" };
    return names[toUnderlying(outcome)];
}

std::string_view nameOf(JobFailureReason failureReason)
{
    constexpr std::array<std::string_view, 9> names { "none", "no_configuration", "no_targets", "overloaded", "too_large",
        "shutting_down", "unsupported", "targets_failed", "deadline" };
    return names[toUnderlying(failureReason)];
}

} // namespace

JobEntryCore::JobEntryCore(JobEntryCoreSettings settings, std::uint64_t seed)
    : settings_(std::move(settings))
    , random_(seed)
{
}

void JobEntryCore::setQueues(QueueTable queues, std::string text)
{
    if (queues.version() <= queues_.version())
        return;
    log(LogLine("configuration_installed").number("version", queues.version()).number("replaced", queues_.version()).number("queues", queues.rules().size()));
    queues_ = std::move(queues);
    configurationText_ = std::move(text);
}

std::optional<bool> JobEntryCore::hasQueue(std::string_view host, std::string_view path, Time now) const
{
    if (queues_.find(host, path))
        return true;
    if (!queues_.version() || now - configurationConfirmedAt_ > settings_.configurationFreshness_)
        return std::nullopt;
    return false;
}

void JobEntryCore::submit(CallerId caller, const JobRequest& request, Time now)
{
    auto queueExists = hasQueue(request.host_, request.path_, now);
    if (!queueExists.value_or(true)) {
        log(LogLine("job_rejected").text("job", request.id_).text("why", "no_such_queue").number("configuration", queues_.version()).milliseconds("confirmed_ms_ago", now - configurationConfirmedAt_));
        answerCaller(caller, JobOutcome::NoSuchQueue, JobFailureReason::None, {});
        return;
    }
    auto kept = answers_.find(request.id_);
    if (kept != answers_.end()) {
        answerCaller(caller, kept->second.jobOutcome_, JobFailureReason::None, {});
        return;
    }
    auto held = jobsById_.find(request.id_);
    if (held != jobsById_.end()) {
        HeldJob& job = jobs_[held->second];
        job.callers_.push_back(caller);
        jobsByCaller_[toUnderlying(caller)] = held->second;
        log(LogLine("job_joined").text("job", request.id_).number("callers", job.callers_.size()));
        return;
    }
    if (!queueExists)
        return reject(caller, request, { JobFailureReason::NoConfiguration });
    // A job that is accepted later and takes longer than expected would be cut off when the entry stops.
    if (shutdownAt_ && now - *shutdownAt_ > settings_.shutdownAcceptance_)
        return reject(caller, request, { JobFailureReason::ShuttingDown });
    if (jobs_.size() >= settings_.maxJobs_)
        return reject(caller, request, { JobFailureReason::Overloaded });
    if (!request.taskCount_ || request.taskCount_ > settings_.maxTasks_)
        return reject(caller, request, { JobFailureReason::TooLarge });

    HeldJob job { .request_ = request, .queue_ = *queues_.find(request.host_, request.path_), .callers_ = { caller }, .arrivedAt_ = now };
    WorkEstimate work = workModel_.recordAndEstimate(job.queue_.name_, request.estimate_);
    job.work_ = work.expected_;
    job.shortestWork_ = work.shortest_;
    Duration objective = scale(job.work_, job.queue_.slackFactor_) + job.queue_.allowance_;
    job.due_ = now + objective - settings_.overhead_;
    job.deadline_ = now + request.callerTimeout_ - settings_.answerMargin_;
    job.tasks_.resize(request.taskCount_);
    Admission admission = admit(job, now);
    if (admission.failureReason_ != JobFailureReason::None)
        return reject(caller, request, admission);
    ++counters_.accepted_;
    JobKey key = ++lastJob_;
    log(LogLine("job_accepted").text("job", request.id_).text("queue", job.queue_.name_).number("configuration", queues_.version()).number("tasks", request.taskCount_).milliseconds("work_ms", job.work_).milliseconds("due_in_ms", job.due_ - now).milliseconds("patience_ms", request.callerTimeout_));
    HeldJob& stored = jobs_.emplace(key, std::move(job)).first->second;
    jobsById_[request.id_] = key;
    jobsByCaller_[toUnderlying(caller)] = key;
    for (std::uint32_t task = 0; task < request.taskCount_; ++task)
        place(key, stored, task, now);
}

void JobEntryCore::endRun(std::uint64_t run, RunEnd end, NotStartedReason reason, Duration took, Time now)
{
    auto found = runs_.find(run);
    if (found == runs_.end())
        return;
    TaskRef ref = found->second;
    runs_.erase(found);
    HeldJob& job = jobs_[ref.job_];
    JobTask& task = job.tasks_[ref.task_];
    std::string agentName;
    Duration work = took;
    if (auto agent = agents_.find(task.agent_); agent != agents_.end()) {
        agent->second.runs_.erase(run);
        agentName = agent->second.name_;
        work = workOf(took, job, agent->second);
    }
    task.run_ = 0;
    task.isMoving_ = false;
    if (end != RunEnd::NotStarted)
        job.hasBegun_ = true;
    if (end == RunEnd::Done) {
        urgentLoad_.recordWork(job.queue_.service_, job.queue_.priority_, job.request_.need_.milliCores_, took, now);
        task.isDone_ = true;
        ++job.doneCount_;
        job.doneWork_ += work;
        if (job.doneCount_ < job.tasks_.size())
            return;
        workModel_.recordActual(job.queue_.name_, job.request_.estimate_, job.doneWork_ / static_cast<Duration::rep>(job.doneCount_));
        answer(ref.job_, JobOutcome::Done, JobFailureReason::None, now);
        return;
    }
    if (job.isRecalled_) {
        finishRecall(ref.job_, now);
        return;
    }
    if (end == RunEnd::Failed && ++task.failures_ >= job.queue_.maxAttempts_) {
        log(LogLine("task_failed").text("job", job.request_.id_).number("task", ref.task_).number("attempts", task.failures_));
        answer(ref.job_, JobOutcome::Failed, JobFailureReason::None, now);
        return;
    }
    bool wasSent = reason != NotStartedReason::NoRoom && reason != NotStartedReason::Draining && reason != NotStartedReason::ZoneEvacuated;
    if (reason == NotStartedReason::StaleStartNumber)
        task.number_ += startNumberStep;
    else if (reason == NotStartedReason::NoRoom && task.bounces_ < JobTask::maxBounces)
        ++task.bounces_;
    else
        task.avoided_.insert(task.agent_);
    if (!wasSent) {
        --task.number_;
        --task.starts_;
    }
    log(LogLine("task_returned").text("job", job.request_.id_).number("task", ref.task_).number("number", task.number_).text("agent", agentName).text("end", nameOf(end)).text("reason", nameOf(reason)).number("failures", task.failures_));
    retry(ref.job_, ref.task_, now);
}

void JobEntryCore::retry(JobKey key, std::uint32_t task, Time now)
{
    HeldJob& job = jobs_[key];
    if (job.tasks_[task].starts_ >= job.queue_.maxAttempts_ + maxExtraStarts)
        return recall(key, JobFailureReason::TargetsFailed, now);
    // A job that can't end any more while its caller waits is answered at once.
    Placement placement = chooseAgent(job, job.tasks_[task], now);
    Duration finish = placement.agent_.isValid() ? placement.finish_ : job.work_;
    Duration certainFinish = shortestFinish(finish, job);
    if (now + certainFinish > job.deadline_)
        return withdraw(key, certainFinish, now);
    if (placement.agent_.isValid())
        startRun(placement.agent_, key, job, task, now);
}

void JobEntryCore::withdraw(JobKey key, Duration certainFinish, Time now)
{
    const HeldJob& job = jobs_[key];
    ++counters_.withdrawn_;
    log(LogLine("job_withdrawn").text("job", job.request_.id_).text("queue", job.queue_.name_).milliseconds("held_ms", now - job.arrivedAt_).milliseconds("certain_ms", certainFinish).milliseconds("limit_ms", job.deadline_ - now).number("done", job.doneCount_).flag("begun", job.hasBegun_));
    recall(key, JobFailureReason::Deadline, now);
}

void JobEntryCore::recall(JobKey key, JobFailureReason failureReason, Time now)
{
    HeldJob& job = jobs_[key];
    if (job.isRecalled_)
        return;
    job.isRecalled_ = true;
    job.recalledAt_ = now;
    job.failureReason_ = failureReason;
    stopRuns(job);
    finishRecall(key, now);
}

void JobEntryCore::stopRuns(HeldJob& job)
{
    for (const auto& task : job.tasks_) {
        auto agent = agents_.find(task.agent_);
        if (task.run_ && agent != agents_.end() && agent->second.link_)
            send(*agent->second.link_, Wire::StopRun { task.run_ });
    }
}

void JobEntryCore::finishRecall(JobKey key, Time now)
{
    HeldJob& job = jobs_[key];
    bool hasRuns = std::any_of(job.tasks_.begin(), job.tasks_.end(), [](const auto& task) { return task.run_ != 0; });
    // Once any task has begun, the outcome is fixed. Otherwise the answer waits for proof that no task has begun.
    Duration timeout = std::min<Duration>(settings_.recallTimeout_, job.deadline_ + settings_.answerMargin_ / 2 - job.recalledAt_);
    bool mustWait = hasRuns && !job.hasBegun_ && now - job.recalledAt_ < timeout;
    if (mustWait)
        return;
    bool neverBegan = !hasRuns && !job.hasBegun_;
    answer(key, neverBegan ? JobOutcome::Rejected : JobOutcome::GivenUp, job.failureReason_, now);
}

void JobEntryCore::answer(JobKey key, JobOutcome outcome, JobFailureReason failureReason, Time now)
{
    auto found = jobs_.find(key);
    HeldJob job = std::move(found->second);
    jobs_.erase(found);
    jobsById_.erase(job.request_.id_);
    stopRuns(job);
    for (const auto& task : job.tasks_) {
        if (task.run_)
            runs_.erase(task.run_);
    }
    bool isLate = now > job.due_;
    log(LogLine("job_answered").text("job", job.request_.id_).text("verdict", nameOf(outcome)).text("why", nameOf(failureReason)).milliseconds("took_ms", now - job.arrivedAt_).milliseconds("due_in_ms", job.due_ - now).number("done", job.doneCount_).number("tasks", job.tasks_.size()).number("callers", job.callers_.size()));
    if (outcome == JobOutcome::Done || outcome == JobOutcome::Failed) {
        jobTimes_.add(now - job.arrivedAt_);
        answers_[job.request_.id_] = { outcome, now + settings_.answerLifetime_ };
        answersByAge_.emplace_back(now + settings_.answerLifetime_, job.request_.id_);
    }
    switch (outcome) {
    case JobOutcome::Done:
        ++counters_.done_;
        counters_.doneLate_ += isLate ? 1 : 0;
        break;
    case JobOutcome::Failed:
        ++counters_.failed_;
        break;
    case JobOutcome::Cancelled:
        ++counters_.cancelled_;
        break;
    case JobOutcome::GivenUp:
        ++counters_.givenUp_;
        break;
    case JobOutcome::Rejected:
    case JobOutcome::NoSuchQueue:
        ++counters_.rejected_;
        break;
    }
    Duration comeBackAfter = outcome == JobOutcome::Rejected ? retryAfterWait(job, now) : Duration();
    for (CallerId caller : job.callers_) {
        jobsByCaller_.erase(toUnderlying(caller));
        answerCaller(caller, outcome, failureReason, comeBackAfter);
    }
}

void JobEntryCore::answerCaller(CallerId caller, JobOutcome outcome, JobFailureReason failureReason, Duration retryAfter)
{
    effects_.answers_.push_back({ caller, outcome, failureReason, retryAfter });
}

Duration JobEntryCore::retryAfter(const Admission& admission)
{
    switch (admission.failureReason_) {
    case JobFailureReason::TooLarge:
    case JobFailureReason::Unsupported:
        return {};
    case JobFailureReason::Overloaded:
        return std::max<Duration>(admission.expectedFinish_ - admission.finishLimit_, minRetryAfter);
    default:
        // Another entry may take the job at once.
        return minRetryAfter;
    }
}

Duration JobEntryCore::retryAfterWait(HeldJob job, Time now)
{
    job.deadline_ = now + job.request_.callerTimeout_ - settings_.answerMargin_;
    return std::max(retryAfter(admit(job, now)), minRetryAfter);
}

void JobEntryCore::reject(CallerId caller, const JobRequest& request, const Admission& admission)
{
    ++counters_.rejected_;
    std::size_t usable = std::count_if(agents_.begin(), agents_.end(), [this](const auto& row) { return isUsable(row.second); });
    LogLine line("job_rejected");
    line.text("job", request.id_).text("why", nameOf(admission.failureReason_)).number("configuration", queues_.version()).number("targets", usable).number("zones_revision", evacuation_.revision()).number("zones_evacuated", evacuation_.set().names_.size()).number("jobs", jobs_.size()).number("tasks", request.taskCount_);
    if (admission.finishLimit_.count())
        line.milliseconds("expected_ms", admission.expectedFinish_).milliseconds("limit_ms", admission.finishLimit_).number("urgent_permille", static_cast<std::uint64_t>(admission.urgentShare_ * permille)).milliseconds("report_age_ms", admission.reportAge_);
    Duration comeBackAfter = retryAfter(admission);
    log(std::move(line.milliseconds("retry_after_ms", comeBackAfter)));
    answerCaller(caller, JobOutcome::Rejected, admission.failureReason_, comeBackAfter);
}

void JobEntryCore::callerDisconnected(CallerId caller, Time now)
{
    auto found = jobsByCaller_.find(toUnderlying(caller));
    if (found == jobsByCaller_.end())
        return;
    JobKey key = found->second;
    jobsByCaller_.erase(found);
    HeldJob& job = jobs_[key];
    std::erase(job.callers_, caller);
    if (!job.callers_.empty())
        return;
    ++counters_.abandoned_;
    log(LogLine("job_abandoned").text("job", job.request_.id_).milliseconds("after_ms", now - job.arrivedAt_));
    answer(key, JobOutcome::Cancelled, JobFailureReason::None, now);
}

bool JobEntryCore::cancel(const std::string& id, Time now)
{
    auto found = jobsById_.find(id);
    if (found == jobsById_.end())
        return false;
    answer(found->second, JobOutcome::Cancelled, JobFailureReason::None, now);
    return true;
}

void JobEntryCore::processResumed(Duration suspension, Time now)
{
    log(LogLine("resumed").milliseconds("gap_ms", suspension).number("jobs", jobs_.size()));
    std::vector<JobKey> keys;
    for (const auto& [key, job] : jobs_)
        keys.push_back(key);
    for (JobKey key : keys) {
        const HeldJob& job = jobs_[key];
        bool hasRuns = std::any_of(job.tasks_.begin(), job.tasks_.end(), [](const auto& task) { return task.run_ != 0; });
        answer(key, hasRuns || job.hasBegun_ ? JobOutcome::GivenUp : JobOutcome::Rejected, JobFailureReason::Deadline, now);
    }
}

void JobEntryCore::beginShutdown(Time now)
{
    if (shutdownAt_)
        return;
    shutdownAt_ = now;
    log(LogLine("shutdown_began").number("jobs", jobs_.size()));
}

bool JobEntryCore::isReady() const
{
    if (shutdownAt_ || !queues_.version() || !evacuation_.isKnown())
        return false;
    return std::any_of(agents_.begin(), agents_.end(), [this](const auto& row) { return isUsable(row.second); });
}

void JobEntryCore::tick(Time now)
{
    checkAgents(now);
    recordUtilization(now);
    checkJobs(now);
    evictAnswers(now);
}

void JobEntryCore::checkJobs(Time now)
{
    std::vector<JobKey> keys;
    for (const auto& [key, job] : jobs_)
        keys.push_back(key);
    bool isShutdownOver = shutdownAt_ && now - *shutdownAt_ >= settings_.shutdownTimeout_;
    std::vector<JobKey> unplaced;
    for (JobKey key : keys) {
        HeldJob& job = jobs_[key];
        if (job.isRecalled_)
            finishRecall(key, now);
        else if (now >= job.deadline_ || isShutdownOver)
            recall(key, isShutdownOver ? JobFailureReason::ShuttingDown : JobFailureReason::Deadline, now);
        else if (std::any_of(job.tasks_.begin(), job.tasks_.end(), [](const auto& task) { return task.waitsForPlace(); }))
            unplaced.push_back(key);
    }
    // By priority, then by when the job is due.
    auto order = [this](JobKey key) { return std::pair(jobs_[key].queue_.priority_, jobs_[key].due_); };
    std::sort(unplaced.begin(), unplaced.end(), [&](JobKey left, JobKey right) { return order(left) < order(right); });
    for (JobKey key : unplaced)
        placeWaitingTasks(key, now);
}

void JobEntryCore::placeWaitingTasks(JobKey key, Time now)
{
    for (std::uint32_t task = 0; jobs_.contains(key) && !jobs_[key].isRecalled_ && task < jobs_[key].tasks_.size(); ++task) {
        if (jobs_[key].tasks_[task].waitsForPlace())
            retry(key, task, now);
    }
}

void JobEntryCore::evictAnswers(Time now)
{
    while (!answersByAge_.empty() && (answersByAge_.front().first <= now || answersByAge_.size() > maxKeptAnswers)) {
        auto found = answers_.find(answersByAge_.front().second);
        if (found != answers_.end() && found->second.until_ <= answersByAge_.front().first)
            answers_.erase(found);
        answersByAge_.pop_front();
    }
}

JobEntryEffects JobEntryCore::takeEffects()
{
    return std::exchange(effects_, {});
}

void JobEntryCore::send(LinkId link, Wire::RunMessage message)
{
    effects_.messages_.push_back({ link, std::move(message) });
}

} // namespace Lagoonpick
