#include "Lagoonpick/Job/JobCore.h"

#include "Lagoonpick/Core/Underlying.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Lagoonpick {

using Wire::NotStartedReason;
using Wire::RunEnd;

namespace {

/// A job that is expected to take this many times as long as it should is rejected: it would be late, and make others late.
constexpr double maxExpectedLateness = 1.1;
/// A job that was taken may wait longer, since what was expected of it was uncertain.
constexpr double maxLateness = 1.4;
/// The least time that a task may wait for room, so that two entries that chose the same target don't both start over.
constexpr Duration minWait = std::chrono::milliseconds(30);
/// How many targets are looked at for a task.
constexpr std::size_t maxSample = 8;
/// How often a task is returned at once by targets that seemed to have room; then it waits where it is.
constexpr std::uint32_t maxBounces = 3;
/// How much a target's load weighs against its expected finish, so that equal targets share the work.
constexpr double loadWeight = 0.15;
/// Entries choose alike from the same reports; a random part keeps them apart.
constexpr double jitter = 0.1;
/// A target that fails what it runs gets one task from each entry in this time.
constexpr Duration probeInterval = std::chrono::milliseconds(500);
/// A task is started this often at the most beyond the attempts that its queue allows.
constexpr std::uint32_t maxExtraStarts = 6;
/// A higher number than any earlier holder of the same job is likely to have reached.
constexpr std::uint32_t numberStep = 8;
constexpr Duration minRetryAfter = std::chrono::seconds(1);
constexpr std::size_t maxKeptAnswers = 20'000;

std::string_view nameOf(JobVerdict verdict)
{
    constexpr std::array<std::string_view, 6> names { "done", "failed", "cancelled", "rejected", "given_up", "no_such_queue" };
    return names[toUnderlying(verdict)];
}

std::string_view nameOf(JobRefusal refusal)
{
    constexpr std::array<std::string_view, 9> names { "none", "no_configuration", "no_targets", "overloaded", "too_large",
        "shutting_down", "unsupported", "targets_failed", "deadline" };
    return names[toUnderlying(refusal)];
}

std::string_view nameOf(RunEnd end)
{
    constexpr std::array<std::string_view, 5> names { "done", "failed", "stopped", "lost", "not_started" };
    return names[toUnderlying(end)];
}

double usedShare(const TargetLoadView& load)
{
    return load.capacity_.milliCores_ ? static_cast<double>(load.committed_.milliCores_) / load.capacity_.milliCores_ : 1;
}

} // namespace

JobCore::JobCore(JobSettings settings, std::uint64_t seed)
    : settings_(std::move(settings))
    , random_(seed)
{
}

void JobCore::setQueues(QueueTable queues, std::string text, Time now)
{
    if (queues.version() <= queues_.version())
        return;
    log(LogLine("configuration_installed").number("version", queues.version()).number("replaced", queues_.version()).number("queues", queues.rules().size()));
    queues_ = std::move(queues);
    configurationText_ = std::move(text);
    configurationConfirmedAt_ = now;
}

std::optional<bool> JobCore::hasQueue(std::string_view host, std::string_view path, Time now) const
{
    if (queues_.find(host, path))
        return true;
    if (!queues_.version() || now - configurationConfirmedAt_ > settings_.configurationFreshness_)
        return std::nullopt;
    return false;
}

