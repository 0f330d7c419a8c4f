#include "Lagoonpick/Run/AddressTable.h"
#include "Lagoonpick/Run/Backlog.h"
#include "Lagoonpick/Run/LeaseTiming.h"
#include "Lagoonpick/Run/RunProgress.h"
#include "Lagoonpick/Run/TargetMonitor.h"
#include "Lagoonpick/Wire/RunLimits.h"

#include <array>
#include <catch2/catch.hpp>

namespace Lagoonpick {

namespace {

using std::chrono::milliseconds;

} // namespace

TEST_CASE("A full table of addresses takes no new ones until old ones have expired")
{
    AddressTable table;
    Time now { std::chrono::hours(1) };
    for (int i = 0; i < 3000; ++i)
        table.record("10.0.0.1:" + std::to_string(i), now);
    CHECK(table.addresses(now).size() == 1024);
    now += std::chrono::minutes(2);
    table.record("10.0.0.2:1", now);
    CHECK(table.addresses(now) == std::vector<std::string> { "10.0.0.2:1" });
}

// Guards against: an odd entry in the list was resolved by name and took one of the few links of an agent.
TEST_CASE("An address to which no connection can be made is not kept")
{
    AddressTable table;
    auto address = GENERATE(values<std::string>({ "", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:1e3", "10.0.0.1:-1", "host:1", "::1:1", "[[[[", "\xff\xfe:1" }));
    INFO(address);
    table.record(address, Time());
    CHECK(table.addresses(Time()).empty());
}

TEST_CASE("A target is suspect once the latest runs of several jobs failed, until most runs succeed again")
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

// Guards against: a target that hangs got runs until several of them had been given up.
TEST_CASE("Two stuck runs of different jobs make a target suspect")
{
    auto [jobs, isSuspect] = GENERATE(table<std::vector<std::string>, bool>({ { { "a" }, false }, { { "a", "a" }, false }, { { "a", "b" }, true } }));
    TargetMonitor monitor;
    for (const auto& job : jobs)
        monitor.recordStuck(job, Time(std::chrono::seconds(1)));
    CHECK(monitor.isSuspect() == isSuspect);
}

// Guards against: the ends of runs from before a target hung made it trusted again, so that it got another wave of runs.
TEST_CASE("Only runs that began after the latest stuck one show that a target has recovered")
{
    auto [tookMs, isSuspect] = GENERATE(table<int, bool>({ { 900, true }, { 100, false } }));
    TargetMonitor monitor;
    const Time stuckBegan { std::chrono::seconds(1) };
    monitor.recordStuck("a", stuckBegan);
    monitor.recordStuck("b", stuckBegan);
    for (int i = 0; i < 10; ++i)
        monitor.recordDone(milliseconds(tookMs), milliseconds(tookMs), stuckBegan + milliseconds(500));
    CHECK(monitor.isSuspect() == isSuspect);
}

TEST_CASE("A run's total time is estimated from the progress rate of its most recent part once enough has been measured")
{
    struct Row {
        std::string name_;
        /// The percentages in the target's lists, 50 ms apart.
        std::vector<std::uint32_t> percents_;
        std::optional<int> totalMs_;
        bool isStuck_;
    };
    // The run is expected to take 500 ms.
    auto row = GENERATE(values<Row>({
        { "too new", { 10 }, std::nullopt, false },
        { "as expected", { 9, 19, 29 }, 500, false },
        { "five times as slow", { 2, 4, 6, 8 }, 2500, false },
        { "became slow", { 20, 40, 42, 44, 46, 48 }, 2500, false },
        { "stuck", { 20, 20, 20, 20, 20, 20, 20, 20 }, 3'600'000, true },
        { "no progress from the start", { 0, 0, 0, 0, 0, 0, 0, 0 }, 3'600'000, true },
    }));
    INFO(row.name_);
    Time now { std::chrono::hours(1) };
    RunProgress progress;
    CHECK_FALSE(progress.total());
    progress.begin(milliseconds(500), now);
    for (std::uint32_t percent : row.percents_) {
        now += milliseconds(50);
        progress.record(percent, now);
    }
    CHECK(progress.isStuck() == row.isStuck_);
    REQUIRE(progress.total().has_value() == row.totalMs_.has_value());
    if (row.totalMs_)
        CHECK(static_cast<double>(progress.total()->count()) == Approx(*row.totalMs_ * 1000.0).epsilon(0.15));
}

TEST_CASE("A target's backlog is the time until a place becomes free, estimated from its running and queued runs")
{
    struct Row {
        int running_;
        int waiting_;
        int backlogMs_;
    };
    // Two places; each run has an expected time of 100 ms and takes 200 ms at slowdown 2; running ones are half done.
    auto row = GENERATE(values<Row>({ { 0, 0, 0 }, { 1, 0, 0 }, { 2, 0, 100 }, { 2, 1, 100 }, { 2, 2, 300 }, { 2, 5, 500 } }));
    Time now { std::chrono::hours(1) };
    RunTable runs;
    for (int i = 0; i < row.running_ + row.waiting_; ++i)
        runs.add({ .need_ = { 1000, 1, 0 }, .work_ = milliseconds(100), .phase_ = i < row.running_ ? RunPhase::Running : RunPhase::Queued, .startSentAt_ = now - milliseconds(100) });
    CHECK(Backlog(runs, { 2000, 100, 0 }, 2, now).waitOf({ 0, now }) == milliseconds(row.backlogMs_));
}

// Guards against: the room of a straggler counted as free soon, since its expected time was over, and that of a recalled one as taken.
TEST_CASE("A run's room counts as taken for as long as its progress shows, and that of a run being stopped until the stop is done")
{
    struct Row {
        std::string name_;
        RunPhase phase_;
        /// Progress in 50 ms, in percent.
        std::uint32_t rate_;
        int waitMs_;
    };
    // The run is expected to take 100 ms and has lasted 500 ms.
    auto row = GENERATE(values<Row>({
        { "straggler of 1 s", RunPhase::Running, 5, 500 },
        { "straggler of 5 s", RunPhase::Running, 1, 4500 },
        { "straggler that is being stopped", RunPhase::Stopping, 1, 50 },
        { "about to end, being stopped", RunPhase::Stopping, 9, 50 },
    }));
    INFO(row.name_);
    Time now { std::chrono::hours(1) };
    RunTable runs;
    Run run { .need_ = { 1000, 1, 0 }, .work_ = milliseconds(100), .phase_ = row.phase_, .startSentAt_ = now };
    run.progress_.begin(run.work_, now);
    for (std::uint32_t step = 1; step <= 10; ++step) {
        now += milliseconds(50);
        run.progress_.record(step * row.rate_, now);
    }
    runs.add(run);
    Duration wait = Backlog(runs, { 1000, 100, 0 }, 1, now).firstWait();
    CHECK(static_cast<double>(wait.count()) == Approx(row.waitMs_ * 1000.0).epsilon(0.1));
}

// Guards against: callers were refused for a wait that only less urgent work would have had.
TEST_CASE("Only what starts before a task counts to the backlog that it finds")
{
    struct Queued {
        std::uint32_t priority_;
        int dueInMs_;
    };
    struct Row {
        std::vector<Queued> queued_;
        Queued task_;
        int waitMs_;
    };
    // One place, free in 100 ms; each run takes 100 ms.
    auto row = GENERATE(values<Row>({
        { {}, { 0, 0 }, 100 },
        { { { 1, 50 } }, { 0, 500 }, 100 },
        { { { 1, 50 } }, { 1, 40 }, 100 },
        { { { 1, 50 } }, { 1, 60 }, 200 },
        { { { 1, 50 } }, { 2, 0 }, 200 },
        { { { 2, 50 }, { 1, 70 }, { 2, 10 } }, { 1, 100 }, 200 },
        { { { 2, 50 }, { 1, 70 }, { 2, 10 } }, { 2, 0 }, 200 },
        { { { 2, 50 }, { 1, 70 }, { 2, 10 } }, { 2, 20 }, 300 },
        { { { 2, 50 }, { 1, 70 }, { 2, 10 } }, { 2, 90 }, 400 },
    }));
    Time now { std::chrono::hours(1) };
    RunTable runs;
    runs.add({ .need_ = { 1000, 1, 0 }, .work_ = milliseconds(100), .phase_ = RunPhase::Running, .startSentAt_ = now });
    for (const auto& queued : row.queued_)
        runs.add({ .need_ = { 1000, 1, 0 }, .work_ = milliseconds(100), .order_ = { queued.priority_, now + milliseconds(queued.dueInMs_) } });
    const StartOrder task { row.task_.priority_, now + milliseconds(row.task_.dueInMs_) };
    Backlog backlog(runs, { 1000, 100, 0 }, 1, now);
    CHECK(backlog.waitOf(task) == milliseconds(row.waitMs_));
    const Wire::TargetReport report { .backlogMicroseconds_ = static_cast<std::uint64_t>(backlog.firstWait().count()), .queuedBacklogs_ = backlog.report(now) };
    CHECK(Backlog(report, now).waitOf(task) == milliseconds(row.waitMs_));
}

TEST_CASE("A report gives the backlog at a bounded number of places, the last one among them, to within a sixteenth of the longest wait")
{
    auto count = GENERATE(values<int>({ 1, 15, 16, 17, 100 }));
    Time now { std::chrono::hours(1) };
    RunTable runs;
    for (int i = 0; i < count; ++i)
        runs.add({ .need_ = { 1000, 1, 0 }, .work_ = milliseconds(100), .order_ = { 0, now + milliseconds(i) } });
    Backlog backlog(runs, { 1000, 100, 0 }, 1, now);
    auto rows = backlog.report(now);
    CHECK(rows.size() <= Wire::maxQueuedBacklogs);
    CHECK(rows.back().waitMicroseconds_ == static_cast<std::uint64_t>(count) * 100'000);
    Backlog reported({ .queuedBacklogs_ = rows }, now);
    for (int i = 0; i < count; ++i) {
        const StartOrder order { 0, now + milliseconds(i) };
        CHECK(reported.waitOf(order) <= backlog.waitOf(order));
        CHECK(backlog.waitOf(order) - reported.waitOf(order) <= milliseconds(100) * count / 16);
    }
}

TEST_CASE("The derived lease and timeouts prevent overlapping runs for all limits of the platform")
{
    auto maxLease = GENERATE(values<int>({ 200, 1000, 5000 }));
    auto stop = GENERATE(values<int>({ 5, 50, 200 }));
    auto resend = GENERATE(values<int>({ 1000, 1300, 4000 }));
    auto times = LeaseTiming::derive(milliseconds(maxLease), milliseconds(stop), milliseconds(resend));
    CHECK(times.lease_ <= milliseconds(maxLease));
    CHECK(times.entryTimeout_ > Duration());
    // An agent may extend a lease until just before the entry's time is over.
    Duration longest = times.entryTimeout_ + times.lease_ * 102 / 100 + times.stopTimeout_;
    CHECK(longest < times.orphanTimeout_);
    CHECK(longest < milliseconds(resend));
}

} // namespace Lagoonpick
