#include "UnitTests/Runs/RunAgentFixture.h"

#include <catch2/catch.hpp>

namespace Lagoonpick {

namespace {

using std::chrono::milliseconds;
using Wire::NotStartedReason;
using Wire::RunEnd;

} // namespace

TEST_CASE("A run whose start is unanswered is looked up at once and continues if it is listed")
{
    RunAgentFixture agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::NoAnswer);
    CHECK(agent.stops_.empty());
    CHECK(agent.leases_.back().wait_ == Duration());
    agent.answerLease({ .running_ = { { { "job.0.0.1", 1 }, 5 } }, .ended_ = {} });
    agent.advanceWithHeartbeats(milliseconds(200));
    CHECK(agent.stops_.empty());
    agent.answerLease({ .running_ = {}, .ended_ = { { 1, { "job.0.0.1", 1 }, RunEnd::Done } } });
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].end_ == RunEnd::Done);
}

TEST_CASE("After an unanswered call, no run is started and no lease extended until the target answers a later lease call")
{
    auto isStart = GENERATE(true, false);
    RunAgentFixture agent;
    agent.startRun(1);
    if (isStart)
        agent.reply(0, CallAnswer::NoAnswer);
    else
        agent.core_.receive(LeaseReply { .call_ = agent.leases_.back().call_, .answer_ = CallAnswer::NoAnswer, .clock_ = {}, .running_ = {}, .ended_ = {} }, agent.now_);
    agent.advance({});
    std::size_t starts = agent.starts_.size();
    agent.startRun(2);
    CHECK(agent.starts_.size() == starts);
    CHECK_FALSE(agent.leases_.back().leaseUntil_);
    // The answer to an earlier lease call proves nothing.
    agent.core_.receive(LeaseReply { .call_ = agent.leases_.front().call_, .answer_ = CallAnswer::Accepted, .clock_ = 1000, .startedAt_ = 1, .running_ = {}, .ended_ = {} }, agent.now_);
    agent.advance({});
    CHECK(agent.starts_.size() == starts);
    agent.advance(milliseconds(5));
    agent.answerLease({});
    agent.advance({});
    CHECK(agent.starts_.size() == starts + 1);
    agent.advance(milliseconds(50));
    CHECK(agent.leases_.back().leaseUntil_);
}

TEST_CASE("An unanswered start that is not listed counts as over only after its stop was answered and a later list lacks it")
{
    auto isListAnswered = GENERATE(true, false);
    RunAgentFixture agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::NoAnswer);
    if (isListAnswered)
        agent.answerLease({});
    else
        agent.advance(milliseconds(60));
    REQUIRE(agent.stops_.size() == 1);
    agent.answerLease({});
    CHECK(agent.ends().empty());
    agent.now_ += milliseconds(1);
    agent.core_.receiveStopReply({ agent.stops_[0].call_, CallAnswer::Accepted, {} }, agent.now_);
    // This lease call was sent before the stop was answered, so its answer proves nothing.
    agent.answerLease({});
    CHECK(agent.ends().empty());
    agent.now_ += milliseconds(1);
    agent.answerLease({});
    agent.answerLease({});
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].end_ == RunEnd::NotStarted);
    CHECK(agent.ends()[0].reason_ == NotStartedReason::Unanswered);
}

TEST_CASE("A stop without an answer is sent again")
{
    RunAgentFixture agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::Accepted);
    agent.core_.receive(link, Wire::StopRun { 1 }, agent.now_);
    agent.collect();
    REQUIRE(agent.stops_.size() == 1);
    agent.advance(milliseconds(60));
    CHECK(agent.stops_.size() == 2);
}

TEST_CASE("After a suspension of the process, the links are aborted and messages buffered on them are ignored")
{
    RunAgentFixture agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::Accepted);
    agent.now_ += std::chrono::seconds(2);
    agent.core_.processResumed(std::chrono::seconds(2), agent.now_);
    agent.collect();
    CHECK(agent.aborted_ == std::vector { link });
    agent.startRun(2);
    CHECK(agent.starts_.size() == 1);
}

