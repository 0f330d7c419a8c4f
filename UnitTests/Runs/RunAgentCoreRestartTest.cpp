#include "UnitTests/Runs/RunAgentFixture.h"

#include <catch2/catch.hpp>

// A target that restarts under its id.

namespace Lagoonpick {

namespace {

using std::chrono::milliseconds;
using Wire::RunEnd;

} // namespace

// Guards against: runs that a restarted target had just begun were taken for lost and started elsewhere while calls with a time of
// its former clock held them.
TEST_CASE("The runs of a restarted target that falls silent count as lost once the longest lease is over, and no sooner")
{
    RunAgentFixture agent;
    agent.answerLease({ .startedAt_ = 2, .running_ = {}, .ended_ = {} });
    agent.sendHeartbeat(false, 2);
    agent.answerLease({ .startedAt_ = 2, .running_ = {}, .ended_ = {} });
    agent.startRun(1);
    REQUIRE(agent.starts_.size() == 1);
    agent.reply(0, CallAnswer::Accepted);
    agent.answerLease({ .startedAt_ = 2, .running_ = { { { "job.0.0.1", 1 }, 5 } }, .ended_ = {} });
    agent.fallSilent(milliseconds(1000));
    CHECK(agent.ends().empty());
    agent.fallSilent(milliseconds(200));
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].end_ == RunEnd::Lost);
}

// Guards against: the same before anything is started there, for runs that were on their way when the target restarted.
TEST_CASE("A run that was on its way to a restarted target that falls silent is neither lost too early nor kept for ever")
{
    RunAgentFixture agent;
    agent.startRun(1);
    REQUIRE(agent.starts_.size() == 1);
    agent.answerLease({ .startedAt_ = 2, .running_ = {}, .ended_ = {} });
    agent.fallSilent(milliseconds(1000));
    CHECK(agent.ends().empty());
    agent.fallSilent(milliseconds(300));
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].end_ == RunEnd::Lost);
}

// Guards against: calls with a time of the former clock extended the lease of runs that were started right after the restart.
TEST_CASE("After a restart, nothing is started before the target has answered a call with the raised fencing token")
{
    RunAgentFixture agent;
    std::uint64_t formerToken = agent.leases_.back().fencingToken_;
    agent.answerLease({ .startedAt_ = 2, .running_ = {}, .ended_ = {} });
    agent.sendHeartbeat(false, 2);
    agent.startRun(1);
    CHECK(agent.starts_.empty());
    REQUIRE(agent.leases_.size() > agent.answeredCount_);
    CHECK(agent.leases_.back().fencingToken_ > formerToken);
    agent.answerLease({ .startedAt_ = 2, .running_ = {}, .ended_ = {} });
    agent.startRun(2);
    REQUIRE(agent.starts_.size() == 1);
    CHECK(agent.starts_[0].name_.task_ == "job.0.0.2");
}

// Guards against: a start on its way was carried out by the next incarnation after its run had counted as over.
TEST_CASE("The list that shows a restart ends no run: its call fences no start that is on its way")
{
    RunAgentFixture agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::NoAnswer);
    agent.answerLease({});
    REQUIRE(agent.stops_.size() == 1);
    agent.core_.receiveStopReply({ agent.stops_[0].call_, CallAnswer::Accepted, {} }, agent.now_);
    agent.now_ += milliseconds(1);
    agent.answerLease({});
    agent.advance(milliseconds(50));
    agent.answerLease({ .startedAt_ = 2, .running_ = {}, .ended_ = {} });
    CHECK(agent.ends().empty());
    agent.answerLease({ .startedAt_ = 2, .running_ = {}, .ended_ = {} });
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].end_ == RunEnd::Lost);
}

// Guards against: leases far in the future for a restarted target, which it shortens to the longest that it grants.
TEST_CASE("The clock in the answer to a start of before a restart is not taken for that of the target's next incarnation")
{
    RunAgentFixture agent;
    agent.startRun(1);
    agent.answerLease({ .startedAt_ = 2, .running_ = {}, .ended_ = {} });
    agent.answerLease({ .startedAt_ = 2, .running_ = {}, .ended_ = {} });
    agent.core_.receiveStartReply({ agent.starts_.at(0).call_, CallAnswer::Accepted, 500'000 }, agent.now_);
    agent.sendHeartbeat(false, 2);
    agent.startRun(2);
    REQUIRE(agent.starts_.size() == 2);
    CHECK(agent.starts_[1].leaseUntil_ < 2000);
}

// Guards against: a restarted target forgot the end of a run before the agent knew of it, so that the run counted as lost.
TEST_CASE("No end is confirmed to a target that may have restarted")
{
    RunAgentFixture agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::Accepted);
    agent.answerLease({ .running_ = {}, .ended_ = { { 57, { "job.0.0.1", 1 }, RunEnd::Done } } });
    CHECK(agent.leases_.back().highestSeenEnd_ == 57);
    agent.answerLeases({ .answer_ = CallAnswer::NoAnswer, .clock_ = {}, .running_ = {}, .ended_ = {} });
    CHECK(agent.leases_.back().highestSeenEnd_ == 0);
    agent.advance(milliseconds(30));
    agent.answerLease({ .running_ = {}, .ended_ = { { 57, { "job.0.0.1", 1 }, RunEnd::Done } } });
    CHECK(agent.leases_.back().highestSeenEnd_ == 57);
    CHECK(agent.ends().size() == 1);
}

// Guards against: a run that a restarted target had begun was taken for lost at the end of the lease that its former incarnation
// was asked for.
TEST_CASE("Of a silent target's runs, those that it never listed count as lost only once the longest lease is over")
{
    RunAgentFixture agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::Accepted);
    for (int i = 0; i < 8; ++i) {
        agent.answerLease({ .running_ = { { { "job.0.0.1", 1 }, 5 } }, .ended_ = {} });
        agent.advanceWithHeartbeats(milliseconds(100));
    }
    agent.answerLease({ .running_ = { { { "job.0.0.1", 1 }, 5 } }, .ended_ = {} });
    agent.startRun(2);
    agent.reply(1, CallAnswer::Accepted);
    agent.fallSilent(milliseconds(1000));
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].run_ == 1);
    agent.fallSilent(milliseconds(300));
    REQUIRE(agent.ends().size() == 2);
    CHECK(agent.ends()[1].run_ == 2);
    CHECK(agent.ends()[1].end_ == RunEnd::Lost);
}

} // namespace Lagoonpick