void JobCore::submit(CallerId caller, const JobRequest& request, Time now)
{
    auto isKnown = hasQueue(request.host_, request.path_, now);
    if (!isKnown.value_or(true)) {
        log(LogLine("job_rejected").text("job", request.id_).text("why", "no_such_queue").number("configuration", queues_.version()).milliseconds("confirmed_ms_ago", now - configurationConfirmedAt_));
        answerCaller(caller, JobVerdict::NoSuchQueue, JobRefusal::None);
        return;
    }
    auto kept = answers_.find(request.id_);
    if (kept != answers_.end()) {
        answerCaller(caller, kept->second.verdict_, JobRefusal::None);
        return;
    }
    auto held = byId_.find(request.id_);
    if (held != byId_.end()) {
        HeldJob& job = jobs_[held->second];
        job.callers_.push_back(caller);
        byCaller_[toUnderlying(caller)] = held->second;
        log(LogLine("job_joined").text("job", request.id_).number("callers", job.callers_.size()));
        return;
    }
    if (!isKnown)
        return reject(caller, request, JobRefusal::NoConfiguration, now);
    if (shutdownAt_ && now - *shutdownAt_ > settings_.shutdownAcceptance_)
        return reject(caller, request, JobRefusal::ShuttingDown, now);
    if (jobs_.size() >= settings_.maxJobs_)
        return reject(caller, request, JobRefusal::Overloaded, now);
    if (!request.taskCount_ || request.taskCount_ > settings_.maxTasks_)
        return reject(caller, request, JobRefusal::TooLarge, now);

    HeldJob job { .request_ = request, .queue_ = *queues_.find(request.host_, request.path_), .callers_ = { caller }, .arrivedAt_ = now };
    job.work_ = workModel_.learn(job.queue_.name_, request.estimate_);
    Duration objective = Duration(static_cast<Duration::rep>(job.queue_.slackFactor_ * static_cast<double>(job.work_.count()))) + job.queue_.allowance_;
    job.due_ = now + objective - settings_.overhead_;
    job.deadline_ = now + request.patience_ - settings_.answerMargin_;
    job.tasks_.resize(request.taskCount_);
    if (auto refusal = admit(job, now); refusal != JobRefusal::None)
        return reject(caller, request, refusal, now);
    ++counters_.accepted_;
    JobKey key = ++lastJob_;
    log(LogLine("job_accepted").text("job", request.id_).text("queue", job.queue_.name_).number("configuration", queues_.version()).number("tasks", request.taskCount_).milliseconds("work_ms", job.work_).milliseconds("due_in_ms", job.due_ - now).milliseconds("patience_ms", request.patience_));
    HeldJob& stored = jobs_.emplace(key, std::move(job)).first->second;
    byId_[request.id_] = key;
    byCaller_[toUnderlying(caller)] = key;
    for (std::uint32_t task = 0; task < request.taskCount_; ++task)
        place(key, stored, task, now);
}

bool JobCore::canRun(const HeldJob& job, const AgentRow& agent) const
{
    const auto& labels = agent.report_.labels_;
    const std::string& required = job.request_.requiredLabel_;
    if (!agent.isUsable() || agent.report_.service_ != job.queue_.service_ || !hasRoom(agent.report_.capacity_, {}, job.request_.need_))
        return false;
    return required.empty() || std::find(labels.begin(), labels.end(), required) != labels.end();
}

Duration JobCore::workOn(const HeldJob& job, const AgentRow& agent) const
{
    const auto& labels = agent.report_.labels_;
    const std::string& rack = job.request_.rack_;
    if (rack.empty() || std::find(labels.begin(), labels.end(), rack) != labels.end())
        return job.work_;
    return Duration(static_cast<Duration::rep>(settings_.remoteFactor_ * static_cast<double>(job.work_.count())));
}

/// Answers the load pattern of more jobs than there is room for: one that would end too late is rejected while its
/// caller can still turn elsewhere, and nothing of it takes room from those that can end in time.
JobRefusal JobCore::admit(HeldJob& job, Time now)
{
    struct Candidate {
        TargetLoadView load_;
        Duration work_;
    };
    std::vector<Candidate> candidates;
    for (const auto& [incarnation, agent] : agents_) {
        if (canRun(job, agent))
            candidates.push_back({ agent.load(), workOn(job, agent) });
    }
    if (candidates.empty())
        return JobRefusal::NoTargets;
    Duration latest {};
    for (std::uint32_t task = 0; task < job.request_.taskCount_; ++task) {
        Candidate* best = nullptr;
        Duration earliest = Duration::max();
        for (auto& candidate : candidates) {
            Duration finish = expectOn(candidate.load_, job.request_.need_, candidate.work_).finish();
            if (finish < earliest) {
                earliest = finish;
                best = &candidate;
            }
        }
        best->load_.committed_ = best->load_.committed_ + job.request_.need_;
        latest = std::max(latest, earliest);
    }
    auto limit = Duration(static_cast<Duration::rep>(maxExpectedLateness * static_cast<double>((job.due_ - now).count())));
    if (latest > limit || now + latest > job.deadline_)
        return JobRefusal::Overloaded;
    return JobRefusal::None;
}

