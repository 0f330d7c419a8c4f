#include "UnitTests/Runs/JobEntryFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace Lagoonpick {

namespace {

using std::chrono::milliseconds;
using Wire::NotStartedReason;
using Wire::RunEnd;

} // namespace

TEST_CASE("A job is done when its last task is done, and a request that arrives after the answer gets the same answer")
{
    JobEntryFixture entry;
    entry.submit(makeRequest("job", 2));
    REQUIRE(entry.starts_.size() == 2);
    entry.end(0, RunEnd::Done);
    CHECK(entry.answers_.empty());
    entry.submit(makeRequest("job", 2), 2);
    entry.end(1, RunEnd::Done);
    REQUIRE(entry.answers_.size() == 2);
    entry.submit(makeRequest("job", 2), 3);
    REQUIRE(entry.answers_.size() == 3);
    CHECK(std::all_of(entry.answers_.begin(), entry.answers_.end(), [](const auto& answer) { return answer.jobOutcome_ == JobOutcome::Done; }));
    CHECK(entry.starts_.size() == 2);
}

TEST_CASE("A job fails once a task has failed as often as its queue allows; runs that ended otherwise are retried")
{
    auto [end, reason, isFailed] = GENERATE(table<RunEnd, NotStartedReason, bool>({
        { RunEnd::Failed, NotStartedReason::None, true },
        { RunEnd::Lost, NotStartedReason::None, false },
        { RunEnd::Stopped, NotStartedReason::None, false },
        { RunEnd::NotStarted, NotStartedReason::Rejected, false },
        { RunEnd::NotStarted, NotStartedReason::StaleStartNumber, false },
    }));
    JobEntryFixture entry;
    entry.submit(makeRequest("job"));
    entry.end(0, end, reason);
    REQUIRE(entry.starts_.size() == 2);
    CHECK(entry.starts_[1].second.number_ > entry.starts_[0].second.number_);
    entry.end(1, end, reason);
    CHECK(entry.answers_.size() == (isFailed ? 1 : 0));
    if (isFailed)
        CHECK(entry.answers_[0].jobOutcome_ == JobOutcome::Failed);
}

TEST_CASE("A job is answered as rejected only if none of its tasks has begun")
{
    struct Row {
        RunEnd first_;
        JobOutcome jobOutcome_;
    };
    auto row = GENERATE(values<Row>({ { RunEnd::NotStarted, JobOutcome::Rejected }, { RunEnd::Lost, JobOutcome::GivenUp } }));
    JobEntryFixture entry;
    entry.submit(makeRequest("job"));
    entry.advance(milliseconds(1440));
    // The deadline is too near for another attempt.
    entry.end(0, row.first_, row.first_ == RunEnd::NotStarted ? NotStartedReason::Rejected : NotStartedReason::None);
    REQUIRE(entry.answers_.size() == 1);
    CHECK(entry.answers_[0].jobOutcome_ == row.jobOutcome_);
}

TEST_CASE("A task that targets do not start or that is lost each time is started a bounded number of times")
{
    struct Row {
        RunEnd end_;
        NotStartedReason reason_;
        JobOutcome jobOutcome_;
    };
    auto row = GENERATE(values<Row>({
        { RunEnd::NotStarted, NotStartedReason::Rejected, JobOutcome::Rejected },
        { RunEnd::NotStarted, NotStartedReason::StaleStartNumber, JobOutcome::Rejected },
        { RunEnd::Lost, NotStartedReason::None, JobOutcome::GivenUp },
    }));
    // The two attempts that the queue allows and six more.
    constexpr std::size_t maxStarts = 8;
    JobEntryFixture entry(4);
    entry.submit(makeRequest("job"));
    for (std::size_t start = 0; start < 100 && entry.answers_.empty(); ++start) {
        REQUIRE(entry.starts_.size() == start + 1);
        entry.end(start, row.end_, row.reason_);
    }
    CHECK(entry.starts_.size() == maxStarts);
    REQUIRE(entry.answers_.size() == 1);
    CHECK(entry.answers_[0].jobOutcome_ == row.jobOutcome_);
    CHECK(entry.answers_[0].failureReason_ == JobFailureReason::TargetsFailed);
}

