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
/// Minimum utility relative to that of a clairvoyant scheduler: for loads that the targets can bear, and for loads that exceed
/// their capacity for some time.
constexpr double minRelativeUtilityBelowCapacity = 0.90;
constexpr double minRelativeUtilityOverCapacity = 0.85;
/// No kind of job may be in time less than half as often as all jobs together.
constexpr double minRelativeShareOfKind = 0.5;

const LoadPhase slowTargets { Disturbance::SlowTargets, disturbanceStart, disturbanceEnd, 1.0 / 6, 6.5, {} };
const LoadPhase burst { Disturbance::Burst, disturbanceStart, disturbanceEnd, 0, 1.3, {} };

/// A load and the utility that it requires, relative to that of a clairvoyant scheduler.
struct LoadCase {
    RunLoad load_;
    double minRelativeUtility_;
};

void print(const std::string& title, const LoadOutcome& outcome, const LoadOutcome& clairvoyant, double messages, double controlMessages)
{
    std::cout << title << ": utility " << outcome.utility() << " of " << clairvoyant.utility();
    std::cout << "; in time " << outcome.inTimeShare(0) << " " << outcome.inTimeShare(1) << " " << outcome.inTimeShare(2);
    std::cout << " of " << clairvoyant.inTimeShare(0) << " " << clairvoyant.inTimeShare(1) << " " << clairvoyant.inTimeShare(2);
    std::cout << "; late " << outcome.lateShare(0) << " " << outcome.lateShare(1) << " " << outcome.lateShare(2);
    std::cout << "; rejected " << outcome.rejectedShare(0) << " " << outcome.rejectedShare(1) << " " << outcome.rejectedShare(2);
    std::cout << "; messages per task " << messages << ", of control " << controlMessages << "\n";
}

/// Plays a load with several seeds. Checks the mean utility against that of a clairvoyant scheduler, and each kind's share of
/// jobs in time against that of all jobs.
void check(LoadCase loadCase)
{
    if (const char* row = std::getenv("LOAD_REPLAY_ROW"); row && row != loadCase.load_.name_)
        return;
    loadCase.load_.maxEntries_ = static_cast<std::uint32_t>(numberFromEnvironment("LOAD_REPLAY_MAX_ENTRIES", loadCase.load_.maxEntries_));
    const bool shouldPrint = std::getenv("LOAD_REPLAY_PRINT") != nullptr;
    const std::uint64_t first = numberFromEnvironment("LOAD_REPLAY_FIRST_SEED", 1);
    const std::uint64_t count = numberFromEnvironment("LOAD_REPLAY_SEEDS", 3);
    double utility = 0;
    double clairvoyantUtility = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        LoadPlan plan = planLoad(loadCase.load_, seed);
        LoadOutcome clairvoyant = playClairvoyant(plan);
        RunWorld world(plan, seed);
        LoadOutcome outcome = world.play();
        REQUIRE(world.violations().empty());
        utility += outcome.utility();
        clairvoyantUtility += clairvoyant.utility();
        if (shouldPrint)
            print(loadCase.load_.name_ + ", seed " + std::to_string(seed), outcome, clairvoyant, static_cast<double>(world.taskMessages()) / static_cast<double>(world.tasksStarted()), static_cast<double>(world.controlMessages()) / static_cast<double>(world.tasksStarted()));
        for (std::size_t kind = 0; kind < plan.kinds_.size(); ++kind) {
            INFO(loadCase.load_.name_ << ", seed " << seed << ", kind " << plan.kinds_[kind].name_);
            CHECK(outcome.inTimeShare(kind) >= minRelativeShareOfKind * outcome.overallInTimeShare());
        }
    }
    INFO(loadCase.load_.name_ << ": utility " << utility << " of " << clairvoyantUtility << " in " << count << " plays");
    CHECK(utility >= loadCase.minRelativeUtility_ * clairvoyantUtility);
}

} // namespace

TEST_CASE("Under each load the utility is close to a clairvoyant scheduler's, and no kind of job starves", "[LoadReplay]")
{
    auto loadCase = GENERATE_COPY(values<LoadCase>({
        { { "calm", 0.8, {} }, minRelativeUtilityBelowCapacity },
        { { "burst of all kinds", 0.85, { burst } }, minRelativeUtilityOverCapacity },
        { { "burst of the longest kind", 0.8, { { Disturbance::Burst, disturbanceStart, disturbanceEnd, 0, 1.8, 2 } } }, minRelativeUtilityOverCapacity },
        { { "slow targets", 0.7, { slowTargets } }, minRelativeUtilityBelowCapacity },
        { { "failing targets", 0.7, { { Disturbance::FailingTargets, disturbanceStart, disturbanceEnd, 0.1, 1, {} } } }, minRelativeUtilityBelowCapacity },
        { { "hanging targets", 0.7, { { Disturbance::HangingTargets, disturbanceStart, disturbanceEnd, 0.1, 1, {} } } }, minRelativeUtilityBelowCapacity },
        { { "a lost rack", 0.6, { { Disturbance::LostTargets, disturbanceStart, disturbanceEnd, 0.25, 1, {} } } }, minRelativeUtilityBelowCapacity },
        { { "impossible jobs", 0.8, { { Disturbance::ImpossibleJobs, disturbanceStart, disturbanceEnd, 0.05, 1, {} } } }, minRelativeUtilityBelowCapacity },
        { { "callers leave early", 0.8, { { Disturbance::LeavingCallers, disturbanceStart, disturbanceEnd, 0.4, 1, {} } } }, minRelativeUtilityBelowCapacity },
    }));
    check(loadCase);
}

TEST_CASE("Where each entry sees a part of the agents, the utility is close to a clairvoyant scheduler's", "[LoadReplayOfSubsets]")
{
    auto loadCase = GENERATE_COPY(values<LoadCase>({
        { { "subsets, calm", 0.8, {}, 48, 12 }, minRelativeUtilityBelowCapacity },
        { { "subsets, burst of all kinds", 0.85, { burst }, 48, 12 }, minRelativeUtilityOverCapacity },
        { { "subsets, a lost rack", 0.6, { { Disturbance::LostTargets, disturbanceStart, disturbanceEnd, 0.25, 1, {} } }, 48, 12 }, minRelativeUtilityBelowCapacity },
    }));
    check(loadCase);
}

TEST_CASE("In a large fleet, where each entry sees a part of the agents, the utility is close to a clairvoyant scheduler's", "[LoadReplayOfLargeFleet]")
{
    auto loadCase = GENERATE_COPY(values<LoadCase>({
        { { "large fleet, calm", 0.8, {}, 240, 55 }, minRelativeUtilityBelowCapacity },
        { { "large fleet, burst of all kinds", 0.85, { burst }, 240, 55 }, minRelativeUtilityOverCapacity },
        { { "large fleet, slow targets", 0.7, { slowTargets }, 240, 55 }, minRelativeUtilityBelowCapacity },
    }));
    check(loadCase);
}

TEST_CASE("Under a burst with slow targets and leaving callers the utility is close to a clairvoyant scheduler's", "[LoadReplayOfThree]")
{
    const LoadPhase leavingCallers { Disturbance::LeavingCallers, disturbanceStart, disturbanceEnd, 0.35, 1, {} };
    check({ { "burst, slow targets, callers leave", 0.85, { burst, slowTargets, leavingCallers } }, minRelativeUtilityOverCapacity });
}

} // namespace Lagoonpick