std::vector<Incarnation> JobCore::sampleAgents(const HeldJob& job, const JobTask& task, Time now)
{
    std::size_t usable = 0;
    std::size_t suspect = 0;
    for (const auto& [incarnation, agent] : agents_) {
        usable += agent.isUsable() ? 1 : 0;
        suspect += agent.isUsable() && agent.report_.isSuspect_ ? 1 : 0;
    }
    // When most targets look bad, the tasks are the more likely cause.
    bool mustSpareSuspects = suspect * 2 <= usable;
    std::vector<Incarnation> free;
    std::vector<Incarnation> full;
    for (const auto& [incarnation, agent] : agents_) {
        if (!canRun(job, agent))
            continue;
        if (agent.report_.isSuspect_ && mustSpareSuspects && (now < agent.nextProbe_ || task.failures_))
            continue;
        TargetLoadView load = agent.load();
        bool hasSpace = hasRoom(load.capacity_, load.committed_, job.request_.need_);
        (hasSpace ? free : full).push_back(incarnation);
    }
    auto& sample = free.empty() ? full : free;
    std::size_t size = std::min(sample.size(), maxSample);
    for (std::size_t i = 0; i < size; ++i) {
        std::uniform_int_distribution<std::size_t> rest(i, sample.size() - 1);
        std::swap(sample[i], sample[rest(random_)]);
    }
    sample.resize(size);
    return std::move(sample);
}

/// Answers the load pattern of many entries that choose by reports which are out of date by then: each looks at a few
/// targets of its own, so that they don't all take the one that looked best.
Incarnation JobCore::chooseAgent(const HeldJob& job, const JobTask& task, Time now)
{
    std::uniform_real_distribution<double> spread(1 - jitter, 1 + jitter);
    Incarnation best;
    double bestCost = 0;
    for (Incarnation incarnation : sampleAgents(job, task, now)) {
        const AgentRow& agent = agents_[incarnation];
        TargetLoadView load = agent.load();
        double cost = static_cast<double>(expectOn(load, job.request_.need_, workOn(job, agent)).finish().count());
        cost += loadWeight * usedShare(load) * static_cast<double>(job.work_.count()) * spread(random_);
        if (task.avoided_.contains(incarnation))
            cost += static_cast<double>(job.work_.count()) * 4;
        if (!best.isValid() || cost < bestCost) {
            best = incarnation;
            bestCost = cost;
        }
    }
    return best;
}

void JobCore::place(JobKey key, HeldJob& job, std::uint32_t task, Time now)
{
    Incarnation agent = chooseAgent(job, job.tasks_[task], now);
    if (agent.isValid())
        startOn(agent, key, job, task, now);
}

void JobCore::startOn(Incarnation incarnation, JobKey key, HeldJob& job, std::uint32_t index, Time now)
{
    JobTask& task = job.tasks_[index];
    AgentRow& agent = agents_[incarnation];
    if (agent.report_.isSuspect_)
        agent.nextProbe_ = now + probeInterval;
    ++counters_.runs_;
    if (task.number_)
        ++counters_.repeatedRuns_;
    task.run_ = ++lastRun_;
    task.agent_ = incarnation;
    ++task.number_;
    TargetLoadView load = agent.load();
    bool hasSpace = hasRoom(load.capacity_, load.committed_, job.request_.need_);
    runs_[task.run_] = { key, index };
    agent.runs_[task.run_] = job.request_.need_;
    Duration work = workOn(job, agent);
    Duration run = expectOn(load, {}, work).run_;
    Duration wait = std::max<Duration>(minWait, std::chrono::duration_cast<Duration>((job.due_ - now) * maxLateness) - run);
    wait = std::min<Duration>(wait, std::max<Duration>(job.deadline_ - now - run, minWait));
    if (hasSpace && task.bounces_ < maxBounces)
        wait = Duration();
    send(*agent.link_,
        Wire::StartRun { .run_ = task.run_,
            // One step, one occurrence.
            .task_ = job.request_.id_ + ".0.0." + std::to_string(index),
            .number_ = task.number_,
            .payload_ = job.request_.payload_,
            .need_ = job.request_.need_,
            .workMicroseconds_ = static_cast<std::uint64_t>(work.count()),
            .waitMicroseconds_ = static_cast<std::uint64_t>(wait.count()),
            .dueInMicroseconds_ = (job.due_ - now - run).count() });
}

