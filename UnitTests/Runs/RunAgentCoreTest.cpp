#include "UnitTests/Runs/RunAgentFixture.h"

#include <catch2/catch.hpp>

namespace Lagoonpick {

namespace {

using std::chrono::milliseconds;
using Wire::NotStartedReason;
using Wire::RunEnd;

} // namespace

TEST_CASE("A run's end is reported to its entry as the target lists it")
{
    auto [end, expected] = GENERATE(table<RunEnd, RunEnd>({ { RunEnd::Done, RunEnd::Done }, { RunEnd::Failed, RunEnd::Failed }, { RunEnd::Stopped, RunEnd::Stopped } }));
    RunAgentFixture agent;
    agent.startRun(1);
    REQUIRE(agent.starts_.size() == 1);
    CHECK(agent.starts_[0].leaseUntil_ == 1700);
    agent.reply(0, CallAnswer::Accepted);
    agent.answerLease({ .running_ = {}, .ended_ = { { 1, { "job.0.0.1", 1 }, end } } });
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].end_ == expected);
    CHECK(agent.leases_.back().highestSeenEnd_ == 1);
    // The end would be lost if the process exited now.
    CHECK_FALSE(agent.core_.isIdle());
    agent.core_.receive(link, Wire::RunHeartbeat { .highestSeenEnd_ = 1 }, agent.now_);
    CHECK(agent.core_.isIdle());
}

TEST_CASE("The age of an entry's message is counted from the agent's message that it confirms")
{
    RunAgentFixture agent;
    auto now = static_cast<std::uint64_t>(toUnixMilliseconds(agent.now_));
    auto [agentTime, isCounted] = GENERATE_COPY(table<std::uint64_t, bool>({ { 0, false }, { now - 1000, true }, { now, true }, { now + 1, false }, { ~0ULL, false } }));
    agent.core_.receive(link, Wire::RunHeartbeat { .agentTime_ = agentTime }, agent.now_);
    CHECK(agent.core_.confirmationTimes().count() == (isCounted ? 1 : 0));
    Time expected = isCounted ? fromUnixMilliseconds(static_cast<std::int64_t>(agentTime)) : Time();
    CHECK(agent.core_.sessions().at(Incarnation(1)).confirmedAt_ == expected);
}

TEST_CASE("Messages that were long on their way don't keep an entry's runs going, nor their lease")
{
    RunAgentFixture agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::Accepted);
    const std::uint64_t confirmed = agent.agentTime();
    for (int passed = 0; passed < 480; passed += 20) {
        agent.core_.receive(link, Wire::RunHeartbeat { .agentTime_ = confirmed }, agent.now_);
        agent.answerLease({ .running_ = { { { "job.0.0.1", 1 }, 10 } }, .ended_ = {} });
        agent.advance(milliseconds(20));
    }
    CHECK(agent.stops_.empty());
    CHECK(agent.leases_.back().leaseUntil_);
    agent.advance(milliseconds(20));
    REQUIRE(agent.stops_.size() == 1);
    agent.answerLease({ .running_ = { { { "job.0.0.1", 1 }, 10 } }, .ended_ = {} });
    CHECK_FALSE(agent.leases_.back().leaseUntil_);
    // The entry may have counted the run as over meanwhile.
    agent.core_.receive(link, Wire::RunHeartbeat { .agentTime_ = agent.agentTime() }, agent.now_);
    agent.core_.receiveStopReply({ agent.stops_[0].call_, CallAnswer::Accepted, 1000 }, agent.now_);
    agent.answerLease({ .running_ = {}, .ended_ = { { 1, { "job.0.0.1", 1 }, RunEnd::Stopped } } });
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].end_ == RunEnd::Stopped);
    agent.advance(milliseconds(100));
    CHECK(agent.leases_.back().leaseUntil_);
}

TEST_CASE("A confirmation that comes too late doesn't revive the runs that the entry may have counted as over")
{
    RunAgentFixture agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::Accepted);
    // The agent gets no processor time, and finds a fresh message before its next tick.
    agent.now_ += milliseconds(390);
    agent.core_.receive(link, Wire::RunHeartbeat { .agentTime_ = agent.agentTime(milliseconds(300)) }, agent.now_);
    agent.advance({});
    CHECK(agent.stops_.empty());
    agent.now_ += milliseconds(390);
    agent.core_.receive(link, Wire::RunHeartbeat { .agentTime_ = agent.agentTime() }, agent.now_);
    agent.advance({});
    CHECK(agent.stops_.size() == 1);
}

