#pragma once

#include "Lagoonpick/Core/Time.h"
#include "Lagoonpick/Wire/Resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonpick {

/// A kind of job that callers send; each has a queue of its own.
struct JobKind {
    std::string name_;
    std::uint32_t taskCount_ { 1 };
    /// The usual time of a task on a target of speed 1; each task's own differs from it.
    Duration work_ {};
    /// How many jobs come for each one of the kind with share 1.
    double share_ { 1 };
};

/// What makes a load hard to bear.
enum class Disturbance : std::uint8_t {
    /// `factor_` times the jobs, of all kinds or of one.
    Burst,
    /// A share of the targets takes `factor_` times as long.
    SlowTargets,
    /// All that runs on a share of the targets fails.
    FailingTargets,
    /// What begins on a share of the targets never ends by itself.
    HangingTargets,
    /// A share of the targets and their agents has no power.
    LostTargets,
    /// A share of the jobs fails wherever it runs.
    ImpossibleJobs,
    /// A share of the callers leaves early.
    LeavingCallers,
};

struct LoadPhase {
    Disturbance disturbance_;
    Duration from_;
    Duration until_;
    double share_ { 0 };
    double factor_ { 1 };
    /// The kind of job that is meant; nothing for all.
    std::optional<std::size_t> kind_;
};

/// A load to be played.
struct RunLoad {
    std::string name_;
    /// How much of the targets' room the usual jobs take.
    double level_ { 0.8 };
    std::vector<LoadPhase> phases_;
};

/// A job that is to come, with all that no program could know.
struct PlannedJob {
    Duration at_ {};
    std::string id_;
    std::size_t kind_ { 0 };
    std::vector<Duration> work_;
    /// What its caller says that a task takes.
    Duration estimate_ {};
    /// It is in time if it is done this long after it came.
    Duration objective_ {};
    /// When its caller leaves, counted from its coming.
    Duration callerTimeout_ {};
    bool leavesEarly_ { false };
    bool isImpossible_ { false };

    /// Jobs that can't be done or whose callers leave count for no policy.
    bool counts() const { return !isImpossible_ && !leavesEarly_; }
};

struct PlannedTarget {
    Wire::Resources capacity_;
    double speed_ { 1 };
    /// The phases of the load that hit it.
    std::vector<std::size_t> phases_;
};

/// Everything that happens under a load, drawn from a seed: the same for each policy that is to bear it.
struct LoadPlan {
    RunLoad load_;
    std::vector<JobKind> kinds_;
    std::vector<PlannedTarget> targets_;
    std::vector<PlannedJob> jobs_;
    Wire::Resources need_;
    /// How long callers say that they wait.
    Duration callerTimeout_ {};
    Duration span_ {};

    /// How fast a target works then; 0 if it is lost, hangs or fails what it runs.
    double speedAt(std::size_t target, Duration time) const;
};

/// Draws what happens under a load.
LoadPlan planLoad(const RunLoad& load, std::uint64_t seed);

/// What came of the jobs of a plan, by kind.
class LoadOutcome {
public:
    explicit LoadOutcome(const LoadPlan& plan);

    /// Takes in a job that was done `after` its coming.
    void recordDone(const PlannedJob& job, Duration after);

    /// Takes in a job that was not accepted.
    void recordRejected(const PlannedJob& job);

    /// The share of a kind's jobs that were in time; that were done, but late; that were rejected.
    double inTime(std::size_t kind) const;
    double inTimeOfAll() const;
    double late(std::size_t kind) const;
    double rejected(std::size_t kind) const;
    /// The mean of all kinds' worth: a job in time counts 1, a late one a fifth.
    double worth() const;

private:
    struct Count {
        double sent_ { 0 };
        double inTime_ { 0 };
        double late_ { 0 };
        double rejected_ { 0 };
    };
    std::vector<Count> kinds_;
};

/// Plays a plan with a single queue that knows every time, hears and decides at once and needs no messages: a bound for
/// what any policy can reach.
LoadOutcome playKnowing(const LoadPlan& plan);

} // namespace Lagoonpick
