#include "Lagoonpick/Dispatch/AnyPolicy.h"
#include "Lagoonpick/Dispatch/RunTimeModel.h"
#include "Lagoonpick/Dispatch/TargetHealth.h"

#include <catch2/catch.hpp>

using namespace Lagoonpick;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t beginMilliseconds = 1'800'000'000'000;

Time begin()
{
    return fromUnixMilliseconds(beginMilliseconds);
}

/// Open targets of 8 slots, each with the given number of running tasks and slowdown.
struct Fleet {
    explicit Fleet(const std::vector<std::pair<std::uint32_t, double>>& targets)
    {
        for (std::size_t i = 0; i < targets.size(); ++i) {
            auto index = table_.findOrAdd("target-" + std::to_string(i));
            table_.bind(index, LinkId(i + 1));
            table_.updateLoad(index, { .slots_ = 8, .running_ = targets[i].first });
            table_.loadOf(index).slowdown_ = targets[i].second;
            indices_.push_back(index);
        }
    }

    std::optional<TargetIndex> choose(PolicyName policy, double expectedWork, double meanWork = 100'000)
    {
        return AnyPolicy(policy).choose({ begin(), table_, indices_, expectedWork, meanWork, 4, random_ });
    }

    TargetTable table_;
    std::vector<TargetIndex> indices_;
    Random random_ { 1 };
};

} // namespace