TEST_CASE("After a suspension of the process, a link without an EntryHello so far is aborted as well")
{
    RunAgentFixture agent;
    agent.core_.linkOpened(LinkId(2), agent.now_);
    agent.now_ += std::chrono::seconds(2);
    agent.core_.processResumed(std::chrono::seconds(2), agent.now_);
    agent.core_.receive(LinkId(2), Wire::EntryHello { .incarnation_ = Incarnation(2), .name_ = "entry", .address_ = "10.0.0.2:1" }, agent.now_);
    agent.core_.receive(LinkId(2), Wire::StartRun { .run_ = 1, .task_ = "job.0.0.0", .service_ = "service", .need_ = { 1000, 10, 0 }, .waitMicroseconds_ = 1000 }, agent.now_);
    agent.advance({});
    CHECK(agent.starts_.empty());
    CHECK(agent.aborted_.size() == 2);
}

TEST_CASE("Runs left by an earlier incarnation of the agent are stopped before anything starts")
{
    RunAgentFixture agent;
    LeaseReply listed { .running_ = { { { "old.0.0.0", 3 }, 10 } }, .ended_ = {} };
    agent.answerLease(listed);
    // The list may have been overtaken by the answer with the run's end.
    CHECK(agent.stops_.empty());
    agent.now_ += milliseconds(1);
    agent.answerLease(listed);
    agent.answerLease(listed);
    REQUIRE(agent.stops_.size() == 1);
    CHECK(agent.stops_[0].name_.task_ == "old.0.0.0");
    agent.startRun(1);
    CHECK(agent.starts_.empty());
    CHECK(agent.ends().back().reason_ == NotStartedReason::TargetUnavailable);
    agent.advance(milliseconds(30));
    CHECK_FALSE(agent.leases_.back().leaseUntil_);
    agent.answerLease({ .running_ = {}, .ended_ = { { 1, { "old.0.0.0", 3 }, RunEnd::Stopped } } });
    agent.startRun(2);
    CHECK(agent.starts_.size() == 1);
}

TEST_CASE("The lease of a target that does not answer is not extended, and its runs count as lost after the lease's end")
{
    RunAgentFixture agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::Accepted);
    agent.answerLease({ .running_ = { { { "job.0.0.1", 1 }, 5 } }, .ended_ = {} });
    for (int i = 0; i < 3; ++i) {
        agent.advanceWithHeartbeats(milliseconds(300));
        agent.answerLeases({ .answer_ = CallAnswer::NoAnswer, .clock_ = {}, .running_ = {}, .ended_ = {} });
        agent.advanceWithHeartbeats(milliseconds(100));
    }
    CHECK_FALSE(agent.leases_.back().leaseUntil_);
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].end_ == RunEnd::Lost);
}

TEST_CASE("A run that reached a target's new incarnation is not lost with the previous one")
{
    RunAgentFixture agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::Accepted);
    agent.answerLease({ .startedAt_ = 2, .running_ = { { { "job.0.0.1", 1 }, 5 } }, .ended_ = {} });
    CHECK(agent.ends().empty());
    CHECK(agent.stops_.empty());
}

// Guards against: of more than 500 ends at once, those that the first answer had no place for counted as lost.
TEST_CASE("A run that is in neither list is not lost while the target may have more ends to list")
{
    RunAgentFixture agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::Accepted);
    for (int i = 0; i < 3; ++i) {
        agent.advance(milliseconds(1));
        agent.answerLease({ .running_ = {}, .ended_ = {}, .isPartial_ = true });
    }
    CHECK(agent.ends().empty());
    agent.advance(milliseconds(1));
    agent.answerLease({ .running_ = {}, .ended_ = { { 501, { "job.0.0.1", 1 }, RunEnd::Done } } });
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].end_ == RunEnd::Done);
}

// Guards against: an agent opened its target, and extended the lease, though a run of its earlier incarnation went on there unread.
TEST_CASE("A target is opened only by a list of everything that runs there")
{
    RunAgentFixture agent;
    agent.sendHeartbeat(false, 2);
    auto answer = [&](LeaseReply reply) {
        reply.startedAt_ = 2;
        agent.answerLease(std::move(reply));
        agent.advance(milliseconds(20));
    };
    const LeaseReply unread { .running_ = {}, .ended_ = {}, .isPartial_ = true, .hasUnreadRuns_ = true };
    const LeaseReply orphan { .running_ = { { { "job.9.0.1", 1 }, 10 } }, .ended_ = {} };
    const LeaseReply nothing { .running_ = {}, .ended_ = {} };
    std::uint64_t run = 0;
    for (const auto& reply : { unread, orphan, unread }) {
        answer(reply);
        CHECK_FALSE(agent.leases_.back().leaseUntil_);
        agent.startRun(++run);
        CHECK(agent.starts_.empty());
    }
    CHECK(agent.stops_.size() == 1);
    answer(nothing);
    CHECK(agent.leases_.back().leaseUntil_);
    agent.startRun(++run);
    CHECK(agent.starts_.size() == 1);
}