TEST_CASE("A start that was long on its way is returned")
{
    // A lease may last 14 ms longer than asked for, since the target's clock may be slow.
    auto [confirmedAgo, isStarted] = GENERATE(table<int, bool>({ { 0, true }, { 480, true }, { 500, false }, { 2000, false } }));
    RunAgentFixture agent;
    // After its first answer, the target's lease may last longer than asked for.
    for (int i = 0; i < 4; ++i) {
        agent.advance(milliseconds(100));
        agent.answerLease({});
    }
    agent.startRun(1, milliseconds(100), 1000, milliseconds(100), {}, milliseconds(confirmedAgo));
    CHECK(agent.starts_.size() == (isStarted ? 1 : 0));
    CHECK(agent.ends().size() == (isStarted ? 0 : 1));
    if (!isStarted)
        CHECK(agent.ends()[0].reason_ == NotStartedReason::TargetUnavailable);
}

TEST_CASE("A target counts as closed for an entry whose confirmations take too long")
{
    RunAgentFixture agent;
    auto lastReport = [&] {
        auto found = std::find_if(agent.messages_.rbegin(), agent.messages_.rend(), [](const auto& item) { return std::holds_alternative<Wire::TargetReport>(item.message_); });
        return std::get<Wire::TargetReport>(found->message_);
    };
    for (bool isTimely : { true, false, true }) {
        agent.core_.receive(link, Wire::RunHeartbeat { .agentTime_ = agent.agentTime(milliseconds(isTimely ? 100 : 600)) }, agent.now_);
        agent.advance(milliseconds(100));
        CHECK(lastReport().isOpen_ == isTimely);
    }
}

TEST_CASE("The target's answer to a start decides whether the run ends or is started again")
{
    struct Row {
        CallAnswer answer_;
        /// If set, the run ends at once with this reason.
        std::optional<NotStartedReason> reason_;
        bool isStopped_;
        bool isSentAgain_;
    };
    // `NoAnswer`: what follows is tested in RunAgentCoreLeaseTest.cpp.
    auto row = GENERATE(values<Row>({
        { CallAnswer::StaleStartNumber, NotStartedReason::StaleStartNumber, false, false },
        { CallAnswer::Rejected, NotStartedReason::Rejected, false, false },
        { CallAnswer::Malformed, NotStartedReason::Rejected, false, false },
        { CallAnswer::WrongTarget, NotStartedReason::TargetUnavailable, false, false },
        { CallAnswer::Fenced, {}, false, true },
        { CallAnswer::Late, {}, false, true },
        { CallAnswer::NoAnswer, {}, false, false },
    }));
    RunAgentFixture agent;
    agent.startRun(1);
    agent.reply(0, row.answer_);
    CHECK(agent.ends().size() == (row.reason_ ? 1 : 0));
    if (row.reason_)
        CHECK(agent.ends()[0].reason_ == *row.reason_);
    CHECK(agent.stops_.size() == (row.isStopped_ ? 1 : 0));
    CHECK(agent.starts_.size() == (row.isSentAgain_ ? 2 : 1));
    if (row.answer_ == CallAnswer::Fenced)
        CHECK(agent.starts_[1].fencingToken_ > agent.starts_[0].fencingToken_);
}

TEST_CASE("Tasks that do not fit are queued in order of their due times, or returned at once after a report")
{
    RunAgentFixture agent;
    const TaskTimes times { milliseconds(100) };
    agent.startRun(1, milliseconds(100), 1000, milliseconds(100), times);
    agent.startRun(2, milliseconds(100), 1000, milliseconds(100), times);
    agent.startRun(3, milliseconds(50), 1000, milliseconds(90), times);
    agent.startRun(4, milliseconds(50), 1000, milliseconds(10), times);
    CHECK(agent.starts_.size() == 2);
    agent.startRun(5, Duration(), 1000, milliseconds(100), times);
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].run_ == 5);
    CHECK(agent.ends()[0].reason_ == NotStartedReason::NoRoom);
    CHECK(std::holds_alternative<Wire::TargetReport>(agent.messages_[agent.messages_.size() - 2].message_));
    agent.reply(0, CallAnswer::Accepted);
    agent.answerLease({ .running_ = {}, .ended_ = { { 1, { "job.0.0.1", 1 }, RunEnd::Done } } });
    agent.advance({});
    REQUIRE(agent.starts_.size() == 3);
    CHECK(agent.starts_[2].name_.task_ == "job.0.0.4");
    agent.advanceWithHeartbeats(milliseconds(100));
    CHECK(agent.ends().back().run_ == 3);
    CHECK(agent.ends().back().reason_ == NotStartedReason::NoRoom);
}

