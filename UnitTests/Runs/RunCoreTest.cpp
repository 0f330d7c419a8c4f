#include "Lagoonpick/Run/RunCore.h"
#include "Lagoonpick/Run/Backlog.h"

#include <catch2/catch.hpp>

namespace Lagoonpick {

namespace {

using std::chrono::milliseconds;
using Wire::NotStartedReason;
using Wire::RunEnd;

constexpr LinkId link { 1 };

/// How long a task takes, and how long its caller waits.
struct TaskTimes {
    Duration work_ { milliseconds(1) };
    Duration patience_ { std::chrono::seconds(10) };
};

/// An agent with one entry and one target, driven by hand.
class AgentAtWork {
public:
    AgentAtWork()
        : core_(RunSettings { .name_ = "agent", .incarnation_ = Incarnation(7), .fencingToken_ = 100 })
    {
        attach(link, Incarnation(1));
        beat();
        answerLease({});
        collect();
    }

    void attach(LinkId on, Incarnation entry)
    {
        core_.opened(on, now_);
        core_.receive(on, Wire::EntryHello { .incarnation_ = entry, .name_ = "entry", .address_ = "10.0.0.1:1" }, now_);
    }

    void beat(bool isDraining = false, std::uint64_t bornAt = 1, const std::string& id = "target")
    {
        core_.receive(TargetHeartbeat { .incarnation_ = { id, bornAt }, .sequence_ = ++sequence_, .service_ = "service", .availabilityZone_ = "a", .labels_ = {}, .capacity_ = { 2000, 1000, 0 }, .isDraining_ = isDraining }, now_);
        collect();
    }

    /// A heartbeat that tells of another capacity.
    void beatWith(std::uint32_t milliCores)
    {
        core_.receive(TargetHeartbeat { .incarnation_ = { "target", 1 }, .sequence_ = ++sequence_, .service_ = "service", .availabilityZone_ = "a", .labels_ = {}, .capacity_ = { milliCores, 1000, 0 }, .isDraining_ = false }, now_);
        collect();
    }

    /// Answers every lease call that is under way with the same.
    void answerLease(LeaseReply reply)
    {
        reply.clock_ = 1000;
        reply.bornAt_ = reply.bornAt_ ? reply.bornAt_ : 1;
        reply.answer_ = CallAnswer::Accepted;
        answerLeases(reply);
    }

    void answerLeases(LeaseReply reply)
    {
        std::size_t count = leases_.size();
        for (; answered_ < count; ++answered_) {
            reply.call_ = leases_[answered_].call_;
            core_.receive(reply, now_);
        }
        collect();
    }

    void startRun(std::uint64_t run, Duration wait = milliseconds(100), std::uint32_t milliCores = 1000, Duration due = milliseconds(100), TaskTimes times = {})
    {
        core_.receive(link, Wire::StartRun { .run_ = run, .task_ = "job.0.0." + std::to_string(run), .number_ = 1, .payload_ = "p", .need_ = { milliCores, 10, 0 }, .workMicroseconds_ = static_cast<std::uint64_t>(times.work_.count()), .waitMicroseconds_ = static_cast<std::uint64_t>(wait.count()), .dueInMicroseconds_ = due.count(), .patienceMicroseconds_ = static_cast<std::uint64_t>(times.patience_.count()) }, now_);
        pass({});
    }

    void reply(std::size_t start, CallAnswer answer)
    {
        core_.receiveStartReply({ starts_.at(start).call_, answer, 1000 }, now_);
        pass({});
    }

    void pass(Duration span)
    {
        now_ += span;
        core_.tick(now_);
        collect();
    }

    /// Keeps the entry's link alive while time passes.
    void passWithPulses(Duration span)
    {
        for (Duration passed {}; passed < span; passed += milliseconds(100)) {
            core_.receive(link, Wire::Pulse {}, now_);
            pass(milliseconds(100));
        }
    }

    std::vector<Wire::RunEnded> ends() const
    {
        std::vector<Wire::RunEnded> found;
        for (const auto& item : messages_) {
            if (const auto* ended = std::get_if<Wire::RunEnded>(&item.message_))
                found.push_back(*ended);
        }
        return found;
    }

