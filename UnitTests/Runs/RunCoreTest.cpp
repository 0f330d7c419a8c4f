#include "UnitTests/Runs/AgentAtWork.h"

#include <catch2/catch.hpp>

namespace Lagoonpick {

namespace {

using std::chrono::milliseconds;
using Wire::NotStartedReason;
using Wire::RunEnd;

} // namespace

TEST_CASE("A run's end reaches its entry as the target tells it")
{
    auto [end, expected] = GENERATE(table<RunEnd, RunEnd>({ { RunEnd::Done, RunEnd::Done }, { RunEnd::Failed, RunEnd::Failed }, { RunEnd::Stopped, RunEnd::Stopped } }));
    AgentAtWork agent;
    agent.startRun(1);
    REQUIRE(agent.starts_.size() == 1);
    CHECK(agent.starts_[0].leaseUntil_ == 1700);
    agent.reply(0, CallAnswer::Accepted);
    agent.answerLease({ .running_ = {}, .ended_ = { { 1, { "job.0.0.1", 1 }, end } } });
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].end_ == expected);
    CHECK(agent.leases_.back().endsSeen_ == 1);
    // A process that ended now would take the news with it.
    CHECK_FALSE(agent.core_.isIdle());
    agent.core_.receive(link, Wire::RunHeartbeat { .endsSeen_ = 1 }, agent.now_);
    CHECK(agent.core_.isIdle());
}

TEST_CASE("What a target answers to a start decides what becomes of the run")
{
    struct Row {
        CallAnswer answer_;
        /// Ends at once with this, if set.
        std::optional<NotStartedReason> reason_;
        bool isStopped_;
        bool isSentAgain_;
    };
    // No answer at all: the next test.
    auto row = GENERATE(values<Row>({
        { CallAnswer::OldNumber, NotStartedReason::OldNumber, false, false },
        { CallAnswer::Rejected, NotStartedReason::Rejected, false, false },
        { CallAnswer::Malformed, NotStartedReason::Rejected, false, false },
        { CallAnswer::WrongTarget, NotStartedReason::TargetUnavailable, false, false },
        { CallAnswer::Fenced, {}, false, true },
        { CallAnswer::Late, {}, false, true },
        { CallAnswer::NoAnswer, {}, false, false },
    }));
    AgentAtWork agent;
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

TEST_CASE("What does not fit waits, the earliest due first, or is returned at once, with a report before it")
{
    AgentAtWork agent;
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
    agent.pass({});
    REQUIRE(agent.starts_.size() == 3);
    CHECK(agent.starts_[2].name_.task_ == "job.0.0.4");
    agent.passWithPulses(milliseconds(100));
    CHECK(agent.ends().back().run_ == 3);
    CHECK(agent.ends().back().reason_ == NotStartedReason::NoRoom);
}

TEST_CASE("A task that there is no room for stays if a place is free soon, for a fifth of its work")
{
    auto [workMs, isKept] = GENERATE(table<int, bool>({ { 100, false }, { 40, true } }));
    AgentAtWork agent;
    for (std::uint64_t run = 1; run <= 2; ++run)
        agent.startRun(run, milliseconds(100), 1000, milliseconds(100), { milliseconds(workMs) });
    agent.pass(milliseconds(33));
    agent.startRun(3, Duration(), 1000, milliseconds(100), { milliseconds(workMs) });
    CHECK(agent.ends().empty() == isKept);
    agent.pass(milliseconds(25));
    CHECK(agent.ends().size() == 1);
}

TEST_CASE("Nothing starts on a target that is not known, leaves, or was lost")
{
    enum class Why {
        Draining,
        Departed,
        Closing,
        Replaced,
    };
    auto [why, reason] = GENERATE(table<Why, NotStartedReason>({ { Why::Draining, NotStartedReason::Draining }, { Why::Departed, NotStartedReason::Draining }, { Why::Closing, NotStartedReason::Draining }, { Why::Replaced, NotStartedReason::TargetUnavailable } }));
    AgentAtWork agent;
    if (why == Why::Draining)
        agent.beat(true);
    else if (why == Why::Departed)
        agent.core_.depart("target", agent.now_);
    else if (why == Why::Closing)
        agent.core_.beginShutdown(agent.now_);
    else
        agent.beat(false, 2, "another");
    agent.startRun(1);
    CHECK(agent.starts_.empty());
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].reason_ == reason);
}