// Guards against: a run that its agent did not start went on, its lease extended, after a list that was requested before its stop.
TEST_CASE("A run that the agent did not start counts as gone only once a list that was requested after its stop and could be read lacks it")
{
    auto isUnread = GENERATE(true, false);
    RunAgentFixture agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::Accepted);
    const RunningRow own { { "job.0.0.1", 1 }, 5 };
    const RunningRow unknown { { "old.0.0.0", 3 }, 10 };
    for (int i = 0; i < 2; ++i) {
        agent.answerLease({ .running_ = { own, unknown }, .ended_ = {} });
        agent.now_ += milliseconds(1);
    }
    REQUIRE(agent.leases_.size() == agent.answeredCount_ + 2);
    LeaseReply reply { .answer_ = CallAnswer::Accepted, .clock_ = 1000, .startedAt_ = 1, .running_ = { own, unknown }, .ended_ = {} };
    reply.call_ = agent.leases_[agent.answeredCount_++].call_;
    agent.core_.receive(reply, agent.now_);
    agent.collect();
    REQUIRE(agent.stops_.size() == 1);
    if (isUnread) {
        agent.advance(milliseconds(30));
        agent.answeredCount_ = agent.leases_.size() - 1;
    }
    agent.answerLease({ .running_ = { own }, .ended_ = {}, .isPartial_ = isUnread, .hasUnreadRuns_ = isUnread });
    agent.startRun(2);
    CHECK(agent.starts_.size() == 1);
    agent.advance(milliseconds(30));
    agent.answerLease({ .running_ = { own }, .ended_ = {} });
    agent.startRun(3);
    CHECK(agent.starts_.size() == 2);
}

TEST_CASE("A restored heartbeat opens the target, unless the target is draining or a newer heartbeat has arrived")
{
    struct Row {
        bool isDraining_;
        bool hasNewerHeartbeat_;
        bool isOpen_;
    };
    auto row = GENERATE(values<Row>({ { false, false, true }, { true, false, false }, { false, true, false } }));
    RunAgentCore core(RunAgentCoreSettings { .name_ = "agent", .incarnation_ = Incarnation(7), .fencingToken_ = 100 });
    Time now { std::chrono::hours(1) };
    TargetHeartbeat heartbeat { .incarnation_ = { "target", 1 }, .sequence_ = 0, .service_ = "service", .availabilityZone_ = "a", .labels_ = {}, .capacity_ = { 1000, 1000, 0 } };
    if (row.hasNewerHeartbeat_) {
        auto draining = heartbeat;
        draining.sequence_ = 5;
        draining.isDraining_ = true;
        core.receive(draining, now);
    }
    heartbeat.isDraining_ = row.isDraining_;
    core.restore(heartbeat, now);
    auto leases = core.takeEffects().leases_;
    REQUIRE(leases.size() == 1);
    CHECK_FALSE(leases[0].leaseUntil_);
    core.receive(LeaseReply { .call_ = leases[0].call_, .answer_ = CallAnswer::Accepted, .clock_ = 5, .startedAt_ = 1, .running_ = {}, .ended_ = {} }, now);
    core.linkOpened(link, now);
    core.receive(link, Wire::EntryHello { .incarnation_ = Incarnation(1), .name_ = "entry", .address_ = "10.0.0.1:1" }, now);
    core.receive(link, Wire::EvacuatedZones { 1, {} }, now);
    core.receive(link, Wire::StartRun { .run_ = 1, .task_ = "job.0.0.0", .service_ = "service", .need_ = { 1000, 10, 0 }, .waitMicroseconds_ = 1000, .agentTime_ = static_cast<std::uint64_t>(toUnixMilliseconds(now)) }, now);
    core.tick(now);
    CHECK(core.takeEffects().starts_.size() == (row.isOpen_ ? 1 : 0));
}