    void collect()
    {
        auto effects = core_.takeEffects();
        messages_.insert(messages_.end(), effects.messages_.begin(), effects.messages_.end());
        starts_.insert(starts_.end(), effects.starts_.begin(), effects.starts_.end());
        stops_.insert(stops_.end(), effects.stops_.begin(), effects.stops_.end());
        leases_.insert(leases_.end(), effects.leases_.begin(), effects.leases_.end());
        aborted_.insert(aborted_.end(), effects.linksToAbort_.begin(), effects.linksToAbort_.end());
    }

    Time now_ { std::chrono::hours(1) };
    RunCore core_;
    std::uint64_t sequence_ { 0 };
    std::size_t answered_ { 0 };
    std::vector<OutgoingRunMessage> messages_;
    std::vector<StartCall> starts_;
    std::vector<StopCall> stops_;
    std::vector<LeaseCall> leases_;
    std::vector<LinkId> aborted_;
};

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
    agent.core_.receive(link, Wire::Pulse { .endsSeen_ = 1 }, agent.now_);
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

TEST_CASE("A start without an answer is looked for, and goes on if it is listed")
{
    AgentAtWork agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::NoAnswer);
    CHECK(agent.stops_.empty());
    CHECK(agent.leases_.back().wait_ == Duration());
    agent.answerLease({ .running_ = { { { "job.0.0.1", 1 }, 5 } }, .ended_ = {} });
    agent.passWithPulses(milliseconds(200));
    CHECK(agent.stops_.empty());
    agent.answerLease({ .running_ = {}, .ended_ = { { 1, { "job.0.0.1", 1 }, RunEnd::Done } } });
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].end_ == RunEnd::Done);
}

TEST_CASE("After a call without an answer the target is asked for its life before anything is started or any lease extended")
{
    auto isStart = GENERATE(true, false);
    AgentAtWork agent;
    agent.startRun(1);
    if (isStart)
        agent.reply(0, CallAnswer::NoAnswer);
    else
        agent.core_.receive(LeaseReply { .call_ = agent.leases_.back().call_, .answer_ = CallAnswer::NoAnswer, .clock_ = {}, .running_ = {}, .ended_ = {} }, agent.now_);
    agent.pass({});
    std::size_t starts = agent.starts_.size();
    agent.startRun(2);
    CHECK(agent.starts_.size() == starts);
    CHECK_FALSE(agent.leases_.back().leaseUntil_);
    // The answer to a call from before proves nothing.
    agent.core_.receive(LeaseReply { .call_ = agent.leases_.front().call_, .answer_ = CallAnswer::Accepted, .clock_ = 1000, .bornAt_ = 1, .running_ = {}, .ended_ = {} }, agent.now_);
    agent.pass({});
    CHECK(agent.starts_.size() == starts);
    agent.pass(milliseconds(5));
    agent.answerLease({});
    agent.pass({});
    CHECK(agent.starts_.size() == starts + 1);
    agent.pass(milliseconds(50));
    CHECK(agent.leases_.back().leaseUntil_);
}

TEST_CASE("A start without an answer that is not listed is over only once its stop was answered and a later list lacks it")
{
    auto isLookAnswered = GENERATE(true, false);
    AgentAtWork agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::NoAnswer);
    if (isLookAnswered)
        agent.answerLease({});
    else
        agent.pass(milliseconds(60));
    REQUIRE(agent.stops_.size() == 1);
    agent.answerLease({});
    CHECK(agent.ends().empty());
    agent.now_ += milliseconds(1);
    agent.core_.receiveStopReply({ agent.stops_[0].call_, CallAnswer::Accepted, {} }, agent.now_);
    // Sent before the stop was answered: proves nothing.
    agent.answerLease({});
    CHECK(agent.ends().empty());
    agent.now_ += milliseconds(1);
    agent.answerLease({});
    agent.answerLease({});
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].end_ == RunEnd::NotStarted);
    CHECK(agent.ends()[0].reason_ == NotStartedReason::Unanswered);
}