// Guards against: a queue's priority, which its operators are promised to count, had no effect.
TEST_CASE("Queued tasks start by the priority of their queues, and among equals by their due times")
{
    RunAgentFixture agent;
    auto times = [](std::uint32_t priority) { return TaskTimes { .work_ = milliseconds(100), .priority_ = priority }; };
    agent.startRun(1, milliseconds(100), 2000, milliseconds(100), times(0));
    agent.startRun(2, milliseconds(100), 1000, milliseconds(10), times(2));
    agent.startRun(3, milliseconds(100), 1000, milliseconds(90), times(1));
    agent.startRun(4, milliseconds(100), 1000, milliseconds(80), times(1));
    REQUIRE(agent.starts_.size() == 1);
    agent.reply(0, CallAnswer::Accepted);
    agent.answerLease({ .running_ = {}, .ended_ = { { 1, { "job.0.0.1", 1 }, RunEnd::Done } } });
    agent.advance({});
    REQUIRE(agent.starts_.size() == 3);
    CHECK(agent.starts_[1].name_.task_ == "job.0.0.4");
    CHECK(agent.starts_[2].name_.task_ == "job.0.0.3");
}

// Guards against: jobs that were late already kept those from starting that could still end when they were due.
TEST_CASE("A queued task that can't end when it is due makes way for those that can, until its caller's time runs out")
{
    // The late task takes 100 ms, and its caller waits this long.
    auto [callerTimeoutMs, first] = GENERATE(table<int, std::string>({ { 1000, "job.0.0.3" }, { 130, "job.0.0.2" } }));
    RunAgentFixture agent;
    agent.startRun(1, milliseconds(100), 2000, milliseconds(100), { milliseconds(100) });
    agent.startRun(2, milliseconds(100), 2000, milliseconds(-10), { milliseconds(100), milliseconds(callerTimeoutMs) });
    agent.startRun(3, milliseconds(100), 2000, milliseconds(60), { milliseconds(100) });
    REQUIRE(agent.starts_.size() == 1);
    agent.reply(0, CallAnswer::Accepted);
    agent.answerLease({ .running_ = {}, .ended_ = { { 1, { "job.0.0.1", 1 }, RunEnd::Done } } });
    agent.advance({});
    REQUIRE(agent.starts_.size() == 2);
    CHECK(agent.starts_[1].name_.task_ == first);
}

TEST_CASE("A task without room is queued if a place is expected to become free within a fifth of its expected run time")
{
    auto [workMs, isKept] = GENERATE(table<int, bool>({ { 100, false }, { 40, true } }));
    RunAgentFixture agent;
    for (std::uint64_t run = 1; run <= 2; ++run)
        agent.startRun(run, milliseconds(100), 1000, milliseconds(100), { milliseconds(workMs) });
    agent.advance(milliseconds(33));
    agent.startRun(3, Duration(), 1000, milliseconds(100), { milliseconds(workMs) });
    CHECK(agent.ends().empty() == isKept);
    agent.advance(milliseconds(25));
    CHECK(agent.ends().size() == 1);
}

TEST_CASE("Nothing starts on a target that is draining, has departed or was replaced, or on an agent that shuts down")
{
    enum class Why {
        Draining,
        Departed,
        Closing,
        Replaced,
    };
    auto [why, reason] = GENERATE(table<Why, NotStartedReason>({ { Why::Draining, NotStartedReason::Draining }, { Why::Departed, NotStartedReason::Draining }, { Why::Closing, NotStartedReason::Draining }, { Why::Replaced, NotStartedReason::TargetUnavailable } }));
    RunAgentFixture agent;
    if (why == Why::Draining)
        agent.sendHeartbeat(true);
    else if (why == Why::Departed)
        agent.core_.handleDeparture("target", agent.now_);
    else if (why == Why::Closing)
        agent.core_.beginShutdown(agent.now_);
    else
        agent.replaceTarget("another", 2);
    agent.startRun(1);
    CHECK(agent.starts_.empty());
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].reason_ == reason);
}