TEST_CASE("A job that reaches its deadline is given up in time and its runs are stopped")
{
    JobEntryFixture entry;
    entry.submit(makeRequest("job", 2));
    // Its caller waits 1,500 ms, and the answer takes a few of them.
    entry.advance(milliseconds(1480));
    REQUIRE(entry.answers_.size() == 1);
    CHECK(entry.answers_[0].jobOutcome_ == JobOutcome::GivenUp);
    CHECK(entry.stops_ >= 2);
    CHECK(entry.core_.jobCount() == 0);
}

// Guards against: a caller was kept waiting until its time was over, though its job could no longer be done in it.
TEST_CASE("A job that can't end any more while its caller waits is answered at once")
{
    // How long the target that returned the task is busy, and whether the job goes on.
    auto [backlogMs, isHeld] = GENERATE(table<std::uint64_t, bool>({ { 200, true }, { 1200, true }, { 1300, false }, { 5000, false } }));
    JobEntryFixture entry(1);
    entry.submit(makeRequest("job"));
    entry.advance(milliseconds(20));
    auto full = fullReport(backlogMs * 1000);
    entry.core_.receive(LinkId(1), full, entry.now_);
    entry.end(0, RunEnd::NotStarted, NotStartedReason::NoRoom);
    CHECK(entry.core_.isHeld("job") == isHeld);
    REQUIRE(entry.answers_.size() == (isHeld ? 0 : 1));
    if (!isHeld)
        CHECK(entry.answers_[0].jobOutcome_ == JobOutcome::Rejected);
}

TEST_CASE("A task waits at a target for at most twice the expected wait, and no longer than it can still end while its caller waits")
{
    auto [backlogMs, callerTimeoutMs, waitMs] = GENERATE(table<std::uint64_t, int, int>({ { 0, 1500, 200 }, { 300, 1500, 800 }, { 300, 640, 500 }, { 900, 1500, 1360 } }));
    JobEntryFixture entry(1);
    auto full = fullReport(backlogMs * 1000);
    entry.core_.receive(LinkId(1), full, entry.now_);
    JobRequest request = makeRequest("job");
    request.callerTimeout_ = milliseconds(callerTimeoutMs);
    entry.submit(request);
    REQUIRE(entry.starts_.size() == 1);
    // 100 ms for the overflow are added to the backlog.
    CHECK(entry.starts_[0].second.waitMicroseconds_ == static_cast<std::uint64_t>(waitMs) * 1000);
}

// Guards against: a task whose attempts are limited failed again on the target where it had failed, since that was the faster one.
TEST_CASE("A task that failed goes to another target, also to a slower one")
{
    JobEntryFixture entry;
    auto slow = openReport();
    slow.slowdownPermille_ = 10'000;
    entry.core_.receive(LinkId(2), slow, entry.now_);
    entry.submit(makeRequest("job"));
    REQUIRE(entry.starts_.size() == 1);
    REQUIRE(entry.starts_[0].first == LinkId(1));
    entry.end(0, RunEnd::Failed);
    REQUIRE(entry.starts_.size() == 2);
    CHECK(entry.starts_[1].first == LinkId(2));
}

TEST_CASE("A stalled run is moved if a new run elsewhere would end sooner, and its job is given up if it cannot meet its deadline")
{
    enum class StallResponse { Stays,
        Moves,
        GivenUp };
    struct Row {
        int passedMs_;
        int remainingMs_;
        bool hasOtherAgent_;
        StallResponse expectedResponse_;
        /// The task's own work as the run shows it; 0 if the target is the cause.
        int workMs_ { 0 };
    };
    // A task takes 100 ms and its caller waits 1.5 s.
    auto row = GENERATE(values<Row>({
        { 100, 110, true, StallResponse::Stays },
        { 100, 600, true, StallResponse::Moves },
        { 100, 600, false, StallResponse::Stays },
        { 100, 5000, true, StallResponse::Moves },
        { 100, 5000, false, StallResponse::GivenUp },
        { 1440, 90, true, StallResponse::GivenUp },
        { 100, 600, true, StallResponse::Stays, 700 },
        { 100, 1700, true, StallResponse::Stays, 1800 },
        { 100, 5000, true, StallResponse::GivenUp, 5100 },
        { 100, 5000, true, StallResponse::Moves, 1000 },
    }));
    JobEntryFixture entry(row.hasOtherAgent_ ? 2 : 1);
    entry.submit(makeRequest("job"));
    entry.advance(milliseconds(row.passedMs_));
    entry.core_.receive(entry.starts_[0].first, Wire::RunStalled { entry.starts_[0].second.run_, static_cast<std::uint64_t>(row.remainingMs_) * 1000, static_cast<std::uint64_t>(row.workMs_) * 1000 }, entry.now_);
    entry.collect();
    INFO(row.passedMs_ << " " << row.remainingMs_ << " " << row.hasOtherAgent_);
    CHECK(entry.stops_ == (row.expectedResponse_ == StallResponse::Stays ? 0 : 1));
    CHECK(entry.core_.counters().movedRuns_ == (row.expectedResponse_ == StallResponse::Moves ? 1 : 0));
    // No run starts elsewhere before the stop is confirmed.
    CHECK(entry.starts_.size() == 1);
    if (row.expectedResponse_ == StallResponse::Stays)
        return;
    entry.end(0, RunEnd::Stopped);
    CHECK(entry.starts_.size() == (row.expectedResponse_ == StallResponse::Moves ? 2 : 1));
    CHECK(entry.answers_.size() == (row.expectedResponse_ == StallResponse::Moves ? 0 : 1));
    if (row.expectedResponse_ == StallResponse::Moves)
        CHECK(entry.starts_[1].first != entry.starts_[0].first);
    else
        CHECK(entry.answers_[0].jobOutcome_ == JobOutcome::GivenUp);
}