TEST_CASE("A stop that gets no answer is sent again")
{
    AgentAtWork agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::Accepted);
    agent.core_.receive(link, Wire::StopRun { 1 }, agent.now_);
    agent.collect();
    REQUIRE(agent.stops_.size() == 1);
    agent.pass(milliseconds(60));
    CHECK(agent.stops_.size() == 2);
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

TEST_CASE("A process that stood still drops its links before it acts on what they hold")
{
    AgentAtWork agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::Accepted);
    agent.now_ += std::chrono::seconds(2);
    agent.core_.resume(std::chrono::seconds(2), agent.now_);
    agent.collect();
    CHECK(agent.aborted_ == std::vector { link });
    agent.startRun(2);
    CHECK(agent.starts_.size() == 1);
}

TEST_CASE("A link whose other end had not said who it is when the process stood still is dropped as well")
{
    AgentAtWork agent;
    agent.core_.opened(LinkId(2), agent.now_);
    agent.now_ += std::chrono::seconds(2);
    agent.core_.resume(std::chrono::seconds(2), agent.now_);
    agent.core_.receive(LinkId(2), Wire::EntryHello { .incarnation_ = Incarnation(2), .name_ = "entry", .address_ = "10.0.0.2:1" }, agent.now_);
    agent.core_.receive(LinkId(2), Wire::StartRun { .run_ = 1, .task_ = "job.0.0.0", .need_ = { 1000, 10, 0 }, .waitMicroseconds_ = 1000 }, agent.now_);
    agent.pass({});
    CHECK(agent.starts_.empty());
    CHECK(agent.aborted_.size() == 2);
}

TEST_CASE("Runs that another life of the agent left are stopped before anything starts")
{
    AgentAtWork agent;
    LeaseReply listed { .running_ = { { { "old.0.0.0", 3 }, 10 } }, .ended_ = {} };
    agent.answerLease(listed);
    // It may have been overtaken by the news of its end.
    CHECK(agent.stops_.empty());
    agent.now_ += milliseconds(1);
    agent.answerLease(listed);
    agent.answerLease(listed);
    REQUIRE(agent.stops_.size() == 1);
    CHECK(agent.stops_[0].name_.task_ == "old.0.0.0");
    agent.startRun(1);
    CHECK(agent.starts_.empty());
    CHECK(agent.ends().back().reason_ == NotStartedReason::TargetUnavailable);
    agent.pass(milliseconds(30));
    CHECK_FALSE(agent.leases_.back().leaseUntil_);
    agent.answerLease({ .running_ = {}, .ended_ = { { 1, { "old.0.0.0", 3 }, RunEnd::Stopped } } });
    agent.startRun(2);
    CHECK(agent.starts_.size() == 1);
}

TEST_CASE("A target that does not answer is left to its lease's end, then its runs are lost")
{
    AgentAtWork agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::Accepted);
    for (int i = 0; i < 3; ++i) {
        agent.passWithPulses(milliseconds(300));
        agent.answerLeases({ .answer_ = CallAnswer::NoAnswer, .clock_ = {}, .running_ = {}, .ended_ = {} });
        agent.passWithPulses(milliseconds(100));
    }
    CHECK_FALSE(agent.leases_.back().leaseUntil_);
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].end_ == RunEnd::Lost);
}

TEST_CASE("A start that reached a target's new life is not lost with the old one")
{
    AgentAtWork agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::Accepted);
    agent.answerLease({ .bornAt_ = 2, .running_ = { { { "job.0.0.1", 1 }, 5 } }, .ended_ = {} });
    CHECK(agent.ends().empty());
    CHECK(agent.stops_.empty());
}

