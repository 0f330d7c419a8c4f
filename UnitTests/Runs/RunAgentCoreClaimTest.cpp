#include "UnitTests/Runs/RunAgentFixture.h"

#include <catch2/catch.hpp>

// Heartbeats that name another target than the known one.

namespace Lagoonpick {

namespace {

using std::chrono::milliseconds;
using Wire::NotStartedReason;
using Wire::RunEnd;

struct Claim {
    std::string name_;
    std::string id_;
    /// The known target is "target" with start time 5.
    std::uint64_t startedAt_;
};

Claim generateClaim()
{
    return GENERATE(values<Claim>({
        { "another target, started later", "another", 9 },
        { "another target, started earlier", "another", 2 },
        { "the same target, started later", "target", 9 },
        { "the same target, started earlier", "target", 2 },
    }));
}

/// An agent whose target, started at 5, runs "job.0.0.1".
struct ClaimFixture : RunAgentFixture {
    ClaimFixture()
    {
        sendHeartbeat(false, 5);
        answerLease({ .startedAt_ = 5, .running_ = {}, .ended_ = {} });
        answerLease({ .startedAt_ = 5, .running_ = {}, .ended_ = {} });
        startRun(1);
        reply(0, CallAnswer::Accepted);
        now_ += milliseconds(10);
    }

    /// The target answers for itself, and its run goes on.
    void confirm()
    {
        answerLease({ .startedAt_ = 5, .running_ = running_, .ended_ = {} });
    }

    bool isKnown(const std::string& id, std::uint64_t startedAt) const { return core_.target().incarnation() == TargetIncarnation { id, startedAt }; }

    std::vector<RunningRow> running_ { { { "job.0.0.1", 1 }, 10 } };
};

const LeaseReply wrongTarget { .answer_ = CallAnswer::WrongTarget, .clock_ = {}, .running_ = {}, .ended_ = {} };
const LeaseReply noAnswer { .answer_ = CallAnswer::NoAnswer, .clock_ = {}, .running_ = {}, .ended_ = {} };

} // namespace

// Guards against: another writer's heartbeat ended all runs as lost, and their tasks ran twice at once (review, case 1).
TEST_CASE("A heartbeat that names another target ends no run while the known target answers")
{
    auto claim = generateClaim();
    INFO(claim.name_);
    bool isDraining = GENERATE(false, true);
    ClaimFixture agent;
    agent.sendHeartbeat(isDraining, claim.startedAt_, claim.id_);
    CHECK(agent.ends().empty());
    agent.confirm();
    agent.advance(milliseconds(10));
    agent.confirm();
    CHECK(agent.ends().empty());
    CHECK(agent.stops_.empty());
    CHECK(agent.isKnown("target", 5));
    agent.startRun(2);
    REQUIRE(agent.starts_.size() == 2);
    CHECK(agent.starts_[1].expectedTarget_ == "target");
}

// Guards against: the machine stayed out of use after a stray heartbeat, since its target's own ones counted as outdated.
TEST_CASE("After a heartbeat that names another target, the known target's own heartbeats still count")
{
    auto claim = generateClaim();
    INFO(claim.name_);
    ClaimFixture agent;
    agent.sendHeartbeat(false, claim.startedAt_, claim.id_);
    agent.confirm();
    agent.sendHeartbeat(true, 5);
    agent.startRun(2);
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].reason_ == NotStartedReason::Draining);
}

TEST_CASE("While another target is claimed, nothing starts and no lease is extended before the address has answered")
{
    auto claim = generateClaim();
    INFO(claim.name_);
    ClaimFixture agent;
    std::size_t calls = agent.leases_.size();
    agent.sendHeartbeat(false, claim.startedAt_, claim.id_);
    REQUIRE(agent.leases_.size() == calls + 1);
    CHECK(agent.leases_.back().expectedTarget_ == "target");
    CHECK_FALSE(agent.leases_.back().leaseUntil_);
    CHECK(agent.leases_.back().wait_ == Duration());
    agent.startRun(2);
    CHECK(agent.starts_.size() == 1);
    // Further claims ask no more often.
    for (int i = 0; i < 100; ++i)
        agent.sendHeartbeat(false, claim.startedAt_ + 1, claim.id_);
    CHECK(agent.leases_.size() == calls + 1);
}

TEST_CASE("A target is replaced by the claimed one once the address answers that the known one is not there")
{
    bool isClaimedBefore = GENERATE(true, false);
    ClaimFixture agent;
    if (isClaimedBefore)
        agent.sendHeartbeat(false, 2, "another");
    agent.answerLeases(wrongTarget);
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].end_ == RunEnd::Lost);
    if (!isClaimedBefore)
        agent.sendHeartbeat(false, 2, "another");
    CHECK(agent.isKnown("another", 2));
    CHECK(agent.leases_.back().expectedTarget_ == "another");
    agent.answerLease({ .startedAt_ = 2, .running_ = {}, .ended_ = {} });
    agent.startRun(2);
    REQUIRE(agent.starts_.size() == 2);
    CHECK(agent.starts_[1].expectedTarget_ == "another");
}

