#include "UnitTests/Runs/RunLoad.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace Lagoonpick {

using std::chrono::milliseconds;

namespace {

/// A disturbance affects consecutive targets that begin with the first of a rack.
constexpr std::size_t targetsPerRack = 3;
constexpr Duration loadDuration = std::chrono::seconds(14);
/// The objective of a job is the run time of its longest task, multiplied by `slackFactor`, plus `allowance`.
constexpr double slackFactor = 1.6;
constexpr Duration allowance = milliseconds(60);
constexpr Duration callerTimeout = milliseconds(1500);
/// An answer within this time is one at once: a request's way to the entry and back, and the entry's decision.
constexpr Duration atOnce = milliseconds(20);
/// Log-normal spread of a task's run time around its job's, of a job's around its kind's and of a caller's estimate around
/// its job's: standard deviations of the natural logarithm.
constexpr double taskSpread = 0.15;
constexpr double jobSpread = 0.3;
constexpr double estimateSpread = 0.4;

bool isActive(const LoadPhase& phase, Duration time)
{
    return phase.from_ <= time && time < phase.until_;
}

bool affectsTargets(Disturbance disturbance)
{
    return disturbance == Disturbance::SlowTargets || disturbance == Disturbance::FailingTargets || disturbance == Disturbance::HangingTargets || disturbance == Disturbance::LostTargets;
}

/// Generates the jobs of one kind: a Poisson process whose rate follows the bursts of the load.
class JobGenerator {
public:
    JobGenerator(const LoadPlan& plan, std::size_t kind, double jobsPerSecond, std::mt19937_64& random)
        : plan_(plan)
        , kind_(kind)
        , jobsPerSecond_(jobsPerSecond)
        , random_(random)
    {
    }

    void generate(std::vector<PlannedJob>& jobs)
    {
        Duration time {};
        for (std::size_t number = 0;; ++number) {
            double seconds = std::exponential_distribution<double>(jobsPerSecond_ * burstFactorAt(time))(random_);
            time += Duration(static_cast<Duration::rep>(seconds * std::micro::den));
            if (time >= loadDuration)
                return;
            jobs.push_back(job(number, time));
        }
    }

private:
    double burstFactorAt(Duration time) const
    {
        double factor = 1;
        for (const auto& phase : plan_.load_.phases_) {
            if (phase.disturbance_ == Disturbance::Burst && isActive(phase, time) && phase.kind_.value_or(kind_) == kind_)
                factor *= phase.factor_;
        }
        return factor;
    }

    bool isAffected(Disturbance disturbance, Duration time)
    {
        for (const auto& phase : plan_.load_.phases_) {
            bool applies = phase.disturbance_ == disturbance && isActive(phase, time) && phase.kind_.value_or(kind_) == kind_;
            if (applies && std::uniform_real_distribution<double>(0, 1)(random_) < phase.share_)
                return true;
        }
        return false;
    }

    /// Returns a log-normal factor with median 1.
    double randomFactor(double deviation) { return std::exp(std::normal_distribution<double>(0, deviation)(random_)); }

    /// Returns the factor of a task's run time. Draws nothing for a load without a tail, so that its plan doesn't depend on this.
    double tailFactor()
    {
        const RunLoad& load = plan_.load_;
        bool isLong = load.tailShare_ > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < load.tailShare_;
        return isLong ? load.tailFactor_ : 1;
    }

    PlannedJob job(std::size_t number, Duration time)
    {
        const JobKind& kind = plan_.kinds_[kind_];
        PlannedJob job { .arrival_ = time, .id_ = kind.name_ + "-" + std::to_string(number), .kind_ = kind_, .work_ = {}, .callerTimeout_ = callerTimeout };
        Duration typicalWork = scale(kind.work_, randomFactor(jobSpread));
        for (std::uint32_t task = 0; task < kind.taskCount_; ++task)
            job.work_.push_back(scale(typicalWork, randomFactor(taskSpread) * tailFactor()));
        job.estimate_ = scale(typicalWork, randomFactor(estimateSpread));
        // An answer after the caller's timeout is of no use.
        job.objective_ = std::min<Duration>(scale(*std::max_element(job.work_.begin(), job.work_.end()), slackFactor) + allowance, callerTimeout);
        job.isImpossible_ = isAffected(Disturbance::ImpossibleJobs, time);
        job.leavesEarly_ = isAffected(Disturbance::LeavingCallers, time);
        if (job.leavesEarly_)
            job.callerTimeout_ = job.objective_ / 2;
        return job;
    }