TEST_CASE("Ends that an entry has not confirmed are told again on its next link, confirmed ones are not")
{
    auto isConfirmed = GENERATE(false, true);
    AgentAtWork agent;
    agent.startRun(1);
    agent.reply(0, CallAnswer::Accepted);
    agent.answerLease({ .running_ = {}, .ended_ = { { 1, { "job.0.0.1", 1 }, RunEnd::Done } } });
    if (isConfirmed)
        agent.core_.receive(link, Wire::Pulse { .endsSeen_ = 1 }, agent.now_);
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

TEST_CASE("A table of addresses stays bounded and makes room by giving up old ones")
{
    AddressTable table;
    Time now { std::chrono::hours(1) };
    for (int i = 0; i < 3000; ++i)
        table.note("10.0.0.1:" + std::to_string(i), now);
    CHECK(table.addresses(now).size() == 1024);
    now += std::chrono::minutes(2);
    table.note("10.0.0.2:1", now);
    CHECK(table.addresses(now) == std::vector<std::string> { "10.0.0.2:1" });
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

TEST_CASE("What an earlier life kept of the target opens it at once, unless it leaves or has spoken since")
{
    struct Row {
        bool isDraining_;
        bool hasSpoken_;
        bool isOpen_;
    };
    auto row = GENERATE(values<Row>({ { false, false, true }, { true, false, false }, { false, true, false } }));
    RunCore core(RunSettings { .name_ = "agent", .incarnation_ = Incarnation(7), .fencingToken_ = 100 });
    Time now { std::chrono::hours(1) };
    TargetHeartbeat heartbeat { .incarnation_ = { "target", 1 }, .sequence_ = 0, .service_ = "service", .availabilityZone_ = "a", .labels_ = {}, .capacity_ = { 1000, 1000, 0 } };
    if (row.hasSpoken_) {
        auto leaving = heartbeat;
        leaving.sequence_ = 5;
        leaving.isDraining_ = true;
        core.receive(leaving, now);
    }
    heartbeat.isDraining_ = row.isDraining_;
    core.restore(heartbeat, now);
    auto leases = core.takeEffects().leases_;
    REQUIRE(leases.size() == 1);
    CHECK_FALSE(leases[0].leaseUntil_);
    core.receive(LeaseReply { .call_ = leases[0].call_, .answer_ = CallAnswer::Accepted, .clock_ = 5, .bornAt_ = 1, .running_ = {}, .ended_ = {} }, now);
    core.opened(link, now);
    core.receive(link, Wire::EntryHello { .incarnation_ = Incarnation(1), .name_ = "entry", .address_ = "10.0.0.1:1" }, now);
    core.receive(link, Wire::StartRun { .run_ = 1, .task_ = "job.0.0.0", .need_ = { 1000, 10, 0 }, .waitMicroseconds_ = 1000 }, now);
    core.tick(now);
    CHECK(core.takeEffects().starts_.size() == (row.isOpen_ ? 1 : 0));
}

TEST_CASE("Heartbeats that were overtaken or belong to an earlier life change nothing")
{
    struct Row {
        TargetHeartbeat late_;
        std::string name_;
    };
    auto row = GENERATE(values<Row>({
        { { .incarnation_ = { "target", 5 }, .sequence_ = 3, .isDraining_ = false }, "overtaken" },
        { { .incarnation_ = { "target", 4 }, .sequence_ = 9, .isDraining_ = false }, "earlier birth" },
        { { .incarnation_ = { "other", 4 }, .sequence_ = 9, .isDraining_ = false }, "earlier target at the same address" },
        { { .incarnation_ = { "target", 5 }, .sequence_ = 5, .isDraining_ = false }, "a target that leaves does not come back within a life" },
    }));
    INFO(row.name_);
    TargetState target;
    CHECK(target.update({ .incarnation_ = { "target", 5 }, .sequence_ = 4, .isDraining_ = true }) == TargetState::Change::NewIncarnation);
    target.update(row.late_);
    CHECK_FALSE(target.takesWork());
    CHECK(target.incarnation() == TargetIncarnation { "target", 5 });
}

TEST_CASE("A target is suspect once the last runs of several jobs failed, and no longer once most are done again")
{
    struct Row {
        std::vector<std::string> failedJobs_;
        bool isSuspect_;
    };
    auto row = GENERATE(values<Row>({ { { "a" }, false }, { { "a", "a", "a", "a" }, false }, { { "a", "b" }, false }, { { "a", "b", "c" }, true } }));
    TargetMonitor monitor;
    for (const auto& job : row.failedJobs_)
        monitor.recordFailure(job);
    CHECK(monitor.isSuspect() == row.isSuspect_);
    monitor.recordDone(milliseconds(10), milliseconds(10), Time(milliseconds(1)));
    CHECK(monitor.isSuspect() == row.isSuspect_);
    for (int i = 0; i < 10; ++i)
        monitor.recordDone(milliseconds(10), milliseconds(10), Time(milliseconds(1)));
    CHECK_FALSE(monitor.isSuspect());
}

TEST_CASE("A run's pace foretells its time once it is known, and follows the newest part of the run")
{
    struct Row {
        std::string name_;
        /// What the lists say, 50 ms apart.
        std::vector<std::uint32_t> percents_;
        std::optional<int> totalMs_;
        bool isStuck_;
    };
    // Expected to take 500 ms.
    auto row = GENERATE(values<Row>({
        { "too new", { 10 }, std::nullopt, false },
        { "as expected", { 9, 19, 29 }, 500, false },
        { "five times as slow", { 2, 4, 6, 8 }, 2500, false },
        { "turned slow", { 20, 40, 42, 44, 46, 48 }, 2500, false },
        { "stuck", { 20, 20, 20, 20, 20, 20, 20, 20 }, 3'600'000, true },
        { "never began to move", { 0, 0, 0, 0, 0, 0, 0, 0 }, 3'600'000, true },
    }));
    INFO(row.name_);
    Time now { std::chrono::hours(1) };
    RunProgress progress;
    CHECK_FALSE(progress.total());
    progress.begin(milliseconds(500), now);
    for (std::uint32_t percent : row.percents_) {
        now += milliseconds(50);
        progress.note(percent, now);
    }
    CHECK(progress.isStuck() == row.isStuck_);
    REQUIRE(progress.total().has_value() == row.totalMs_.has_value());
    if (row.totalMs_)
        CHECK(static_cast<double>(progress.total()->count()) == Approx(*row.totalMs_ * 1000.0).epsilon(0.15));
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

TEST_CASE("A target's backlog is the time until a place is free, by what runs and waits there")
{
    struct Row {
        int running_;
        int waiting_;
        int backlogMs_;
    };
    // Two places, 100 ms of work each, slowness 2, half done.
    auto row = GENERATE(values<Row>({ { 0, 0, 0 }, { 1, 0, 0 }, { 2, 0, 100 }, { 2, 1, 100 }, { 2, 2, 300 }, { 2, 5, 500 } }));
    Time now { std::chrono::hours(1) };
    RunTable runs;
    for (int i = 0; i < row.running_ + row.waiting_; ++i)
        runs.add({ .need_ = { 1000, 1, 0 }, .work_ = milliseconds(100), .phase_ = i < row.running_ ? RunPhase::Running : RunPhase::Queued, .startSentAt_ = now - milliseconds(100) });
    CHECK(expectedBacklog(runs, { 2000, 100, 0 }, 2, now) == milliseconds(row.backlogMs_));
}

TEST_CASE("The common times leave no overlap whatever the platform's limits")
{
    auto maxLease = GENERATE(values<int>({ 200, 1000, 5000 }));
    auto stop = GENERATE(values<int>({ 5, 50, 200 }));
    auto resend = GENERATE(values<int>({ 1000, 1300, 4000 }));
    auto times = RunTimes::derive(milliseconds(maxLease), milliseconds(stop), milliseconds(resend));
    CHECK(times.lease_ <= milliseconds(maxLease));
    CHECK(times.entryTimeout_ + times.stopTimeout_ < milliseconds(resend));
    CHECK(times.lease_ * 102 / 100 + times.stopTimeout_ < milliseconds(resend));
    CHECK(times.orphanTimeout_ > times.lease_ * 102 / 100 + times.stopTimeout_);
    CHECK(times.orphanTimeout_ > times.entryTimeout_ + times.stopTimeout_);
}

} // namespace Lagoonpick
