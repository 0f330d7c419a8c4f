#pragma once

#include "Lagoonpick/Core/Time.h"
#include "Lagoonpick/Wire/Resources.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonpick {

/// A kind of job that callers send. Each kind has its own queue.
struct JobKind {
    std::string name_;
    std::uint32_t taskCount_ { 1 };
    /// Median run time of a task on a target of speed 1; the run times of single tasks are spread around it.
    Duration work_ {};
    /// Arrival rate relative to that of a kind with share 1.
    double share_ { 1 };
    /// Priority of the kind's queue; 0 comes first.
    std::uint32_t priority_ { 0 };
};

/// The kinds of disturbance that a load can have for some time.
enum class Disturbance : std::uint8_t {
    /// Jobs arrive `factor_` times as often: all kinds or one.
    Burst,
    /// Tasks on a share of the targets take `factor_` times as long.
    SlowTargets,
    /// All tasks on a share of the targets fail.
    FailingTargets,
    /// Tasks that start on a share of the targets never end by themselves.
    HangingTargets,
    /// A share of the targets loses power, and so do the agents beside them.
    LostTargets,
    /// A share of the jobs fails on every target.
    ImpossibleJobs,
    /// A share of the callers disconnects before its job is due.
    LeavingCallers,
};

/// A disturbance from `from_` until before `until_`, both counted from the start of the load.
struct LoadPhase {
    Disturbance disturbance_;
    Duration from_;
    Duration until_;
    /// Share of the targets, jobs or callers affected, from 0 to 1.
    double share_ { 0 };
    double factor_ { 1 };
    /// Index of the kind of job affected; empty for all kinds.
    std::optional<std::size_t> kind_;
};

/// A load, from which `planLoad` generates jobs and targets.
struct RunLoad {
    std::string name_;
    /// Mean utilization of the targets without disturbances, as a share of their capacity.
    double level_ { 0.8 };
    std::vector<LoadPhase> phases_;
    std::size_t targetCount_ { 12 };
    std::size_t entryCount_ { 4 };
    /// Number of entries that each agent attaches to.
    std::uint32_t maxEntries_ { 4 };
    /// Share of the tasks that take `tailFactor_` times as long as others of their job.
    double tailShare_ { 0 };
    double tailFactor_ { 1 };
    /// Slowdowns of the targets, in turn; empty for the speeds of four hardware generations.
    std::vector<double> slowdowns_ {};
};

/// A job of a plan, including what no entry can know in advance.
struct PlannedJob {
    /// Arrival, counted from the start of the load.
    Duration arrival_ {};
    std::string id_;
    /// Index in `LoadPlan::kinds_`.
    std::size_t kind_ { 0 };
    /// Run time of each task on a target of speed 1.
    std::vector<Duration> work_;
    /// Run time of a task as the caller declares it.
    Duration estimate_ {};
    /// The job is in time if it is done at most this long after its arrival.
    Duration objective_ {};
    /// How long after the job's arrival its caller disconnects.
    Duration callerTimeout_ {};
    bool leavesEarly_ { false };
    bool isImpossible_ { false };

    /// False for jobs that no policy can serve: those that fail on every target and those whose callers leave early.
    bool isCounted() const { return !isImpossible_ && !leavesEarly_; }
};

/// A target of a plan.
struct PlannedTarget {
    Wire::Resources capacity_;
    /// Work done per unit of time without disturbances.
    double speed_ { 1 };
    /// Indices of the phases of the load that affect this target.
    std::vector<std::size_t> phases_;
};

/// Everything that happens under a load, generated from a seed, so that different policies face the same events.
struct LoadPlan {
    RunLoad load_;
    std::vector<JobKind> kinds_;
    std::vector<PlannedTarget> targets_;
    /// Ordered by arrival.
    std::vector<PlannedJob> jobs_;
    /// Resources that each task needs.
    Wire::Resources need_;
    /// How long callers announce that they wait; some leave earlier.
    Duration callerTimeout_ {};
    /// How long jobs arrive.
    Duration duration_ {};

    /// Speed of a target at `time` after the start of the load; 0 while it is without power, hangs or fails its tasks.
    double speedAt(std::size_t target, Duration time) const;
};

/// Generates the plan of a load; the same seed gives the same plan.
LoadPlan planLoad(const RunLoad& load, std::uint64_t seed);

/// What became of a job, as its caller saw it.
enum class CallerResult : std::uint8_t {
    /// Done within the job's objective.
    InTime,
    /// Done later, while the caller still waited.
    Late,
    /// Refused as soon as it arrived, so that the caller can turn elsewhere.
    RefusedAtOnce,
    /// Refused, failed or given up after a wait, or not answered while the caller waited.
    InVain,
};

/// Records what became of the jobs of a plan, by kind. Jobs for which `PlannedJob::isCounted` is false are left out.
class LoadOutcome {
public:
    /// Until its end is recorded, a job counts as waited for in vain until its caller left. The plan must outlive the outcome.
    explicit LoadOutcome(const LoadPlan& plan);

    /// Records a job that was done; `responseTime` is the time since its arrival.
    void recordDone(const PlannedJob& job, Duration responseTime);

    /// Records that a job was answered without being done, `held` after its arrival. Only the first such answer counts.
    void recordNotDone(const PlannedJob& job, Duration held);

    CallerResult resultOf(const PlannedJob& job) const;
    /// Share of a kind's jobs with this result.
    double share(std::size_t kind, CallerResult result) const;
    /// Share of a kind's jobs that were done while their callers waited.
    double servedShare(std::size_t kind) const;
    /// Share of the jobs of all kinds that were done in time: every caller counts the same.
    double inTimeShare() const;
    /// Share of a kind's jobs that were refused at once although `clairvoyant` has served them.
    double wrongRefusalShare(std::size_t kind, const LoadOutcome& clairvoyant) const;
    /// How long the callers of a kind's jobs waited in vain: mean and 99th percentile.
    Duration meanHeldInVain(std::size_t kind) const;
    Duration longHeldInVain(std::size_t kind) const;

private:
    struct Ended {
        std::size_t kind_ { 0 };
        CallerResult result_ { CallerResult::InVain };
        Duration held_ {};
        bool isAnswered_ { false };
    };
    std::vector<Duration> heldInVain(std::size_t kind) const;

    std::map<const PlannedJob*, Ended> jobs_;
};

/// The time that a clairvoyant scheduler has for a job; it drops a job that can't end within it.
enum class Limit {
    Objective,
    CallerTimeout,
};

/// Plays a plan with a clairvoyant scheduler: a single queue that knows all run times and disturbances in advance and starts
/// tasks without delay or messages, those of a more urgent queue first. Of two orders among the jobs of equal priority, returns the
/// outcome with more jobs served within the limit, as a bound for what a policy can reach.
LoadOutcome playClairvoyant(const LoadPlan& plan, Limit limit);

} // namespace Lagoonpick