TEST_CASE("A task is moved at most twice")
{
    JobEntryFixture entry(4);
    entry.submit(makeRequest("job"));
    for (std::size_t start = 0; start < 3; ++start) {
        REQUIRE(entry.starts_.size() == start + 1);
        entry.core_.receive(entry.starts_[start].first, Wire::RunStalled { entry.starts_[start].second.run_, 1'000'000 }, entry.now_);
        entry.collect();
        entry.end(start, RunEnd::Stopped);
        if (start == 2)
            entry.answers_.clear();
    }
    CHECK(entry.core_.counters().movedRuns_ == 2);
}

TEST_CASE("A full target that will soon have room is preferred to a slow target with room")
{
    JobEntryFixture entry;
    auto slow = openReport();
    slow.slowdownPermille_ = 6000;
    entry.core_.receive(LinkId(1), slow, entry.now_);
    auto full = fullReport(20'000);
    entry.core_.receive(LinkId(2), full, entry.now_);
    entry.submit(makeRequest("job"));
    REQUIRE(entry.starts_.size() == 1);
    CHECK(entry.starts_[0].first == LinkId(2));
}

TEST_CASE("A job is stopped when its caller disconnects, unless another caller waits for it, or when it is cancelled")
{
    auto [isCancel, others] = GENERATE(table<bool, int>({ { false, 0 }, { false, 1 }, { true, 0 } }));
    JobEntryFixture entry;
    entry.submit(makeRequest("job"), 1);
    if (others)
        entry.submit(makeRequest("job"), 2);
    if (isCancel)
        CHECK(entry.core_.cancel("job", entry.now_));
    else
        entry.core_.callerDisconnected(CallerId(1), entry.now_);
    entry.collect();
    CHECK(entry.stops_ == (others ? 0 : 1));
    CHECK(entry.core_.isHeld("job") == (others > 0));
    CHECK_FALSE(entry.core_.cancel("none", entry.now_));
}

// Guards against: jobs that waited for a target were placed in the order of their arrival, whatever their queues' priorities.
TEST_CASE("Tasks that wait for a target are placed by the priority of their queues, and among equals by their due times")
{
    JobEntryFixture entry(1);
    std::vector<QueueRule> rules = JobEntryFixture::makeQueues(1).rules();
    rules.front().priority_ = 1;
    rules.push_back(rules.front());
    rules.back().name_ = "urgent";
    rules.back().prefix_ = "/urgent/";
    rules.back().priority_ = 0;
    entry.core_.setQueues(QueueTable(2, rules), "text");
    entry.submit(makeRequest("first"), 1);
    JobRequest shorter = makeRequest("shorter");
    shorter.estimate_ = milliseconds(50);
    entry.submit(shorter, 2);
    JobRequest urgent = makeRequest("urgent");
    urgent.path_ = "/urgent/";
    entry.submit(urgent, 3);
    REQUIRE(entry.starts_.size() == 3);
    auto closed = openReport();
    closed.isOpen_ = false;
    entry.core_.receive(LinkId(1), closed, entry.now_);
    for (std::size_t start = 0; start < 3; ++start)
        entry.end(start, RunEnd::NotStarted, NotStartedReason::TargetUnavailable);
    REQUIRE(entry.starts_.size() == 3);
    entry.core_.receive(LinkId(1), openReport(), entry.now_);
    entry.advance(milliseconds(20));
    REQUIRE(entry.starts_.size() == 6);
    CHECK(entry.starts_[3].second.task_ == "urgent.0.0.0");
    CHECK(entry.starts_[4].second.task_ == "shorter.0.0.0");
    CHECK(entry.starts_[5].second.task_ == "first.0.0.0");
}

TEST_CASE("The runs of a lost agent are placed elsewhere only when none of them can still be running")
{
    JobEntryFixture entry;
    entry.submit(makeRequest("job"));
    LinkId lost = entry.starts_[0].first;
    entry.core_.linkClosed(lost, entry.now_);
    // The agent may extend the lease until just before the entry's time is over; then the lease and a stop take their time.
    const LeaseTiming times;
    entry.advance(times.entryTimeout_ + scale(times.lease_, 1.02) + times.stopTimeout_);
    CHECK(entry.starts_.size() == 1);
    entry.advance(milliseconds(60));
    CHECK(entry.starts_.size() == 2);
}

TEST_CASE("How long a lost agent's runs may go on counts from the latest of its messages that was confirmed, not from when the link closed")
{
    // The link closes this long after the last message of the agent; only what is confirmed to the agent counts.
    auto silence = GENERATE(values<int>({ 0, 100, 200 }));
    JobEntryFixture entry;
    JobRequest request = makeRequest("job");
    request.callerTimeout_ = std::chrono::seconds(5);
    entry.submit(request);
    LinkId lost = entry.starts_[0].first;
    entry.advance(milliseconds(100));
    for (int passed = 0; passed < silence; passed += 20) {
        entry.now_ += milliseconds(20);
        entry.core_.tick(entry.now_);
        entry.collect();
    }
    entry.core_.linkClosed(lost, entry.now_);
    Time over = entry.confirmed_.at(lost) + LeaseTiming().orphanTimeout_;
    entry.advance(over - entry.now_ - milliseconds(20));
    CHECK(entry.starts_.size() == 1);
    entry.advance(milliseconds(40));
    CHECK(entry.starts_.size() == 2);
}

// Guards against: the open report of any agent of the same name ended a lost agent's runs at once, though that agent went on.
TEST_CASE("A lost agent's runs end at once only when its successor beside the same target is open")
{
    struct Row {
        std::string case_;
        Wire::AgentHello hello_;
        bool isSuccessor_;
    };
    const Wire::AgentHello lost { .incarnation_ = Incarnation(50), .name_ = "agent", .controlAddress_ = "10.1.0.1:1", .targetAddress_ = "10.1.0.1:2" };
    // Incarnations are random.
    auto row = GENERATE(values<Row>({
        { "successor", { .incarnation_ = Incarnation(51), .name_ = "agent", .controlAddress_ = "10.1.0.1:1", .targetAddress_ = "10.1.0.1:2" }, true },
        { "successor with a lower incarnation", { .incarnation_ = Incarnation(49), .name_ = "agent", .controlAddress_ = "10.1.0.1:1", .targetAddress_ = "10.1.0.1:2" }, true },
        { "another instance under the same name", { .incarnation_ = Incarnation(51), .name_ = "agent", .controlAddress_ = "10.1.0.9:1", .targetAddress_ = "10.1.0.9:2" }, false },
        { "another target", { .incarnation_ = Incarnation(51), .name_ = "agent", .controlAddress_ = "10.1.0.1:1", .targetAddress_ = "10.1.0.1:3" }, false },
        { "another name", { .incarnation_ = Incarnation(51), .name_ = "other", .controlAddress_ = "10.1.0.1:1", .targetAddress_ = "10.1.0.1:2" }, false },
    }));
    INFO(row.case_);
    JobEntryFixture entry(0);
    entry.greet(1, lost);
    entry.core_.receive(LinkId(1), openReport(), entry.now_);
    JobRequest request = makeRequest("job");
    request.callerTimeout_ = std::chrono::seconds(5);
    entry.submit(request);
    REQUIRE(entry.starts_.size() == 1);
    entry.core_.linkClosed(LinkId(1), entry.now_);
    entry.greet(2, row.hello_);
    entry.core_.receive(LinkId(2), openReport(), entry.now_);
    entry.advance(milliseconds(100));
    CHECK(entry.starts_.size() == (row.isSuccessor_ ? 2 : 1));
    entry.advance(LeaseTiming().orphanTimeout_);
    CHECK(entry.starts_.size() == 2);
}

// Guards against: what a killed agent had sent came late and ended the runs of its successor, whose link was down.
TEST_CASE("A late report of an agent's earlier incarnation doesn't end the later one's runs")
{
    const Wire::AgentHello earlier { .incarnation_ = Incarnation(50), .name_ = "agent", .controlAddress_ = "10.1.0.1:1", .targetAddress_ = "10.1.0.1:2" };
    Wire::AgentHello later = earlier;
    later.incarnation_ = Incarnation(51);
    JobEntryFixture entry(0);
    entry.greet(1, earlier);
    entry.greet(2, later);
    entry.core_.receive(LinkId(2), openReport(), entry.now_);
    entry.submit(makeRequest("job"));
    REQUIRE(entry.starts_.size() == 1);
    entry.core_.linkClosed(LinkId(2), entry.now_);
    entry.core_.receive(LinkId(1), openReport(), entry.now_);
    entry.advance(milliseconds(100));
    CHECK(entry.starts_.size() == 1);
}

TEST_CASE("A reconnected agent is asked to stop the runs whose job was answered meanwhile")
{
    JobEntryFixture entry(1);
    entry.submit(makeRequest("job"));
    entry.core_.linkClosed(LinkId(1), entry.now_);
    entry.core_.cancel("job", entry.now_);
    entry.collect();
    CHECK(entry.stops_ == 0);
    entry.attach(3, 101);
    entry.collect();
    CHECK(entry.stops_ == 1);
}

TEST_CASE("An entry that was suspended answers all its jobs, because their callers may have sent them elsewhere")
{
    JobEntryFixture entry;
    entry.submit(makeRequest("job"));
    entry.now_ += std::chrono::seconds(3);
    entry.core_.processResumed(std::chrono::seconds(3), entry.now_);
    entry.collect();
    REQUIRE(entry.answers_.size() == 1);
    CHECK(entry.answers_[0].jobOutcome_ == JobOutcome::GivenUp);
}

TEST_CASE("A configuration that another process had kept doesn't prove that a queue does not exist")
{
    // How long ago a read of the store showed that the installed configuration was the newest; -1: never.
    auto [confirmedMsAgo, expected] = GENERATE(table<int, std::optional<bool>>({ { -1, std::nullopt }, { 2501, std::nullopt }, { 2500, false } }));
    JobEntryCore core(JobEntryCoreSettings {}, 1);
    Time now { std::chrono::hours(1) };
    if (confirmedMsAgo >= 0)
        core.confirmConfiguration(now - milliseconds(confirmedMsAgo));
    core.setQueues(JobEntryFixture::makeQueues(5), "text");
    CHECK(core.hasQueue("host", "/other/", now) == expected);
    CHECK(core.hasQueue("host", "/queue/", now) == true);
}

TEST_CASE("A configuration is never replaced by an older one")
{
    auto [second, expected] = GENERATE(table<std::uint64_t, std::uint64_t>({ { 4, 5 }, { 5, 5 }, { 9, 9 } }));
    JobEntryFixture entry;
    entry.core_.setQueues(JobEntryFixture::makeQueues(5), "text");
    entry.core_.setQueues(JobEntryFixture::makeQueues(second), "text");
    CHECK(entry.core_.configurationVersion() == expected);
}

TEST_CASE("The longest matching path prefix selects the queue; the host's case and port are ignored")
{
    QueueTable queues(1, { { .name_ = "short", .host_ = "host", .prefix_ = "/a/" }, { .name_ = "long", .host_ = "host", .prefix_ = "/a/b/" }, { .name_ = "other", .host_ = "else", .prefix_ = "/a/" } });
    auto [host, path, expected] = GENERATE(table<std::string, std::string, std::string>({
        { "host", "/a/x", "short" },
        { "HOST:80", "/a/b/x", "long" },
        { "else", "/a/b/x", "other" },
        { "none", "/a/", "" },
        { "host", "/b/", "" },
    }));
    const QueueRule* rule = queues.find(host, path);
    CHECK((rule ? rule->name_ : "") == expected);
}

} // namespace Lagoonpick
