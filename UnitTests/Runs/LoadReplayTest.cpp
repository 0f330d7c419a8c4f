#include "UnitTests/Runs/RunLoad.h"
#include "UnitTests/Runs/RunWorld.h"
#include "UnitTests/Support/Environment.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

namespace Lagoonpick {

namespace {

/// Start and end of each disturbance, counted from the start of the load.
constexpr Duration disturbanceStart = std::chrono::seconds(3);
constexpr Duration disturbanceEnd = std::chrono::seconds(8);

/// What the callers of a load are to get, relative to what a clairvoyant scheduler can give them.
struct Promise {
    /// Least share of all jobs that are done in time, relative to the clairvoyant scheduler's.
    double inTime_;
    /// The same for the jobs of each queue.
    double inTimeOfKind_;
    /// Least share of each queue's jobs that are done while their callers wait, relative to that of a clairvoyant scheduler whose
    /// only limit is how long callers wait.
    double servedOfKind_;
    /// Largest share of each queue's jobs that are refused at once although the clairvoyant scheduler does them in time.
    double wrongRefusals_;
    /// Largest share of each queue's jobs whose callers wait in vain.
    double inVain_;
};

/// For loads that the targets can bear.
constexpr Promise belowCapacity { .inTime_ = 0.95, .inTimeOfKind_ = 0.85, .servedOfKind_ = 0.95, .wrongRefusals_ = 0.01, .inVain_ = 0.02 };
/// For loads that exceed the targets' capacity for some time.
constexpr Promise overCapacity { .inTime_ = 0.90, .inTimeOfKind_ = 0.70, .servedOfKind_ = 0.85, .wrongRefusals_ = 0.05, .inVain_ = 0.10 };

const LoadPhase slowTargets { Disturbance::SlowTargets, disturbanceStart, disturbanceEnd, 1.0 / 6, 6.5, {} };
const LoadPhase burst { Disturbance::Burst, disturbanceStart, disturbanceEnd, 0, 1.3, {} };

/// A load, and what its callers are to get.
struct LoadCase {
    RunLoad load_;
    Promise promise_;
};

/// One play of a load, beside the clairvoyant scheduler's plays of the same plan.
struct Play {
    explicit Play(const LoadPlan& plan, std::uint64_t seed)
        : outcome_(plan)
        , inTime_(playClairvoyant(plan, Limit::Objective))
        , served_(playClairvoyant(plan, Limit::CallerTimeout))
    {
        RunWorld world(plan, seed);
        outcome_ = world.play();
        REQUIRE(world.violations().empty());
        auto tasks = static_cast<double>(world.tasksStarted());
        messages_ = static_cast<double>(world.taskMessages()) / tasks;
        controlMessages_ = static_cast<double>(world.controlMessages()) / tasks;
        stopped_ = static_cast<double>(world.runsStopped()) / tasks;
    }

