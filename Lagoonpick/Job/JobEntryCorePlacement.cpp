#include "Lagoonpick/Job/JobEntryCore.h"

#include <algorithm>
#include <utility>

// The part of `JobEntryCore` that decides which jobs are accepted and where their tasks run.

namespace Lagoonpick {

namespace {

/// Longest wait of a task at a target before it is placed anew, as a multiple of the expected wait: by then the expectation was wrong,
/// and another target may have room.
constexpr Duration::rep maxWaitFactor = 2;
/// Maximum number of targets considered for a task in each of four groups: with room or full, on the rack of its data or elsewhere.
constexpr std::size_t maxSampleSize = 8;
/// Full targets are considered too if a task is expected to end later than this multiple of its expected run time: it may end
/// sooner by waiting there.
constexpr Duration::rep fullTargetsFactor = 2;
/// Weight of a target's load relative to the expected finish, so that equal targets share the work.
constexpr double loadWeight = 0.15;
/// Random relative variation of the load's weight, so that entries with the same reports choose different targets.
constexpr double loadWeightJitter = 0.1;
/// Interval in which a suspect target gets at most one task from each entry: each such probe costs a task one of its attempts.
constexpr Duration probeInterval = std::chrono::milliseconds(500);

double cpuUtilization(const TargetLoadView& load)
{
    return load.capacity_.milliCores_ ? static_cast<double>(load.committed_.milliCores_) / load.capacity_.milliCores_ : 1;
}

} // namespace

bool JobEntryCore::canRun(const HeldJob& job, const AgentRow& agent) const
{
    const auto& labels = agent.report_.labels_;
    const std::string& required = job.request_.requiredLabel_;
    if (!isUsable(agent) || agent.report_.service_ != job.queue_.service_ || !hasRoom(agent.report_.capacity_, {}, job.request_.need_))
        return false;
    return required.empty() || std::find(labels.begin(), labels.end(), required) != labels.end();
}

bool JobEntryCore::isRemote(const HeldJob& job, const AgentRow& agent) const
{
    const auto& labels = agent.report_.labels_;
    const std::string& rack = job.request_.rack_;
    return settings_.remoteFactor_ != 1 && !rack.empty() && std::find(labels.begin(), labels.end(), rack) == labels.end();
}

Duration JobEntryCore::expectedWork(const HeldJob& job, const AgentRow& agent) const
{
    return isRemote(job, agent) ? scale(job.work_, settings_.remoteFactor_) : job.work_;
}

Duration JobEntryCore::workOf(Duration took, const HeldJob& job, const AgentRow& agent) const
{
    double onTarget = static_cast<double>(scale(expectedWork(job, agent), agent.slowdown()).count());
    return onTarget > 0 ? scale(took, static_cast<double>(job.work_.count()) / onTarget) : took;
}

Duration JobEntryCore::shortestFinish(Duration finish, const HeldJob& job)
{
    double expected = static_cast<double>(job.work_.count());
    return expected > 0 ? scale(finish, static_cast<double>(job.shortestWork_.count()) / expected) : finish;
}

/// Handles the load pattern of a burst in which queued tasks begin close to their latest start. A job's due time is computed from its
/// expected work; with more work it is due later. The work may exceed the expected one by the factor by which it may fall short of
/// it, so the task counts as one that can end in time until then, but not beyond the time at which it must start to end at all
/// while its caller waits.
Time JobEntryCore::latestStart(const HeldJob& job, Duration run)
{
    double shortest = static_cast<double>(std::max<Duration::rep>(job.shortestWork_.count(), 1));
    Duration longest = scale(job.work_, static_cast<double>(job.work_.count()) / shortest);
    Time latestDue = job.due_ + scale(longest - job.work_, std::max(job.queue_.slackFactor_ - 1, 0.0));
    return std::min(latestDue, std::max(job.due_, job.deadline_)) - run;
}

StartOrder JobEntryCore::startOrder(const HeldJob& job, const AgentRow& agent, Time now) const
{
    Duration run = scale(expectedWork(job, agent), agent.slowdown());
    StartOrder order { job.queue_.priority_, latestStart(job, run) };
    // A task that is not expected to start in time is ordered after those that still can.
    if (order.due_ < now || agent.backlog_.waitOf(order) > order.due_ - now)
        order.due_ = std::max(order.due_, job.deadline_ - run);
    return order;
}

/// Handles the load pattern of more jobs than there is capacity for: a job that is not expected to end while its caller waits is
/// rejected at once, so that the caller can turn elsewhere and the job takes no capacity from those that can be done. A job that
/// would end after its due time is accepted: its caller still waits for the answer. The wait of a less urgent job includes the more urgent
/// work that keeps arriving.
JobEntryCore::Admission JobEntryCore::admit(const HeldJob& job, Time now)
{
    struct Candidate {
        TargetLoadView load_;
        Duration work_;
    };
    std::vector<Candidate> candidates;
    Admission admission;
    bool avoidsSuspects = mustAvoidSuspects();
    for (const auto& [incarnation, agent] : agents_) {
        // A suspect target has room because it fails what it runs; that room must not count.
        if (!canRun(job, agent) || (avoidsSuspects && agent.report_.isSuspect_))
            continue;
        candidates.push_back({ agent.load(startOrder(job, agent, now)), expectedWork(job, agent) });
        admission.reportAge_ = std::max<Duration>(admission.reportAge_, now - agent.reportedAt_);
    }
    if (candidates.empty()) {
        admission.failureReason_ = JobFailureReason::NoTargets;
        return admission;
    }
    admission.urgentShare_ = urgentLoad_.shareBefore(job.queue_.service_, job.queue_.priority_, now);
    for (std::uint32_t task = 0; task < job.request_.taskCount_; ++task) {
        Candidate* best = nullptr;
        Duration earliest = Duration::max();
        for (auto& candidate : candidates) {
            CompletionEstimate estimate = estimateCompletion(candidate.load_, job.request_.need_, candidate.work_);
            // More urgent work may stop arriving, so that it counts only against a job that it would keep from ending in any case.
            Duration afterUrgent = lengthenWait(estimate.wait_, admission.urgentShare_) + shortestFinish(estimate.run_, job);
            Duration finish = std::max<Duration>(estimate.finish(), afterUrgent);
            if (finish < earliest) {
                earliest = finish;
                best = &candidate;
            }
        }
        best->load_.committed_ = best->load_.committed_ + job.request_.need_;
        best->load_.unseen_ = best->load_.unseen_ + job.request_.need_;
        admission.expectedFinish_ = std::max(admission.expectedFinish_, earliest);
    }
    admission.finishLimit_ = job.deadline_ - now;
    if (admission.expectedFinish_ > admission.finishLimit_)
        admission.failureReason_ = JobFailureReason::Overloaded;
    return admission;
}

bool JobEntryCore::mustAvoidSuspects() const
{
    std::size_t usable = 0;
    std::size_t suspect = 0;
    for (const auto& [incarnation, agent] : agents_) {
        usable += isUsable(agent) ? 1 : 0;
        suspect += isUsable(agent) && agent.report_.isSuspect_ ? 1 : 0;
    }
    // If most targets are suspect, the tasks are the more likely cause.
    return suspect * 2 <= usable;
}

/// Reduces the list to at most `maxSampleSize` agents, chosen at random.
void JobEntryCore::keepRandomSample(std::vector<Incarnation>& from)
{
    std::size_t size = std::min(from.size(), maxSampleSize);
    for (std::size_t i = 0; i < size; ++i) {
        std::uniform_int_distribution<std::size_t> rest(i, from.size() - 1);
        std::swap(from[i], from[rest(random_)]);
    }
    from.resize(size);
}

JobEntryCore::Sample JobEntryCore::sampleAgents(const HeldJob& job, const JobTask& task, Time now)
{
    bool avoidsSuspects = mustAvoidSuspects();
    Sample sample;
    // Sampled apart: among a random few of all targets there would often be none of the rack of the job's data.
    Sample remote;
    for (const auto& [incarnation, agent] : agents_) {
        if (!canRun(job, agent))
            continue;
        // A task that has failed before would lose one of its last attempts as a probe.
        if (agent.report_.isSuspect_ && avoidsSuspects && (now < agent.nextProbe_ || task.failures_))
            continue;
        bool hasSpace = hasRoom(agent.report_.capacity_, agent.committed(), job.request_.need_);
        Sample& group = isRemote(job, agent) ? remote : sample;
        (hasSpace ? group.free_ : group.full_).push_back(incarnation);
    }
    for (auto* list : { &sample.free_, &sample.full_, &remote.free_, &remote.full_ })
        keepRandomSample(*list);
    sample.free_.insert(sample.free_.end(), remote.free_.begin(), remote.free_.end());
    sample.full_.insert(sample.full_.end(), remote.full_.begin(), remote.full_.end());
    return sample;
}

/// Handles three load patterns: many entries that choose by outdated reports, so that each entry considers a random sample of
/// targets; targets that became slow, which have room when all others are full; and many jobs whose data is on one rack, which wait
/// there as long as that costs less than running elsewhere.
JobEntryCore::Placement JobEntryCore::chooseAgent(const HeldJob& job, const JobTask& task, Time now)
{
    std::uniform_real_distribution<double> spread(1 - loadWeightJitter, 1 + loadWeightJitter);
    Placement best;
    std::pair<bool, double> bestCost;
    auto consider = [&](const std::vector<Incarnation>& sample) {
        for (Incarnation incarnation : sample) {
            const AgentRow& agent = agents_[incarnation];
            TargetLoadView load = agent.load(startOrder(job, agent, now));
            Duration finish = estimateCompletion(load, job.request_.need_, expectedWork(job, agent)).finish();
            double time = static_cast<double>(finish.count());
            time += loadWeight * cpuUtilization(load) * static_cast<double>(job.work_.count()) * spread(random_);
            // The task's attempts are limited, so it does not go where it failed while it can go elsewhere.
            std::pair cost(task.avoided_.contains(incarnation), time);
            if (!best.agent_.isValid() || cost < bestCost) {
                best = { incarnation, finish };
                bestCost = cost;
            }
        }
    };
    Sample sample = sampleAgents(job, task, now);
    consider(sample.free_);
    // Waiting on the rack of the job's data may cost less than running elsewhere.
    bool mayGainByWaiting = !best.agent_.isValid() || best.finish_ > job.work_ * fullTargetsFactor || isRemote(job, agents_[best.agent_]);
    if (mayGainByWaiting)
        consider(sample.full_);
    return best;
}

void JobEntryCore::place(JobKey key, HeldJob& job, std::uint32_t task, Time now)
{
    Incarnation agent = chooseAgent(job, job.tasks_[task], now).agent_;
    if (agent.isValid())
        startRun(agent, key, job, task, now);
}

void JobEntryCore::startRun(Incarnation incarnation, JobKey key, HeldJob& job, std::uint32_t index, Time now)
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
    ++task.starts_;
    StartOrder order = startOrder(job, agent, now);
    TargetLoadView load = agent.load(order);
    bool hasSpace = hasRoom(load.capacity_, load.committed_, job.request_.need_);
    runs_[task.run_] = { key, index };
    agent.runs_[task.run_] = { job.request_.need_, order };
    Duration work = expectedWork(job, agent);
    CompletionEstimate estimate = estimateCompletion(load, job.request_.need_, work);
    Duration run = estimate.run_;
    // The expectation is as old as the target's report, and of no use any more than that.
    Duration wait = std::max<Duration>(settings_.heartbeatInterval_, estimate.wait_ * maxWaitFactor);
    // A task that can't end any more before its caller leaves has no reason to wait.
    wait = std::clamp<Duration>(job.deadline_ - now - shortestFinish(run, job), Duration(), wait);
    if (hasSpace && task.bounces_ < JobTask::maxBounces)
        wait = Duration();
    log(LogLine("task_placed").text("job", job.request_.id_).number("task", index).number("number", task.number_).text("agent", agent.name_).milliseconds("report_age_ms", now - agent.reportedAt_).milliseconds("wait_ms", wait));
    send(*agent.link_,
        Wire::StartRun { .run_ = task.run_,
            // The job has a single step (0) with a single occurrence (0).
            .task_ = job.request_.id_ + ".0.0." + std::to_string(index),
            .number_ = task.number_,
            .payload_ = job.request_.payload_,
            .service_ = job.queue_.service_,
            .requiredLabel_ = job.request_.requiredLabel_,
            .need_ = job.request_.need_,
            .workMicroseconds_ = static_cast<std::uint64_t>(work.count()),
            .waitMicroseconds_ = static_cast<std::uint64_t>(wait.count()),
            .dueInMicroseconds_ = (latestStart(job, run) - now).count(),
            .priority_ = job.queue_.priority_,
            .callerTimeoutMicroseconds_ = static_cast<std::uint64_t>(std::max<Duration>(job.deadline_ - now, Duration()).count()),
            .agentTime_ = confirmAgentTime(agent) });
}

} // namespace Lagoonpick