TEST_CASE("Heartbeats that were overtaken or belong to an earlier incarnation change nothing")
{
    struct Row {
        TargetHeartbeat late_;
        std::string name_;
    };
    auto row = GENERATE(values<Row>({
        { { .incarnation_ = { "target", 5 }, .sequence_ = 3, .isDraining_ = false }, "overtaken" },
        { { .incarnation_ = { "target", 4 }, .sequence_ = 9, .isDraining_ = false }, "earlier incarnation" },
        { { .incarnation_ = { "other", 4 }, .sequence_ = 9, .isDraining_ = false }, "earlier target at the same address" },
        { { .incarnation_ = { "target", 5 }, .sequence_ = 5, .isDraining_ = false }, "draining can't be undone within an incarnation" },
    }));
    INFO(row.name_);
    TargetState target;
    CHECK(target.update({ .incarnation_ = { "target", 5 }, .sequence_ = 4, .isDraining_ = true }) == TargetState::Change::NewIncarnation);
    target.update(row.late_);
    CHECK_FALSE(target.acceptsRuns());
    CHECK(target.incarnation() == TargetIncarnation { "target", 5 });
}

// Guards against: a silent entry's run whose stops get no answer went on by the starts of another entry, after the silent one had
// started it elsewhere.
TEST_CASE("No start extends the target's lease while a run that its entry takes for over soon may be there")
{
    RunAgentFixture agent;
    constexpr LinkId other { 2 };
    agent.attach(other, Incarnation(2));
    agent.startRun(1);
    agent.reply(0, CallAnswer::Accepted);
    const LeaseReply listed { .running_ = { { { "job.0.0.1", 1 }, 10 } }, .ended_ = {} };
    for (int passed = 0; passed < 600; passed += 20) {
        agent.core_.receive(other, Wire::RunHeartbeat { .agentTime_ = agent.agentTime() }, agent.now_);
        agent.answerLease(listed);
        agent.advance(milliseconds(20));
    }
    REQUIRE_FALSE(agent.stops_.empty());
    REQUIRE_FALSE(agent.leases_.back().leaseUntil_);
    agent.core_.receive(other, Wire::StartRun { .run_ = 1, .task_ = "other.0.0.1", .number_ = 1, .payload_ = "p", .service_ = "service", .need_ = { 1000, 10, 0 }, .waitMicroseconds_ = 1'000'000, .callerTimeoutMicroseconds_ = 5'000'000, .agentTime_ = agent.agentTime() }, agent.now_);
    agent.advance({});
    CHECK(agent.starts_.size() == 1);
    // Once the stop was answered, the run will not go on.
    agent.core_.receiveStopReply({ agent.stops_.back().call_, CallAnswer::Accepted, 1000 }, agent.now_);
    agent.answerLease({ .running_ = {}, .ended_ = { { 1, { "job.0.0.1", 1 }, RunEnd::Stopped } } });
    agent.advance(milliseconds(20));
    CHECK(agent.starts_.size() == 2);
}

// Guards against: an entry gave a job up and the caller sent it elsewhere, while renewals for other runs kept the former run going
// whose stops were lost.
TEST_CASE("The lease is not extended for ever while stops get no answer")
{
    RunAgentFixture agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::Accepted);
    agent.core_.receive(link, Wire::StopRun { 1 }, agent.now_);
    Time stoppedAt = agent.now_;
    const LeaseReply listed { .running_ = { { { "job.0.0.1", 1 }, 10 } }, .ended_ = {} };
    while (agent.now_ - stoppedAt <= LeaseTiming().entryTimeout_) {
        agent.core_.receive(link, Wire::RunHeartbeat { .agentTime_ = agent.agentTime() }, agent.now_);
        agent.answerLease(listed);
        agent.advance(milliseconds(20));
    }
    agent.answerLease(listed);
    REQUIRE(agent.stops_.size() > 5);
    CHECK_FALSE(agent.leases_.back().leaseUntil_);
}

// Guards against: a task that fitted was returned for lack of room, and counted as bounced, because the lease was longer than its
// entry's confirmation permits.
TEST_CASE("A task that has room on a target which has just answered for the first time is not returned for lack of room")
{
    auto confirmedAgo = GENERATE(values<int>({ 0, 100, 200, 300 }));
    RunAgentFixture agent;
    agent.advance(milliseconds(20));
    agent.startRun(1, {}, 1000, milliseconds(100), {}, milliseconds(confirmedAgo));
    INFO(confirmedAgo);
    for (const auto& ended : agent.ends())
        CHECK(ended.reason_ != NotStartedReason::NoRoom);
}

} // namespace Lagoonpick