    LoadOutcome outcome_;
    LoadOutcome inTime_;
    LoadOutcome served_;
    double messages_ { 0 };
    double controlMessages_ { 0 };
    /// Share of the runs that were stopped.
    double stopped_ { 0 };
};

/// A share, averaged over the plays.
template <typename Share>
double mean(const std::vector<Play>& plays, Share share)
{
    double sum = 0;
    for (const auto& play : plays)
        sum += share(play);
    return sum / static_cast<double>(plays.size());
}

/// The figures of one queue's callers, averaged over the plays.
struct KindFigures {
    double inTime_;
    double inTimeOfClairvoyant_;
    double served_;
    double servedOfClairvoyant_;
    double refused_;
    double wrongRefusals_;
    double wrongRefusalsOfServed_;
    double inVain_;
};

KindFigures figuresOf(const std::vector<Play>& plays, std::size_t kind)
{
    return {
        .inTime_ = mean(plays, [&](const Play& play) { return play.outcome_.share(kind, CallerResult::InTime); }),
        .inTimeOfClairvoyant_ = mean(plays, [&](const Play& play) { return play.inTime_.share(kind, CallerResult::InTime); }),
        .served_ = mean(plays, [&](const Play& play) { return play.outcome_.servedShare(kind); }),
        .servedOfClairvoyant_ = mean(plays, [&](const Play& play) { return play.served_.servedShare(kind); }),
        .refused_ = mean(plays, [&](const Play& play) { return play.outcome_.share(kind, CallerResult::RefusedAtOnce); }),
        .wrongRefusals_ = mean(plays, [&](const Play& play) { return play.outcome_.wrongRefusalShare(kind, play.inTime_); }),
        .wrongRefusalsOfServed_ = mean(plays, [&](const Play& play) { return play.outcome_.wrongRefusalShare(kind, play.served_); }),
        .inVain_ = mean(plays, [&](const Play& play) { return play.outcome_.share(kind, CallerResult::InVain); }),
    };
}

void print(const LoadCase& loadCase, const std::vector<Play>& plays, const LoadPlan& plan)
{
    std::cout << loadCase.load_.name_ << ": in time " << mean(plays, [](const Play& play) { return play.outcome_.inTimeShare(); });
    std::cout << " of " << mean(plays, [](const Play& play) { return play.inTime_.inTimeShare(); });
    std::cout << "; messages per task " << mean(plays, [](const Play& play) { return play.messages_; });
    std::cout << ", of control " << mean(plays, [](const Play& play) { return play.controlMessages_; });
    std::cout << "; runs stopped " << mean(plays, [](const Play& play) { return play.stopped_; }) << "\n";
    for (std::size_t kind = 0; kind < plan.kinds_.size(); ++kind) {
        KindFigures figures = figuresOf(plays, kind);
        auto held = [&](Duration (LoadOutcome::*time)(std::size_t) const) {
            return mean(plays, [&](const Play& play) { return std::chrono::duration<double, std::milli>((play.outcome_.*time)(kind)).count(); });
        };
        std::cout << "  " << plan.kinds_[kind].name_ << ": in time " << figures.inTime_ << " of " << figures.inTimeOfClairvoyant_;
        std::cout << "; served " << figures.served_ << " of " << figures.servedOfClairvoyant_;
        std::cout << "; refused at once " << figures.refused_ << ", wrongly " << figures.wrongRefusals_ << " and " << figures.wrongRefusalsOfServed_;
        std::cout << "; in vain " << figures.inVain_ << ", held " << held(&LoadOutcome::meanHeldInVain) << " ms, p99 " << held(&LoadOutcome::longHeldInVain) << " ms\n";
    }
}

/// Whose figures a test checks.
enum class Callers {
    /// All together, and those of each queue whose jobs are due well before their callers leave.
    AllAndQueuesWithSlack,
    /// Those of the queue whose jobs are due when their callers leave: no late answer makes up for an expected time that was too short.
    QueueWithoutSlack,
};

constexpr std::size_t queueWithoutSlack = 2;

void checkAll(const std::vector<Play>& plays, const Promise& promise)
{
    double possible = mean(plays, [](const Play& play) { return play.inTime_.inTimeShare(); });
    CHECK(mean(plays, [](const Play& play) { return play.outcome_.inTimeShare(); }) >= promise.inTime_ * possible);
}

void checkQueue(const std::vector<Play>& plays, std::size_t kind, const Promise& promise)
{
    KindFigures figures = figuresOf(plays, kind);
    INFO("queue " << kind);
    CHECK(figures.inTime_ >= promise.inTimeOfKind_ * figures.inTimeOfClairvoyant_);
    CHECK(figures.served_ >= promise.servedOfKind_ * figures.servedOfClairvoyant_);
    CHECK(figures.wrongRefusals_ <= promise.wrongRefusals_);
    CHECK(figures.inVain_ <= promise.inVain_);
}

/// Plays a load with several seeds and checks what its callers get on average.
void check(LoadCase loadCase, Callers callers)
{
    if (const char* row = std::getenv("LOAD_REPLAY_ROW"); row && row != loadCase.load_.name_)
        return;
    loadCase.load_.maxEntries_ = static_cast<std::uint32_t>(numberFromEnvironment("LOAD_REPLAY_MAX_ENTRIES", loadCase.load_.maxEntries_));
    const std::uint64_t first = numberFromEnvironment("LOAD_REPLAY_FIRST_SEED", 1);
    const std::uint64_t count = numberFromEnvironment("LOAD_REPLAY_SEEDS", 3);
    std::vector<LoadPlan> plans;
    for (std::uint64_t seed = first; seed < first + count; ++seed)
        plans.push_back(planLoad(loadCase.load_, seed));
    std::vector<Play> plays;
    for (std::size_t i = 0; i < plans.size(); ++i)
        plays.emplace_back(plans[i], first + i);
    if (std::getenv("LOAD_REPLAY_PRINT"))
        print(loadCase, plays, plans.front());
    INFO(loadCase.load_.name_ << ", " << count << " seeds from " << first);
    if (callers == Callers::QueueWithoutSlack) {
        checkQueue(plays, queueWithoutSlack, loadCase.promise_);
        return;
    }
    checkAll(plays, loadCase.promise_);
    for (std::size_t kind = 0; kind < queueWithoutSlack; ++kind)
        checkQueue(plays, kind, loadCase.promise_);
}

const std::vector<LoadCase> oneTrouble {
    { { "calm", 0.8, {} }, belowCapacity },
    { { "burst of the longest kind", 0.8, { { Disturbance::Burst, disturbanceStart, disturbanceEnd, 0, 1.8, 2 } } }, overCapacity },
    { { "slow targets", 0.7, { slowTargets } }, belowCapacity },
    { { "failing targets", 0.7, { { Disturbance::FailingTargets, disturbanceStart, disturbanceEnd, 0.1, 1, {} } } }, belowCapacity },
    { { "hanging targets", 0.7, { { Disturbance::HangingTargets, disturbanceStart, disturbanceEnd, 0.1, 1, {} } } }, belowCapacity },
    { { "a lost rack", 0.6, { { Disturbance::LostTargets, disturbanceStart, disturbanceEnd, 0.25, 1, {} } } }, belowCapacity },
    { { "impossible jobs", 0.8, { { Disturbance::ImpossibleJobs, disturbanceStart, disturbanceEnd, 0.05, 1, {} } } }, belowCapacity },
    { { "callers leave early", 0.8, { { Disturbance::LeavingCallers, disturbanceStart, disturbanceEnd, 0.4, 1, {} } } }, belowCapacity },
};

/// Three tasks in a hundred take seven times as long.
const LoadCase tail { { .name_ = "run times with a tail", .level_ = 0.7, .phases_ = {}, .tailShare_ = 0.03, .tailFactor_ = 7 }, belowCapacity };

/// Targets differ in speed like those of the two customers.
const std::vector<LoadCase> uneven {
    { { .name_ = "targets of slowdown 0.7, 0.7, 1.7", .level_ = 0.7, .phases_ = {}, .slowdowns_ = { 0.7, 0.7, 1.7 } }, belowCapacity },
    { { .name_ = "targets of slowdown 1.0, 1.0, 1.3", .level_ = 0.7, .phases_ = {}, .slowdowns_ = { 1.0, 1.0, 1.3 } }, belowCapacity },
};

const LoadCase burstOfAllKinds { { "burst of all kinds", 0.85, { burst } }, overCapacity };

const std::vector<LoadCase> subsets {
    { { "subsets, calm", 0.8, {}, 48, 12 }, belowCapacity },
    { { "subsets, a lost rack", 0.6, { { Disturbance::LostTargets, disturbanceStart, disturbanceEnd, 0.25, 1, {} } }, 48, 12 }, belowCapacity },
};

const LoadCase subsetsBurst { { "subsets, burst of all kinds", 0.85, { burst }, 48, 12 }, overCapacity };

} // namespace

TEST_CASE("Under each load callers get about what a clairvoyant scheduler could give them", "[LoadReplay]")
{
    check(GENERATE(from_range(oneTrouble)), Callers::AllAndQueuesWithSlack);
}

// Guards against: callers of short tasks lost on the targets that hang, and by the work that returned from there.
TEST_CASE("While a sixth of the targets hangs callers get about what a clairvoyant scheduler could give them", "[LoadReplayOfHanging]")
{
    check({ { "a sixth of 77 targets hanging", 0.7, { { Disturbance::HangingTargets, disturbanceStart, disturbanceEnd, 0.16, 1, {} } }, 77, 14 }, belowCapacity }, Callers::AllAndQueuesWithSlack);
}

// Guards against: a target that accepts runs which make no progress got work and held callers for long.
TEST_CASE("A hung target gets only probes after 250 ms, and its runs are stopped within 400 ms of their start", "[LoadReplayOfHanging]")
{
    const Duration maxBeforeSuspicion = std::chrono::milliseconds(250);
    const Duration maxHeld = std::chrono::milliseconds(400);
    // Each of the four entries probes a suspect target every 500 ms.
    const std::size_t maxProbes = static_cast<std::size_t>((disturbanceEnd - disturbanceStart) / std::chrono::milliseconds(500) + 1) * 4;
    const std::uint64_t seed = GENERATE(1, 2, 3);
    const LoadPlan plan = planLoad({ "hanging targets", 0.7, { { Disturbance::HangingTargets, disturbanceStart, disturbanceEnd, 0.1, 1, {} } } }, seed);
    RunWorld world(plan, seed);
    struct Hung {
        std::optional<Duration> first_;
        std::size_t late_ { 0 };
        std::size_t runs_ { 0 };
        std::map<RunName, Duration> starts_;
        std::vector<Duration> held_;
    };
    std::map<std::size_t, Hung> targets;
    world.observeRuns([&](std::size_t target, const RunName& name, Duration time, std::optional<Wire::RunEnd> end) {
        if (plan.targets_[target].phases_.empty())
            return;
        Hung& hung = targets[target];
        auto start = hung.starts_.find(name);
        if (end && start != hung.starts_.end())
            hung.held_.push_back(time - start->second);
        if (end || time < disturbanceStart || time >= disturbanceEnd)
            return;
        hung.first_ = hung.first_.value_or(time);
        hung.starts_[name] = time;
        ++hung.runs_;
        hung.late_ += time - *hung.first_ > maxBeforeSuspicion ? 1 : 0;
    });
    world.play();
    CHECK_FALSE(targets.empty());
    for (auto& [target, hung] : targets) {
        INFO("seed " << seed << ", target " << target);
        Duration longest = *std::max_element(hung.held_.begin(), hung.held_.end());
        if (std::getenv("LOAD_REPLAY_PRINT"))
            std::cout << "hung target " << target << ": runs " << hung.runs_ << ", after suspicion " << hung.late_ << ", held at most " << longest.count() / 1000 << " ms\n";
        CHECK(hung.late_ <= maxProbes);
        CHECK(longest <= maxHeld);
    }
}

// Guards against: runs on sound targets were stopped and begun again because they or their neighbours took long.
TEST_CASE("Under run times with a tail callers get about what a clairvoyant scheduler could give them", "[LoadReplayOfTail]")
{
    check(tail, Callers::AllAndQueuesWithSlack);
}

// Guards against: runs on sound targets of lower speed were stopped and begun again elsewhere, or given up.
TEST_CASE("On targets of different speed callers get about what a clairvoyant scheduler could give them", "[LoadReplayOfUneven]")
{
    check(GENERATE(from_range(uneven)), Callers::AllAndQueuesWithSlack);
}

TEST_CASE("Where each entry sees a part of the agents, callers get about what a clairvoyant scheduler could give them", "[LoadReplayOfSubsets]")
{
    check(GENERATE(from_range(subsets)), Callers::AllAndQueuesWithSlack);
}

TEST_CASE("In a burst of all kinds callers get about what a clairvoyant scheduler could give them", "[LoadReplayOfBursts]")
{
    check(GENERATE(burstOfAllKinds, subsetsBurst), Callers::AllAndQueuesWithSlack);
}

TEST_CASE("The callers of a queue whose jobs are due when they leave get about what a clairvoyant scheduler could give them", "[LoadReplayWithoutSlack]")
{
    check(GENERATE(from_range(oneTrouble), from_range(subsets), values({ burstOfAllKinds, subsetsBurst })), Callers::QueueWithoutSlack);
}

TEST_CASE("In a large fleet, where each entry sees a part of the agents, callers get about what a clairvoyant scheduler could give them", "[LoadReplayOfLargeFleet]")
{
    auto loadCase = GENERATE(values<LoadCase>({
        { { "large fleet, calm", 0.8, {}, 240, 55 }, belowCapacity },
        { { "large fleet, burst of all kinds", 0.85, { burst }, 240, 55 }, overCapacity },
        { { "large fleet, slow targets", 0.7, { slowTargets }, 240, 55 }, belowCapacity },
    }));
    check(loadCase, GENERATE(Callers::AllAndQueuesWithSlack, Callers::QueueWithoutSlack));
}

TEST_CASE("Under a burst with slow targets and leaving callers, callers get about what a clairvoyant scheduler could give them", "[LoadReplayOfThree]")
{
    const LoadPhase leavingCallers { Disturbance::LeavingCallers, disturbanceStart, disturbanceEnd, 0.35, 1, {} };
    check({ { "burst, slow targets, callers leave", 0.85, { burst, slowTargets, leavingCallers } }, overCapacity }, Callers::AllAndQueuesWithSlack);
}

} // namespace Lagoonpick