TEST_CASE("A task is sent to the target on which it is expected to finish first", "[TargetChoice]")
{
    struct Row {
        const char* description_;
        std::vector<std::pair<std::uint32_t, double>> targets_;
        double expectedWork_;
        std::optional<TargetIndex> chosen_;
    };
    auto row = GENERATE(values<Row>({
        { "the faster of two idle targets", { { 0, 2 }, { 0, 1 } }, 100'000, 1 },
        { "the less busy of two equally fast targets", { { 9, 1 }, { 8, 1 } }, 100'000, 1 },
        { "the queue of a fast target rather than a slot of a slow one", { { 0, 4 }, { 10, 1 } }, 100'000, 1 },
        { "a slot of a slow target rather than the full queue of a fast one", { { 0, 4 }, { 12, 1 } }, 100'000, 0 },
        { "a long task may join a longer queue at the fast target", { { 0, 4 }, { 12, 1 } }, 1'000'000, 1 },
        { "no target if all are full", { { 12, 1 }, { 12, 1 } }, 100'000, std::nullopt },
    }));
    CAPTURE(row.description_);
    Fleet fleet(row.targets_);
    // Up to 2 of the running tasks count as this entry's own, which uses up its guaranteed share; the rest are others'.
    for (auto index : fleet.indices_) {
        auto& load = fleet.table_.loadOf(index);
        auto ownTasks = std::min(load.othersLoad_, 2U);
        load.outstanding_ += ownTasks;
        load.othersLoad_ -= ownTasks;
    }
    CHECK(fleet.choose(PolicyName::ExpectedFinish, row.expectedWork_) == row.chosen_);
}

TEST_CASE("An entry may have a few tasks at any target, regardless of the load from other entries", "[TargetChoice]")
{
    Fleet fleet({ { 30, 1 } });
    CHECK(fleet.choose(PolicyName::ExpectedFinish, 100'000) == 0);
    fleet.table_.loadOf(0).outstanding_ = 2;
    CHECK_FALSE(fleet.choose(PolicyName::ExpectedFinish, 100'000));
}

TEST_CASE("No policy chooses a target that can't take work", "[TargetChoice]")
{
    auto policy = GENERATE(PolicyName::ExpectedFinish, PolicyName::TwoChoices, PolicyName::LeastLoad, PolicyName::RandomTarget);
    Fleet fleet({ { 0, 1 }, { 0, 1 }, { 0, 1 }, { 0, 1 } });
    fleet.table_.unbind(0);
    fleet.table_.updateLoad(1, { .slots_ = 8, .isDraining_ = true });
    fleet.table_.loadOf(2).avoidUntil_ = begin() + seconds(1);
    fleet.table_.loadOf(3).ejections_ = 1;
    fleet.table_.loadOf(3).outstanding_ = 1;
    for (int i = 0; i < 100; ++i)
        CHECK_FALSE(fleet.choose(policy, 100'000));
}

TEST_CASE("The model learns the slowdown of targets and the work behind declared times", "[TargetChoice]")
{
    RunTimeModel model;
    TargetLoad fast;
    TargetLoad slow;
    constexpr std::uint32_t shortDeclared = 10;
    constexpr std::uint32_t longDeclared = 1000;
    // Declared times are ten times too long; the slow target takes four times as long as the fast one.
    for (int i = 0; i < 2000; ++i) {
        model.learn(RunTimeModel::classOf(shortDeclared), fast, 1'000);
        model.learn(RunTimeModel::classOf(longDeclared), slow, 400'000);
        model.learn(RunTimeModel::classOf(longDeclared), fast, 100'000);
        model.learn(RunTimeModel::classOf(shortDeclared), slow, 4'000);
    }
    CHECK(slow.slowdown_ / fast.slowdown_ == Approx(4).epsilon(0.1));
    double ratio = model.expectedWork(RunTimeModel::classOf(longDeclared)) / model.expectedWork(RunTimeModel::classOf(shortDeclared));
    CHECK(ratio == Approx(100).epsilon(0.1));
}

TEST_CASE("A target that fails while others succeed is ejected, and is readmitted by a single probe", "[TargetChoice]")
{
    Fleet fleet({ { 0, 1 }, { 0, 1 }, { 0, 1 } });
    TargetHealth health;
    auto endTask = [&](Time now, TargetIndex index, bool hasSucceeded) { health.taskEnded(now, fleet.table_, index, fleet.indices_, hasSucceeded); };
    for (int i = 0; i < 4; ++i)
        endTask(begin(), 0, false);
    CHECK(fleet.table_.loadOf(0).ejections_ == 0);
    endTask(begin(), 0, false);
    CHECK(fleet.table_.loadOf(0).ejections_ == 1);
    Duration pause = fleet.table_.loadOf(0).avoidUntil_ - begin();
    // A failure of a task that was sent before the ejection changes nothing.
    endTask(begin() + milliseconds(1), 0, false);
    CHECK(fleet.table_.loadOf(0).ejections_ == 1);
    Time probe = begin() + pause;
    endTask(probe, 0, false);
    CHECK(fleet.table_.loadOf(0).avoidUntil_ - probe == 2 * pause);
    endTask(probe + 2 * pause, 0, true);
    CHECK(fleet.table_.loadOf(0).ejections_ == 0);
}

TEST_CASE("At most a third of the targets is ejected, and every failing one within that limit", "[TargetChoice]")
{
    struct Row {
        std::size_t targets_;
        std::size_t failing_;
        std::size_t maxEjected_;
    };
    auto row = GENERATE(values<Row>({ { 2, 1, 0 }, { 3, 1, 1 }, { 6, 1, 1 }, { 9, 3, 3 }, { 9, 6, 3 }, { 12, 12, 4 } }));
    CAPTURE(row.targets_, row.failing_);
    Fleet fleet(std::vector<std::pair<std::uint32_t, double>>(row.targets_, { 0, 1 }));
    TargetHealth health;
    for (int round = 0; round < 50; ++round) {
        for (TargetIndex index = 0; index < row.targets_; ++index)
            health.taskEnded(begin(), fleet.table_, index, fleet.indices_, index >= row.failing_);
    }
    std::size_t ejected = 0;
    for (auto index : fleet.indices_)
        ejected += fleet.table_.loadOf(index).ejections_ > 0;
    CHECK(ejected <= row.maxEjected_);
    if (row.failing_ * 3 <= row.targets_)
        CHECK(ejected == row.maxEjected_);
}
