#include "Lagoonpick/Job/JobCore.h"

#include <algorithm>
#include <utility>

// Which jobs an entry takes, and where their tasks run.

namespace Lagoonpick {

namespace {

/// A job that is expected to take this many times as long as it should is rejected: it would be late, and make others late.
constexpr double maxExpectedLateness = 1.1;
/// The least time that a task may wait for room, so that two entries that chose the same target don't both start over.
constexpr Duration minWait = std::chrono::milliseconds(100);
/// How many times as long as expected a task waits at a target before it is placed anew.
constexpr Duration::rep waitFactor = 2;
/// How many targets are looked at for a task.
constexpr std::size_t maxSample = 8;
/// Where a task would take so many times as long as it should, it may do better to wait for another target.
constexpr Duration::rep slowFactor = 2;
/// How much a target's load weighs against its expected finish, so that equal targets share the work.
constexpr double loadWeight = 0.15;
/// Entries choose alike from the same reports; a random part keeps them apart.
constexpr double jitter = 0.1;
/// A target that fails what it runs gets one task from each entry in this time.
constexpr Duration probeInterval = std::chrono::milliseconds(500);

double usedShare(const TargetLoadView& load)
{
    return load.capacity_.milliCores_ ? static_cast<double>(load.committed_.milliCores_) / load.capacity_.milliCores_ : 1;
}

} // namespace

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
    return scale(job.work_, settings_.remoteFactor_);
}

/// Answers the load pattern of more jobs than there is room for: one that would end too late is rejected while its
/// caller can still turn elsewhere, and nothing of it takes room from those that can end in time.
JobCore::Admission JobCore::admit(const HeldJob& job, Time now)
{
    struct Candidate {
        TargetLoadView load_;
        Duration work_;
    };
    std::vector<Candidate> candidates;
    Admission admission;
    bool mustSpare = mustSpareSuspects();
    for (const auto& [incarnation, agent] : agents_) {
        // A target that fails what it runs has room, but not for this.
        if (!canRun(job, agent) || (mustSpare && agent.report_.isSuspect_))
            continue;
        candidates.push_back({ agent.load(), workOn(job, agent) });
        admission.reportAge_ = std::max<Duration>(admission.reportAge_, now - agent.reportedAt_);
    }
    if (candidates.empty()) {
        admission.refusal_ = JobRefusal::NoTargets;
        return admission;
    }
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
        best->load_.unseen_ = best->load_.unseen_ + job.request_.need_;
        admission.expected_ = std::max(admission.expected_, earliest);
    }
    admission.limit_ = std::min<Duration>(scale(job.due_ - now, maxExpectedLateness), job.deadline_ - now);
    if (admission.expected_ > admission.limit_)
        admission.refusal_ = JobRefusal::Overloaded;
    return admission;
}

/// While other queues of the service must reject jobs, this one gives up as much.
bool JobCore::mustYield(const HeldJob& job, Time now)
{
    double shortfall = rejectionShares_.shortfall(job.queue_.service_, job.queue_.name_, now);
    return std::uniform_real_distribution<double>(0, 1)(random_) < shortfall;
}

bool JobCore::mustSpareSuspects() const
{
    std::size_t usable = 0;
    std::size_t suspect = 0;
    for (const auto& [incarnation, agent] : agents_) {
        usable += agent.isUsable() ? 1 : 0;
        suspect += agent.isUsable() && agent.report_.isSuspect_ ? 1 : 0;
    }
    // When most targets look bad, the tasks are the more likely cause.
    return suspect * 2 <= usable;
}

/// Leaves a few of them, picked at random.
void JobCore::drawSome(std::vector<Incarnation>& from)
{
    std::size_t size = std::min(from.size(), maxSample);
    for (std::size_t i = 0; i < size; ++i) {
        std::uniform_int_distribution<std::size_t> rest(i, from.size() - 1);
        std::swap(from[i], from[rest(random_)]);
    }
    from.resize(size);
}

JobCore::Sample JobCore::sampleAgents(const HeldJob& job, const JobTask& task, Time now)
{
    bool mustSpare = mustSpareSuspects();
    Sample sample;
    for (const auto& [incarnation, agent] : agents_) {
        if (!canRun(job, agent))
            continue;
        if (agent.report_.isSuspect_ && mustSpare && (now < agent.nextProbe_ || task.failures_))
            continue;
        TargetLoadView load = agent.load();
        bool hasSpace = hasRoom(load.capacity_, load.committed_, job.request_.need_);
        (hasSpace ? sample.free_ : sample.full_).push_back(incarnation);
    }
    drawSome(sample.free_);
    drawSome(sample.full_);
    return sample;
}

/// Answers two load patterns: many entries that choose by reports which are out of date by then, so each looks at a few
/// targets of its own; and targets that turned slow, which have room when all others are full.
JobCore::Placement JobCore::chooseAgent(const HeldJob& job, const JobTask& task, Time now)
{
    std::uniform_real_distribution<double> spread(1 - jitter, 1 + jitter);
    Placement best;
    double bestCost = 0;
    auto consider = [&](const std::vector<Incarnation>& sample) {
        for (Incarnation incarnation : sample) {
            const AgentRow& agent = agents_[incarnation];
            TargetLoadView load = agent.load();
            Duration finish = expectOn(load, job.request_.need_, workOn(job, agent)).finish();
            double cost = static_cast<double>(finish.count());
            cost += loadWeight * usedShare(load) * static_cast<double>(job.work_.count()) * spread(random_);
            if (task.avoided_.contains(incarnation))
                cost += static_cast<double>(job.work_.count()) * 4;
            if (!best.agent_.isValid() || cost < bestCost) {
                best = { incarnation, finish };
                bestCost = cost;
            }
        }
    };
    Sample sample = sampleAgents(job, task, now);
    consider(sample.free_);
    if (!best.agent_.isValid() || best.finish_ > job.work_ * slowFactor)
        consider(sample.full_);
    return best;
}

void JobCore::place(JobKey key, HeldJob& job, std::uint32_t task, Time now)
{
    Incarnation agent = chooseAgent(job, job.tasks_[task], now).agent_;
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
    TargetOutlook outlook = expectOn(load, job.request_.need_, work);
    Duration run = outlook.run_;
    // Longer than expected, but not for ever: another target may have room by then.
    Duration wait = std::max<Duration>(minWait, outlook.wait_ * waitFactor);
    wait = std::min<Duration>(wait, std::max<Duration>(job.deadline_ - now - run, minWait));
    if (hasSpace && task.bounces_ < JobTask::maxBounces)
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
            .dueInMicroseconds_ = (job.due_ - now - run).count(),
            .callerTimeoutMicroseconds_ = static_cast<std::uint64_t>(std::max<Duration>(job.deadline_ - now, Duration()).count()) });
}

} // namespace Lagoonpick