void JobCore::endRun(std::uint64_t run, RunEnd end, NotStartedReason reason, Time now)
{
    auto found = runs_.find(run);
    if (found == runs_.end())
        return;
    RunPlace place = found->second;
    runs_.erase(found);
    HeldJob& job = jobs_[place.job_];
    JobTask& task = job.tasks_[place.task_];
    if (auto agent = agents_.find(task.agent_); agent != agents_.end())
        agent->second.runs_.erase(run);
    task.run_ = 0;
    if (end != RunEnd::NotStarted)
        job.hasBegun_ = true;
    if (end == RunEnd::Done) {
        task.isDone_ = true;
        ++job.doneCount_;
        if (job.doneCount_ == job.tasks_.size())
            answer(place.job_, JobVerdict::Done, JobRefusal::None, now);
        return;
    }
    if (job.isRecalled_) {
        finishRecalled(place.job_, now);
        return;
    }
    if (end == RunEnd::Failed && ++task.failures_ >= job.queue_.maxAttempts_) {
        log(LogLine("task_failed").text("job", job.request_.id_).number("task", place.task_).number("attempts", task.failures_));
        answer(place.job_, JobVerdict::Failed, JobRefusal::None, now);
        return;
    }
    bool wasSent = reason != NotStartedReason::NoRoom && reason != NotStartedReason::Draining;
    if (reason == NotStartedReason::OldNumber)
        task.number_ += numberStep;
    else if (reason == NotStartedReason::NoRoom && task.bounces_ < maxBounces)
        ++task.bounces_;
    else
        task.avoided_.insert(task.agent_);
    if (!wasSent)
        --task.number_;
    log(LogLine("task_returned").text("job", job.request_.id_).number("task", place.task_).number("number", task.number_).text("end", nameOf(end)).number("reason", toUnderlying(reason)).number("failures", task.failures_));
    retry(place.job_, place.task_, now);
}

void JobCore::retry(JobKey key, std::uint32_t task, Time now)
{
    HeldJob& job = jobs_[key];
    if (job.tasks_[task].number_ % numberStep > job.queue_.maxAttempts_ + maxExtraStarts)
        return recall(key, JobRefusal::TargetsFailed, now);
    if (now + job.work_ / 2 > job.deadline_)
        return recall(key, JobRefusal::Deadline, now);
    place(key, job, task, now);
}

void JobCore::recall(JobKey key, JobRefusal refusal, Time now)
{
    HeldJob& job = jobs_[key];
    if (job.isRecalled_)
        return;
    job.isRecalled_ = true;
    job.recalledAt_ = now;
    job.refusal_ = refusal;
    stopRuns(job);
    finishRecalled(key, now);
}

void JobCore::stopRuns(HeldJob& job)
{
    for (const auto& task : job.tasks_) {
        auto agent = agents_.find(task.agent_);
        if (task.run_ && agent != agents_.end() && agent->second.link_)
            send(*agent->second.link_, Wire::StopRun { task.run_ });
    }
}

void JobCore::finishRecalled(JobKey key, Time now)
{
    HeldJob& job = jobs_[key];
    bool hasRuns = std::any_of(job.tasks_.begin(), job.tasks_.end(), [](const auto& task) { return task.run_ != 0; });
    // Once a task has begun, the answer does not depend on the others; else it waits for proof that none has.
    bool mustWait = hasRuns && !job.hasBegun_ && now - job.recalledAt_ < settings_.recallTimeout_;
    if (mustWait)
        return;
    bool neverBegan = !hasRuns && !job.hasBegun_;
    answer(key, neverBegan ? JobVerdict::Rejected : JobVerdict::GivenUp, job.refusal_, now);
}

void JobCore::answer(JobKey key, JobVerdict verdict, JobRefusal refusal, Time now)
{
    auto found = jobs_.find(key);
    HeldJob job = std::move(found->second);
    jobs_.erase(found);
    byId_.erase(job.request_.id_);
    stopRuns(job);
    for (const auto& task : job.tasks_) {
        if (task.run_)
            runs_.erase(task.run_);
    }
    bool isLate = now > job.due_;
    log(LogLine("job_answered").text("job", job.request_.id_).text("verdict", nameOf(verdict)).text("why", nameOf(refusal)).milliseconds("took_ms", now - job.arrivedAt_).milliseconds("due_in_ms", job.due_ - now).number("done", job.doneCount_).number("tasks", job.tasks_.size()).number("callers", job.callers_.size()));
    if (verdict == JobVerdict::Done || verdict == JobVerdict::Failed) {
        jobTimes_.add(now - job.arrivedAt_);
        answers_[job.request_.id_] = { verdict, now + settings_.answerLifetime_ };
        answersByAge_.emplace_back(now + settings_.answerLifetime_, job.request_.id_);
    }
    switch (verdict) {
    case JobVerdict::Done:
        ++counters_.done_;
        counters_.doneLate_ += isLate ? 1 : 0;
        break;
    case JobVerdict::Failed:
        ++counters_.failed_;
        break;
    case JobVerdict::Cancelled:
        ++counters_.cancelled_;
        break;
    case JobVerdict::GivenUp:
        ++counters_.givenUp_;
        break;
    case JobVerdict::Rejected:
    case JobVerdict::NoSuchQueue:
        ++counters_.rejected_;
        break;
    }
    for (CallerId caller : job.callers_) {
        byCaller_.erase(toUnderlying(caller));
        answerCaller(caller, verdict, refusal);
    }
}

