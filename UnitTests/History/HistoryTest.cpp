#include "UnitTests/History/World.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck/catch.h>

using namespace Lagoonpick;
using namespace Lagoonpick::History;

namespace {

/// Relative frequency of a kind of step in random histories.
struct Weight {
    StepKind kind_;
    std::size_t weight_;
};

constexpr std::array<Weight, stepKindCount> weights { {
    { StepKind::Submit, 8 },
    { StepKind::SubmitCallerId, 8 },
    { StepKind::Resubmit, 8 },
    { StepKind::Fetch, 2 },
    { StepKind::CancelJob, 2 },
    { StepKind::Deliver, 20 },
    { StepKind::DeliverAll, 6 },
    { StepKind::Duplicate, 3 },
    { StepKind::Reorder, 4 },
    { StepKind::Cut, 5 },
    { StepKind::Connect, 6 },
    { StepKind::Tick, 12 },
    { StepKind::Advance, 5 },
    { StepKind::FinishTask, 10 },
    { StepKind::CrashEntry, 2 },
    { StepKind::StartEntry, 3 },
    { StepKind::CrashAgent, 2 },
    { StepKind::StartAgent, 4 },
    { StepKind::MakeAgentReady, 4 },
    { StepKind::ToggleEntrySuspension, 3 },
    { StepKind::ToggleAgentSuspension, 2 },
    { StepKind::DrainAgent, 1 },
    { StepKind::DrainEntry, 1 },
    { StepKind::ToggleOutage, 2 },
    { StepKind::ReadView, 8 },
    { StepKind::ResolveSwap, 8 },
    { StepKind::ExpireLease, 2 },
    { StepKind::FenceEntry, 3 },
} };

StepKind kindAt(std::size_t place)
{
    for (const auto& item : weights) {
        if (place < item.weight_)
            return item.kind_;
        place -= item.weight_;
    }
    return StepKind::Tick;
}

std::size_t totalWeight()
{
    std::size_t total = 0;
    for (const auto& item : weights)
        total += item.weight_;
    return total;
}

std::string describe(const std::vector<Step>& steps, const Record& record)
{
    std::string text;
    for (const auto& violation : record.violations())
        text += violation + "\n";
    for (const auto& step : steps)
        text += fmt::format("{{{}, {}, {}, {}}}, ", static_cast<int>(step.kind_), step.first_, step.second_, step.third_);
    return text;
}

} // namespace

namespace Lagoonpick::History {

std::ostream& operator<<(std::ostream& stream, const Step& step)
{
    return stream << fmt::format("{{{}, {}, {}, {}}}", static_cast<int>(step.kind_), step.first_, step.second_, step.third_);
}

} // namespace Lagoonpick::History

namespace rc {

template <>
struct Arbitrary<Step> {
    static Gen<Step> arbitrary()
    {
        auto number = gen::inRange<std::uint32_t>(0, 10'000);
        return gen::build<Step>(
            gen::set(&Step::kind_, gen::map(gen::inRange<std::size_t>(0, totalWeight()), kindAt)),
            gen::set(&Step::first_, number),
            gen::set(&Step::second_, number),
            gen::set(&Step::third_, number));
    }
};

} // namespace rc

TEST_CASE("Under any interleaving of faults no task starts twice and every answer is correct", "[History]")
{
    rc::prop("histories", [](const std::vector<Step>& steps) {
        World world;
        for (const auto& step : steps)
            world.run(step);
        world.heal();
        RC_CLASSIFY(world.record().startCount() > 0, "with starts");
        RC_CLASSIFY(world.record().answerCount() > 0, "with answers");
        if (!world.record().violations().empty())
            RC_FAIL(describe(steps, world.record()));
    });
}

TEST_CASE("Histories that once violated an invariant", "[History]")
{
    using enum StepKind;
    struct Row {
        const char* description_;
        std::vector<Step> steps_;
    };
    auto row = GENERATE(values<Row>({
        { "the Hello of an older link is received after that of a newer link",
            { { Cut, 124, 0, 0 }, { Connect, 0, 0, 0 }, { Duplicate, 0, 0, 0 }, { Deliver, 0, 0, 0 }, { Connect, 0, 0, 0 },
                { Deliver, 548, 1, 0 }, { Submit, 551, 0, 0 } } },
        { "a draining agent holds results of an entry that has crashed",
            { { Submit, 760, 1316, 0 }, { Tick, 0, 0, 0 }, { Deliver, 0, 10, 0 }, { Tick, 0, 0, 0 }, { Submit, 0, 0, 0 },
                { CrashEntry, 4, 0, 0 }, { DrainAgent, 15, 0, 0 }, { DrainAgent, 0, 0, 0 } } },
        { "the acknowledgement of a result is lost with its link",
            { { Submit, 5696, 575, 0 }, { Tick, 0, 0, 0 }, { DeliverAll, 0, 0, 0 }, { Tick, 0, 0, 0 }, { FinishTask, 0, 0, 0 },
                { FinishTask, 255, 0, 0 }, { Deliver, 0, 1, 0 }, { Advance, 1, 499, 0 }, { DrainAgent, 0, 0, 0 },
                { Advance, 9, 3612, 0 }, { DrainAgent, 3, 0, 0 } } },
        { "an agent with an empty ledger answers in a settlement that began before its registration",
            { { ExpireLease, 0, 0, 0 }, { ReadView, 1319, 0, 0 }, { Submit, 0, 0, 0 }, { Tick, 0, 0, 0 }, { Resubmit, 4, 0, 0 },
                { Deliver, 0, 0, 0 }, { Advance, 4, 500, 0 }, { ResolveSwap, 9119, 0, 0 }, { ReadView, 64, 0, 0 },
                { DeliverAll, 0, 0, 0 }, { CrashAgent, 0, 0, 0 }, { Tick, 0, 0, 0 } } },
        { "a fenced entry that has not read of its fencing is linked to a replaced agent",
            { { Submit, 0, 0, 0 }, { ExpireLease, 0, 0, 0 }, { Resubmit, 190, 0, 0 }, { Tick, 0, 0, 0 }, { Deliver, 0, 0, 0 },
                { Tick, 0, 0, 0 }, { FinishTask, 0, 0, 0 }, { ReadView, 2675, 0, 0 }, { Tick, 0, 0, 0 }, { Advance, 2, 1000, 0 },
                { ResolveSwap, 3068, 0, 0 }, { ReadView, 1408, 0, 0 }, { ToggleEntrySuspension, 0, 0, 0 }, { DeliverAll, 0, 0, 0 },
                { Tick, 0, 0, 0 }, { Deliver, 0, 0, 0 }, { CrashAgent, 0, 0, 0 } } },
    }));
    CAPTURE(row.description_);
    World world;
    for (const auto& step : row.steps_)
        world.run(step);
    world.heal();
    CHECK(world.record().violations().empty());
}
