#include "UnitTests/Runs/RunAgentFixture.h"

#include <catch2/catch.hpp>

namespace Lagoonpick {

using std::chrono::milliseconds;

namespace {

const Wire::Resources wholeCapacity { 16'000, 1000, 2 };

/// An agent whose target has begun cold, or warm with zero.
struct ColdTargetFixture : RunAgentFixture {
    explicit ColdTargetFixture(Duration coldLeft) { reportCold(coldLeft); }

    void reportCold(Duration coldLeft)
    {
        core_.receive(TargetHeartbeat { .incarnation_ = { "target", 1 }, .sequence_ = ++sequence_, .service_ = "service", .availabilityZone_ = "a", .labels_ = {}, .capacity_ = wholeCapacity, .isDraining_ = false, .coldLeft_ = coldLeft }, now_);
        collect();
    }

    /// Requests runs of one core each from `first` on.
    void request(std::uint64_t first, std::uint64_t count)
    {
        for (std::uint64_t run = first; run < first + count; ++run)
            startRun(run, std::chrono::seconds(60), 1000, milliseconds(100), { milliseconds(100), std::chrono::seconds(60) });
    }

    /// Ends the run of a start after `took`.
    void endRun(std::size_t start, Duration took)
    {
        reply(start, CallAnswer::Accepted);
        for (Duration passed {}; passed < took; passed += milliseconds(100))
            advanceWithHeartbeats(milliseconds(100));
        answerLease({ .clock_ = {}, .running_ = {}, .ended_ = { { ++lastEnd_, starts_.at(start).name_, Wire::RunEnd::Done } } });
        advance({});
    }

    Wire::TargetReport lastReport()
    {
        advance(milliseconds(100));
        Wire::TargetReport last;
        for (const auto& item : messages_) {
            if (const auto* report = std::get_if<Wire::TargetReport>(&item.message_))
                last = *report;
        }
        return last;
    }

    std::uint64_t lastEnd_ { 0 };
};

} // namespace

// Guards against: a target that came back cold got all the tasks that fit, so that all of them were late.
TEST_CASE("A cold target is given an eighth of its processors, and more as runs end at the expected speed")
{
    Time now { std::chrono::hours(1) };
    ColdStart cold;
    CHECK(cold.reduce(wholeCapacity, now) == wholeCapacity);
    CHECK(cold.record(milliseconds(3000), wholeCapacity, now));
    CHECK(cold.reduce(wholeCapacity, now) == Wire::Resources { 2000, 1000, 2 });
    cold.recordDone(milliseconds(250), milliseconds(100), { 1000, 10, 0 }, now);
    CHECK(cold.reduce(wholeCapacity, now).milliCores_ == 2000);
    cold.recordDone(milliseconds(150), milliseconds(100), { 1000, 10, 0 }, now);
    CHECK(cold.reduce(wholeCapacity, now).milliCores_ == 3000);
    CHECK_FALSE(cold.record(milliseconds(2000), wholeCapacity, now + milliseconds(1000)));
    CHECK(cold.reduce(wholeCapacity, now + milliseconds(2999)).milliCores_ == 3000);
    CHECK(cold.reduce(wholeCapacity, now + milliseconds(3000)) == wholeCapacity);
    SECTION("it is warm earlier than it said")
    {
        CHECK_FALSE(cold.record({}, wholeCapacity, now + milliseconds(1500)));
        CHECK(cold.reduce(wholeCapacity, now + milliseconds(1500)) == wholeCapacity);
    }
}

TEST_CASE("An agent starts and offers only what a cold target is given")
{
    auto [coldLeft, started] = GENERATE(table<Duration, std::size_t>({ { Duration(), 10 }, { milliseconds(3000), 2 } }));
    ColdTargetFixture agent(coldLeft);
    CHECK(agent.lastReport().capacity_.milliCores_ == (coldLeft.count() ? 2000 : 16'000));
    agent.request(1, 10);
    CHECK(agent.starts_.size() == started);
    if (coldLeft == Duration())
        return;
    agent.endRun(0, milliseconds(100));
    CHECK(agent.starts_.size() == 4);
    agent.reportCold({});
    agent.advance(milliseconds(20));
    CHECK(agent.starts_.size() == 10);
}

// Guards against: the slow runs of the cold time made a target that was warm again look slow.
TEST_CASE("The slowdown of a warm target leaves out the runs that began while it was cold, and the other way round")
{
    bool isFirstCold = GENERATE(true, false);
    ColdTargetFixture agent(isFirstCold ? milliseconds(60'000) : Duration());
    agent.request(1, 1);
    agent.endRun(0, milliseconds(800));
    auto slow = agent.lastReport().slowdownPermille_;
    CHECK((slow == 1000) == isFirstCold);
    agent.reportCold(isFirstCold ? Duration() : milliseconds(60'000));
    CHECK(agent.lastReport().slowdownPermille_ == 1000);
}

} // namespace Lagoonpick