TEST_CASE("A claim that the address does not confirm either gives way to the next heartbeat")
{
    ClaimFixture agent;
    agent.sendHeartbeat(false, 9, "stray");
    agent.answerLeases(wrongTarget);
    CHECK(agent.isKnown("stray", 9));
    agent.answerLeases(wrongTarget);
    agent.sendHeartbeat(false, 2, "another");
    CHECK(agent.isKnown("another", 2));
}

TEST_CASE("A silent target's runs are lost at the end of their lease and no sooner, whatever target is claimed meanwhile")
{
    ClaimFixture agent;
    // Until now its lease may last longer than asked for.
    for (int i = 0; i < 4; ++i) {
        agent.confirm();
        agent.advanceWithHeartbeats(milliseconds(100));
    }
    agent.confirm();
    agent.sendHeartbeat(false, 9, "another");
    for (int i = 0; i < 6; ++i) {
        agent.answerLeases(noAnswer);
        agent.advanceWithHeartbeats(milliseconds(100));
    }
    CHECK(agent.ends().empty());
    CHECK(agent.isKnown("target", 5));
    for (int i = 0; i < 3; ++i) {
        agent.answerLeases(noAnswer);
        agent.advanceWithHeartbeats(milliseconds(100));
    }
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].end_ == RunEnd::Lost);
    CHECK(agent.isKnown("another", 9));
}

// Guards against: tasks that waited at an agent started on the next target there, without the label that they required
// (review, case 4).
TEST_CASE("Tasks that wait are returned when another incarnation takes the target's place")
{
    bool isRestart = GENERATE(false, true);
    ClaimFixture agent;
    agent.startRun(2);
    agent.startRun(3);
    REQUIRE(agent.starts_.size() == 2);
    if (isRestart)
        agent.answerLease({ .startedAt_ = 9, .running_ = {}, .ended_ = {} });
    else
        agent.replaceTarget("another", 9);
    auto ends = agent.ends();
    auto waiting = std::find_if(ends.begin(), ends.end(), [](const auto& ended) { return ended.run_ == 3; });
    REQUIRE(waiting != ends.end());
    CHECK(waiting->reason_ == NotStartedReason::TargetUnavailable);
    agent.answerLease({ .startedAt_ = 9, .running_ = {}, .ended_ = {} });
    agent.advance(milliseconds(1));
    CHECK(agent.starts_.size() == 2);
}