TEST_CASE("The runs of an entry that falls silent are stopped, those of one that comes back in time are not")
{
    auto silence = GENERATE(values<int>({ 300, 600 }));
    AgentAtWork agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::Accepted);
    agent.core_.closed(link, agent.now_);
    agent.pass(milliseconds(silence));
    CHECK(agent.stops_.size() == (silence > 500 ? 1 : 0));
    agent.attach(LinkId(2), Incarnation(1));
    agent.collect();
    agent.answerLease({ .running_ = {}, .ended_ = { { 1, { "job.0.0.1", 1 }, RunEnd::Done } } });
    CHECK(agent.ends().size() == 1);
}

TEST_CASE("Ends that an entry has not confirmed are told again on its next link, confirmed ones are not")
{
    auto isConfirmed = GENERATE(false, true);
    AgentAtWork agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::Accepted);
    agent.answerLease({ .running_ = {}, .ended_ = { { 1, { "job.0.0.1", 1 }, RunEnd::Done } } });
    if (isConfirmed)
        agent.core_.receive(link, Wire::RunHeartbeat { .endsSeen_ = 1 }, agent.now_);
    agent.attach(LinkId(2), Incarnation(1));
    agent.collect();
    CHECK(agent.ends().size() == (isConfirmed ? 1 : 2));
    CHECK(agent.aborted_ == std::vector { link });
}

TEST_CASE("An entry's address is tried while it is there and for a while after, however often it is asked for")
{
    const std::set<std::string> attached { "10.0.0.1:1" };
    const std::set<std::string> both { "10.0.0.1:1", "10.0.0.9:1" };
    AgentAtWork agent;
    agent.core_.receive(link, Wire::EntryAddresses { { "10.0.0.9:1" } }, agent.now_);
    for (int second = 0; second <= 60; ++second) {
        CHECK(agent.core_.entryAddresses(agent.now_) == both);
        agent.passWithPulses(std::chrono::seconds(1));
    }
    CHECK(agent.core_.entryAddresses(agent.now_) == attached);
    agent.pass(std::chrono::seconds(60));
    CHECK(agent.core_.entryAddresses(agent.now_) == attached);
    agent.pass(std::chrono::seconds(61));
    CHECK(agent.core_.entryAddresses(agent.now_).empty());
}

TEST_CASE("An agent that does not know a run says so, and never starts it")
{
    AgentAtWork agent;
    agent.core_.receive(link, Wire::QueryRun { 9 }, agent.now_);
    agent.collect();
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].end_ == RunEnd::NotStarted);
    CHECK(agent.ends()[0].reason_ == NotStartedReason::Unknown);
}

TEST_CASE("Runs that a slow target holds up, that are stuck, or that outlast their callers are told of")
{
    struct Row {
        std::string name_;
        /// Done in 50 ms of the first run, and of the others.
        std::uint32_t first_;
        std::uint32_t others_;
        int patienceMs_;
        bool isTold_;
    };
    // Three runs of 200 ms each.
    auto row = GENERATE(values<Row>({
        { "all as expected", 25, 25, 10'000, false },
        { "slow by itself", 4, 25, 10'000, false },
        { "a slow target", 4, 4, 10'000, true },
        { "stuck", 0, 25, 10'000, true },
        { "slow by itself, its caller leaves before", 8, 25, 400, true },
        { "as expected, its caller stays just long enough", 20, 25, 400, false },
    }));
    INFO(row.name_);
    AgentAtWork agent;
    agent.beatWith(4000);
    for (std::uint64_t run = 1; run <= 3; ++run) {
        agent.startRun(run, milliseconds(100), 1000, milliseconds(100), { milliseconds(200), run == 1 ? milliseconds(row.patienceMs_) : std::chrono::seconds(10) });
        agent.reply(run - 1, CallAnswer::Accepted);
    }
    for (std::uint32_t step = 1; step <= 4; ++step) {
        agent.pass(milliseconds(50));
        agent.answerLease({ .running_ = { { { "job.0.0.1", 1 }, std::min(99U, step * row.first_) }, { { "job.0.0.2", 1 }, std::min(99U, step * row.others_) }, { { "job.0.0.3", 1 }, std::min(99U, step * row.others_) } }, .ended_ = {} });
        agent.pass({});
    }
    bool isTold = std::any_of(agent.messages_.begin(), agent.messages_.end(), [](const auto& item) {
        const auto* stalled = std::get_if<Wire::RunStalled>(&item.message_);
        return stalled && stalled->run_ == 1;
    });
    CHECK(isTold == row.isTold_);
}

} // namespace Lagoonpick
