#pragma once

#include "Lagoonpick/Core/Time.h"
#include "Lagoonpick/Wire/Resources.h"

#include <cstdint>
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

/// Counts how the jobs of a plan ended, by kind. Jobs for which `PlannedJob::isCounted` is false are left out.
class LoadOutcome {
public:
    explicit LoadOutcome(const LoadPlan& plan);

    /// Records a job that was done; `responseTime` is the time since its arrival.
    void recordDone(const PlannedJob& job, Duration responseTime);

    /// Records a job that was not accepted.
    void recordRejected(const PlannedJob& job);

    /// Share of a kind's jobs that were done in time.
    double inTimeShare(std::size_t kind) const;
    /// Share of the jobs of all kinds that were done in time.
    double overallInTimeShare() const;
    /// Share of a kind's jobs that were done, but late.
    double lateShare(std::size_t kind) const;
    /// Share of a kind's jobs that were rejected.
    double rejectedShare(std::size_t kind) const;
    /// Utility of a job, averaged first over the jobs of each kind and then over the kinds: 1 for a job in time, a fifth
    /// for a late one, 0 for any other.
    double utility() const;

private:
    struct Count {
        double sent_ { 0 };
        double inTime_ { 0 };
        double late_ { 0 };
        double rejected_ { 0 };
    };
    std::vector<Count> kinds_;
};

/// Plays a plan with a clairvoyant scheduler: a single queue that knows all run times and disturbances in advance and starts
/// tasks without delay or messages. Returns the better outcome of two queue orders, as a bound for what a policy can reach.
LoadOutcome playClairvoyant(const LoadPlan& plan);

} // namespace Lagoonpick