// Guards against: the same for tasks that were on their way to the agent meanwhile.
TEST_CASE("A task is returned at once if the target serves another service or lacks the required label")
{
    struct Row {
        std::string service_;
        std::string label_;
        bool isStarted_;
    };
    auto row = GENERATE(values<Row>({ { "service", "", true }, { "service", "a", true }, { "service", "b", false }, { "other", "a", false }, { "", "", false } }));
    ClaimFixture agent;
    agent.core_.receive(TargetHeartbeat { .incarnation_ = { "target", 5 }, .sequence_ = 100, .service_ = "service", .labels_ = { "a" }, .capacity_ = { 2000, 1000, 0 } }, agent.now_);
    agent.core_.receive(link, Wire::StartRun { .run_ = 2, .task_ = "job.0.0.2", .service_ = row.service_, .requiredLabel_ = row.label_, .need_ = { 1000, 10, 0 }, .waitMicroseconds_ = 100'000 }, agent.now_);
    agent.advance({});
    CHECK(agent.starts_.size() == (row.isStarted_ ? 2 : 1));
    REQUIRE(agent.ends().size() == (row.isStarted_ ? 0 : 1));
    if (!row.isStarted_)
        CHECK(agent.ends()[0].reason_ == NotStartedReason::TargetUnavailable);
}

TEST_CASE("A start that its target's next incarnation rejects by its fencing token is not sent there again")
{
    ClaimFixture agent;
    agent.startRun(2);
    agent.answerLease({ .startedAt_ = 9, .running_ = {}, .ended_ = {} });
    agent.sendHeartbeat(false, 9);
    auto token = agent.leases_.back().fencingToken_;
    agent.reply(1, CallAnswer::Fenced);
    CHECK(agent.starts_.size() == 2);
    REQUIRE_FALSE(agent.ends().empty());
    CHECK(agent.ends().back().reason_ == NotStartedReason::TargetUnavailable);
    agent.answerLease({ .startedAt_ = 9, .running_ = {}, .ended_ = {} });
    CHECK(agent.leases_.back().fencingToken_ == token);
}

// Guards against: a caller was told that nothing had run, though the target had begun its task and crashed (review, case 3).
TEST_CASE("A run that was sent to a target's former incarnation counts as lost, whatever the present one says of it")
{
    enum class Sent {
        Unanswered,
        Unrevoked,
        Recalled,
    };
    auto sent = GENERATE(Sent::Unanswered, Sent::Unrevoked, Sent::Recalled);
    ClaimFixture agent;
    agent.startRun(2);
    REQUIRE(agent.starts_.size() == 2);
    if (sent == Sent::Recalled)
        agent.core_.receive(link, Wire::StopRun { 2 }, agent.now_);
    if (sent == Sent::Unanswered)
        agent.reply(1, CallAnswer::NoAnswer);
    agent.answerLease({ .startedAt_ = 9, .running_ = {}, .ended_ = {} });
    agent.reply(1, CallAnswer::NoAnswer);
    std::size_t answeredStops = 0;
    for (int round = 0; round < 5; ++round) {
        agent.advanceWithHeartbeats(milliseconds(100));
        for (; answeredStops < agent.stops_.size(); ++answeredStops)
            agent.core_.receiveStopReply({ agent.stops_[answeredStops].call_, CallAnswer::Accepted, {} }, agent.now_);
        agent.now_ += milliseconds(1);
        agent.answerLease({ .startedAt_ = 9, .running_ = {}, .ended_ = {} });
    }
    auto ends = agent.ends();
    REQUIRE(ends.size() == 2);
    CHECK(ends[0].end_ == RunEnd::Lost);
    CHECK(ends[1].end_ == RunEnd::Lost);
}

// Guards against: a start that was carried out after its target's restart ran beside the task's second run (review, case 2).
TEST_CASE("Calls to a target's present incarnation carry a higher fencing token than any call to a former one")
{
    bool isRestart = GENERATE(false, true);
    ClaimFixture agent;
    std::uint64_t former = 0;
    for (const auto& call : agent.leases_)
        former = std::max(former, call.fencingToken_);
    former = std::max(former, agent.starts_[0].fencingToken_);
    if (isRestart)
        agent.answerLease({ .startedAt_ = 9, .running_ = {}, .ended_ = {} });
    else
        agent.replaceTarget("another", 9);
    CHECK(agent.leases_.back().fencingToken_ > former);
    agent.answerLease({ .startedAt_ = 9, .running_ = {}, .ended_ = {} });
    agent.sendHeartbeat(false, 9, isRestart ? "target" : "another");
    agent.startRun(2);
    REQUIRE(agent.starts_.size() == 2);
    CHECK(agent.starts_[1].fencingToken_ > former);
}

// Guards against: a target whose clock stepped back before it restarted was ignored, also when it drained (review, report).
TEST_CASE("A target that restarted with an earlier start time is known by its answer, with what its heartbeat says")
{
    bool isDraining = GENERATE(false, true);
    ClaimFixture agent;
    agent.sendHeartbeat(isDraining, 2);
    agent.answerLease({ .startedAt_ = 2, .running_ = {}, .ended_ = {} });
    agent.advance(milliseconds(1));
    agent.answerLease({ .startedAt_ = 2, .running_ = {}, .ended_ = {} });
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].end_ == RunEnd::Lost);
    CHECK(agent.isKnown("target", 2));
    agent.startRun(2);
    CHECK(agent.starts_.size() == (isDraining ? 1 : 2));
}

// Guards against: a late notice of departure of a former incarnation put the present one out of use until it restarted.
TEST_CASE("A notice of departure ends the starts until the target's next heartbeat reports no drain")
{
    bool isDrainReported = GENERATE(false, true);
    ClaimFixture agent;
    if (isDrainReported)
        agent.sendHeartbeat(true, 5);
    agent.core_.handleDeparture("target", agent.now_);
    agent.startRun(2);
    CHECK(agent.starts_.size() == 1);
    agent.sendHeartbeat(false, 5);
    agent.startRun(3);
    CHECK(agent.starts_.size() == (isDrainReported ? 1 : 2));
}

TEST_CASE("An answer of a target's former incarnation that arrives after one of the present is ignored")
{
    ClaimFixture agent;
    agent.advance(milliseconds(30));
    REQUIRE(agent.leases_.size() >= agent.answeredCount_ + 2);
    auto former = agent.leases_.back();
    agent.core_.receive(LeaseReply { .call_ = agent.leases_[agent.answeredCount_].call_, .answer_ = CallAnswer::Accepted, .clock_ = 1000, .startedAt_ = 9, .running_ = {}, .ended_ = {} }, agent.now_);
    CHECK(agent.isKnown("target", 9));
    agent.core_.receive(LeaseReply { .call_ = former.call_, .answer_ = CallAnswer::Accepted, .clock_ = 1000, .startedAt_ = 5, .running_ = {}, .ended_ = {} }, agent.now_);
    CHECK(agent.isKnown("target", 9));
}

} // namespace Lagoonpick