    const LoadPlan& plan_;
    std::size_t kind_;
    double jobsPerSecond_;
    std::mt19937_64& random_;
};

std::vector<PlannedTarget> generateTargets(const RunLoad& load, std::mt19937_64& random)
{
    std::vector<PlannedTarget> targets;
    for (std::size_t i = 0; i < load.targetCount_; ++i) {
        // Targets differ in size and speed, like hardware of several generations.
        std::uint32_t milliCores = 12'000 + 4'000 * static_cast<std::uint32_t>(i % 3);
        double speed = load.slowdowns_.empty() ? 0.9 + 0.1 * static_cast<double>(i % 4) : 1 / load.slowdowns_[i % load.slowdowns_.size()];
        targets.push_back({ { milliCores, 32'000, 0 }, speed, {} });
    }
    for (std::size_t phase = 0; phase < load.phases_.size(); ++phase) {
        const LoadPhase& loadPhase = load.phases_[phase];
        if (!affectsTargets(loadPhase.disturbance_))
            continue;
        std::size_t count = static_cast<std::size_t>(std::lround(loadPhase.share_ * static_cast<double>(load.targetCount_)));
        std::size_t first = std::uniform_int_distribution<std::size_t>(0, load.targetCount_ / targetsPerRack - 1)(random) * targetsPerRack;
        for (std::size_t i = 0; i < count; ++i)
            targets[(first + i) % load.targetCount_].phases_.push_back(phase);
    }
    return targets;
}

} // namespace

double LoadPlan::speedAt(std::size_t target, Duration time) const
{
    double speed = targets_[target].speed_;
    for (std::size_t index : targets_[target].phases_) {
        const LoadPhase& phase = load_.phases_[index];
        if (!isActive(phase, time))
            continue;
        speed = phase.disturbance_ == Disturbance::SlowTargets ? speed / phase.factor_ : 0;
    }
    return speed;
}

LoadPlan planLoad(const RunLoad& load, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    LoadPlan plan { .load_ = load, .kinds_ = {}, .targets_ = {}, .jobs_ = {}, .need_ = { 1'600, 500, 0 }, .callerTimeout_ = callerTimeout, .duration_ = loadDuration };
    plan.kinds_ = { { "short", 8, milliseconds(60), 5, 0 }, { "middle", 2, milliseconds(200), 15, 1 }, { "long", 4, milliseconds(900), 1, 2 } };
    plan.targets_ = generateTargets(load, random);
    double speedWeightedSlots = 0;
    for (const auto& target : plan.targets_) {
        std::uint32_t tasks = target.capacity_.milliCores_ / plan.need_.milliCores_;
        speedWeightedSlots += target.speed_ * tasks;
    }
    double workSecondsPerShare = 0;
    for (const auto& kind : plan.kinds_)
        workSecondsPerShare += kind.share_ * kind.taskCount_ * std::chrono::duration<double>(kind.work_).count() * std::exp(jobSpread * jobSpread / 2);
    workSecondsPerShare *= 1 + load.tailShare_ * (load.tailFactor_ - 1);
    for (std::size_t kind = 0; kind < plan.kinds_.size(); ++kind) {
        double jobsPerSecond = load.level_ * speedWeightedSlots / workSecondsPerShare * plan.kinds_[kind].share_;
        JobGenerator(plan, kind, jobsPerSecond, random).generate(plan.jobs_);
    }
    std::sort(plan.jobs_.begin(), plan.jobs_.end(), [](const auto& left, const auto& right) { return left.arrival_ < right.arrival_; });
    return plan;
}

LoadOutcome::LoadOutcome(const LoadPlan& plan)
{
    for (const auto& job : plan.jobs_) {
        if (job.isCounted())
            jobs_[&job] = { .kind_ = job.kind_, .held_ = job.callerTimeout_ };
    }
}

void LoadOutcome::recordDone(const PlannedJob& job, Duration responseTime)
{
    auto found = jobs_.find(&job);
    if (found == jobs_.end() || responseTime > job.callerTimeout_)
        return;
    found->second.result_ = responseTime <= job.objective_ ? CallerResult::InTime : CallerResult::Late;
}

void LoadOutcome::recordNotDone(const PlannedJob& job, Duration held)
{
    auto found = jobs_.find(&job);
    if (found == jobs_.end() || found->second.isAnswered_)
        return;
    found->second.isAnswered_ = true;
    found->second.held_ = held;
    found->second.result_ = held <= atOnce ? CallerResult::RefusedAtOnce : CallerResult::InVain;
}

CallerResult LoadOutcome::resultOf(const PlannedJob& job) const
{
    return jobs_.at(&job).result_;
}

double LoadOutcome::share(std::size_t kind, CallerResult result) const
{
    double sent = 0;
    double matching = 0;
    for (const auto& [job, ended] : jobs_) {
        sent += ended.kind_ == kind ? 1 : 0;
        matching += ended.kind_ == kind && ended.result_ == result ? 1 : 0;
    }
    return sent > 0 ? matching / sent : 0;
}

double LoadOutcome::servedShare(std::size_t kind) const
{
    return share(kind, CallerResult::InTime) + share(kind, CallerResult::Late);
}

double LoadOutcome::inTimeShare() const
{
    auto isInTime = [](const auto& row) { return row.second.result_ == CallerResult::InTime; };
    return static_cast<double>(std::count_if(jobs_.begin(), jobs_.end(), isInTime)) / static_cast<double>(jobs_.size());
}

double LoadOutcome::wrongRefusalShare(std::size_t kind, const LoadOutcome& clairvoyant) const
{
    double sent = 0;
    double wrong = 0;
    for (const auto& [job, ended] : jobs_) {
        if (ended.kind_ != kind)
            continue;
        CallerResult possible = clairvoyant.resultOf(*job);
        bool isPossible = possible == CallerResult::InTime || possible == CallerResult::Late;
        sent += 1;
        wrong += isPossible && ended.result_ == CallerResult::RefusedAtOnce ? 1 : 0;
    }
    return sent > 0 ? wrong / sent : 0;
}

std::vector<Duration> LoadOutcome::heldInVain(std::size_t kind) const
{
    std::vector<Duration> held;
    for (const auto& [job, ended] : jobs_) {
        if (ended.kind_ == kind && ended.result_ == CallerResult::InVain)
            held.push_back(ended.held_);
    }
    std::sort(held.begin(), held.end());
    return held;
}

Duration LoadOutcome::meanHeldInVain(std::size_t kind) const
{
    std::vector<Duration> held = heldInVain(kind);
    Duration sum = std::accumulate(held.begin(), held.end(), Duration());
    return held.empty() ? Duration() : sum / static_cast<Duration::rep>(held.size());
}

Duration LoadOutcome::longHeldInVain(std::size_t kind) const
{
    std::vector<Duration> held = heldInVain(kind);
    return held.empty() ? Duration() : held[held.size() * 99 / 100];
}

} // namespace Lagoonpick