TEST_CASE("The runs of a disconnected entry are stopped after the entry timeout unless it reconnects before")
{
    auto silence = GENERATE(values<int>({ 300, 600 }));
    RunAgentFixture agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::Accepted);
    agent.core_.linkClosed(link, agent.now_);
    agent.advance(milliseconds(silence));
    CHECK(agent.stops_.size() == (silence > 500 ? 1 : 0));
    agent.attach(LinkId(2), Incarnation(1));
    agent.collect();
    agent.answerLease({ .running_ = {}, .ended_ = { { 1, { "job.0.0.1", 1 }, RunEnd::Done } } });
    CHECK(agent.ends().size() == 1);
}

TEST_CASE("Ends that an entry has not confirmed are sent again on its next link, confirmed ones are not")
{
    auto isConfirmed = GENERATE(false, true);
    RunAgentFixture agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::Accepted);
    agent.answerLease({ .running_ = {}, .ended_ = { { 1, { "job.0.0.1", 1 }, RunEnd::Done } } });
    if (isConfirmed)
        agent.core_.receive(link, Wire::RunHeartbeat { .highestSeenEnd_ = 1 }, agent.now_);
    agent.attach(LinkId(2), Incarnation(1));
    agent.collect();
    CHECK(agent.ends().size() == (isConfirmed ? 1 : 2));
    CHECK(agent.aborted_ == std::vector { link });
}

TEST_CASE("An entry's address is known while it is connected and 60 s longer, however often addresses are queried")
{
    const std::set<std::string> attached { "10.0.0.1:1" };
    const std::set<std::string> both { "10.0.0.1:1", "10.0.0.9:1" };
    RunAgentFixture agent;
    agent.core_.receive(link, Wire::EntryAddresses { { "10.0.0.9:1" } }, agent.now_);
    for (int second = 0; second <= 60; ++second) {
        CHECK(agent.core_.selectEntries({}, agent.now_) == both);
        agent.advanceWithHeartbeats(std::chrono::seconds(1));
    }
    CHECK(agent.core_.selectEntries({}, agent.now_) == attached);
    agent.advance(std::chrono::seconds(60));
    CHECK(agent.core_.selectEntries({}, agent.now_) == attached);
    agent.advance(std::chrono::seconds(61));
    CHECK(agent.core_.selectEntries({}, agent.now_).empty());
}

TEST_CASE("A query for an unknown run is answered as not started")
{
    RunAgentFixture agent;
    agent.core_.receive(link, Wire::QueryRun { 9 }, agent.now_);
    agent.collect();
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].end_ == RunEnd::NotStarted);
    CHECK(agent.ends()[0].reason_ == NotStartedReason::Unknown);
}

TEST_CASE("Runs that are slow because of their target, stuck, or longer than their callers wait are reported as stalled")
{
    struct Row {
        std::string name_;
        /// Progress of the first run and of the others in 50 ms, in percent.
        std::uint32_t first_;
        std::uint32_t others_;
        int callerTimeoutMs_;
        bool isReported_;
    };
    // Three runs with an expected time of 200 ms each.
    auto row = GENERATE(values<Row>({
        { "all as expected", 25, 25, 10'000, false },
        { "only this run slow", 4, 25, 10'000, false },
        { "all runs slow", 4, 4, 10'000, true },
        { "stuck", 0, 25, 10'000, true },
        { "only this run slow, caller stops waiting before its end", 8, 25, 400, true },
        { "about as expected, caller waits just long enough", 20, 25, 400, false },
    }));
    INFO(row.name_);
    RunAgentFixture agent;
    agent.sendHeartbeatWithCapacity(4000);
    for (std::uint64_t run = 1; run <= 3; ++run) {
        agent.startRun(run, milliseconds(100), 1000, milliseconds(100), { milliseconds(200), run == 1 ? milliseconds(row.callerTimeoutMs_) : std::chrono::seconds(10) });
        agent.reply(run - 1, CallAnswer::Accepted);
    }
    for (std::uint32_t step = 1; step <= 4; ++step) {
        agent.advance(milliseconds(50));
        agent.answerLease({ .running_ = { { { "job.0.0.1", 1 }, std::min(99U, step * row.first_) }, { { "job.0.0.2", 1 }, std::min(99U, step * row.others_) }, { { "job.0.0.3", 1 }, std::min(99U, step * row.others_) } }, .ended_ = {} });
        agent.advance({});
    }
    bool isReported = std::any_of(agent.messages_.begin(), agent.messages_.end(), [](const auto& item) {
        const auto* stalled = std::get_if<Wire::RunStalled>(&item.message_);
        return stalled && stalled->run_ == 1;
    });
    CHECK(isReported == row.isReported_);
}

} // namespace Lagoonpick