void JobCore::answerCaller(CallerId caller, JobVerdict verdict, JobRefusal refusal)
{
    Duration retryAfter {};
    if (verdict == JobVerdict::Rejected)
        retryAfter = minRetryAfter + std::chrono::seconds(random_() % 2);
    effects_.answers_.push_back({ caller, verdict, refusal, retryAfter });
}

void JobCore::reject(CallerId caller, const JobRequest& request, JobRefusal refusal, Time)
{
    ++counters_.rejected_;
    std::size_t usable = std::count_if(agents_.begin(), agents_.end(), [](const auto& row) { return row.second.isUsable(); });
    log(LogLine("job_rejected").text("job", request.id_).text("why", nameOf(refusal)).number("configuration", queues_.version()).number("targets", usable).number("jobs", jobs_.size()).number("tasks", request.taskCount_));
    answerCaller(caller, JobVerdict::Rejected, refusal);
}

void JobCore::abandon(CallerId caller, Time now)
{
    auto found = byCaller_.find(toUnderlying(caller));
    if (found == byCaller_.end())
        return;
    JobKey key = found->second;
    byCaller_.erase(found);
    HeldJob& job = jobs_[key];
    std::erase(job.callers_, caller);
    if (!job.callers_.empty())
        return;
    ++counters_.abandoned_;
    log(LogLine("job_abandoned").text("job", job.request_.id_).milliseconds("after_ms", now - job.arrivedAt_));
    answer(key, JobVerdict::Cancelled, JobRefusal::None, now);
}

bool JobCore::cancel(const std::string& id, Time now)
{
    auto found = byId_.find(id);
    if (found == byId_.end())
        return false;
    answer(found->second, JobVerdict::Cancelled, JobRefusal::None, now);
    return true;
}

void JobCore::resume(Duration gap, Time now)
{
    log(LogLine("resumed").milliseconds("gap_ms", gap).number("jobs", jobs_.size()));
    std::vector<JobKey> keys;
    for (const auto& [key, job] : jobs_)
        keys.push_back(key);
    for (JobKey key : keys) {
        const HeldJob& job = jobs_[key];
        bool hasRuns = std::any_of(job.tasks_.begin(), job.tasks_.end(), [](const auto& task) { return task.run_ != 0; });
        answer(key, hasRuns || job.hasBegun_ ? JobVerdict::GivenUp : JobVerdict::Rejected, JobRefusal::Deadline, now);
    }
}

void JobCore::beginShutdown(Time now)
{
    if (shutdownAt_)
        return;
    shutdownAt_ = now;
    log(LogLine("shutdown_began").number("jobs", jobs_.size()));
}

bool JobCore::isReady() const
{
    if (shutdownAt_ || !queues_.version())
        return false;
    return std::any_of(agents_.begin(), agents_.end(), [](const auto& row) { return row.second.isUsable(); });
}

void JobCore::tick(Time now)
{
    checkAgents(now);
    checkJobs(now);
    forgetAnswers(now);
}

void JobCore::checkJobs(Time now)
{
    std::vector<JobKey> keys;
    for (const auto& [key, job] : jobs_)
        keys.push_back(key);
    bool isShutdownOver = shutdownAt_ && now - *shutdownAt_ >= settings_.shutdownTimeout_;
    for (JobKey key : keys) {
        HeldJob& job = jobs_[key];
        if (job.isRecalled_) {
            finishRecalled(key, now);
            continue;
        }
        if (now >= job.deadline_ || isShutdownOver) {
            recall(key, isShutdownOver ? JobRefusal::ShuttingDown : JobRefusal::Deadline, now);
            continue;
        }
        for (std::uint32_t task = 0; task < job.tasks_.size() && !job.isRecalled_; ++task) {
            if (job.tasks_[task].run_ || job.tasks_[task].isDone_)
                continue;
            retry(key, task, now);
            if (!jobs_.contains(key))
                break;
        }
    }
}

void JobCore::forgetAnswers(Time now)
{
    while (!answersByAge_.empty() && (answersByAge_.front().first <= now || answersByAge_.size() > maxKeptAnswers)) {
        auto found = answers_.find(answersByAge_.front().second);
        if (found != answers_.end() && found->second.until_ <= answersByAge_.front().first)
            answers_.erase(found);
        answersByAge_.pop_front();
    }
}

JobEffects JobCore::takeEffects()
{
    return std::exchange(effects_, {});
}

void JobCore::send(LinkId link, Wire::RunMessage message)
{
    effects_.messages_.push_back({ link, std::move(message) });
}

} // namespace Lagoonpick
