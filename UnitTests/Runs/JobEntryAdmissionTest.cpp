#include "UnitTests/Runs/JobEntryFixture.h"

#include <catch2/catch.hpp>

// Which jobs an entry accepts, and what a caller whose job it rejects is told.

namespace Lagoonpick {

namespace {

using std::chrono::milliseconds;
using Wire::RunEnd;

} // namespace

TEST_CASE("A request that cannot be served is answered at once")
{
    struct Row {
        std::string name_;
        std::function<void(JobEntryFixture&, JobRequest&)> prepare_;
        JobOutcome jobOutcome_;
        JobFailureReason failureReason_;
    };
    auto row = GENERATE(values<Row>({
        { "no such queue", [](JobEntryFixture&, JobRequest& request) { request.path_ = "/other/"; }, JobOutcome::NoSuchQueue, JobFailureReason::None },
        { "an outdated configuration does not prove that a queue is missing", [](JobEntryFixture& entry, JobRequest& request) { request.path_ = "/other/"; entry.advance(std::chrono::seconds(3)); }, JobOutcome::Rejected, JobFailureReason::NoConfiguration },
        { "no target has the label", [](JobEntryFixture&, JobRequest& request) { request.requiredLabel_ = "gpu"; }, JobOutcome::Rejected, JobFailureReason::NoTargets },
        { "no target is large enough", [](JobEntryFixture&, JobRequest& request) { request.need_.milliCores_ = 11'000; }, JobOutcome::Rejected, JobFailureReason::NoTargets },
        { "no tasks", [](JobEntryFixture&, JobRequest& request) { request.taskCount_ = 0; }, JobOutcome::Rejected, JobFailureReason::TooLarge },
        { "the job would end too late", [](JobEntryFixture& entry, JobRequest&) { for (int i = 0; i < 30; ++i) entry.submit(makeRequest("fill" + std::to_string(i)), 9); }, JobOutcome::Rejected, JobFailureReason::Overloaded },
        { "the caller does not wait long enough", [](JobEntryFixture&, JobRequest& request) { request.callerTimeout_ = milliseconds(60); }, JobOutcome::Rejected, JobFailureReason::Overloaded },
        { "shutdown", [](JobEntryFixture& entry, JobRequest&) { entry.core_.beginShutdown(entry.now_); entry.advance(std::chrono::seconds(3)); }, JobOutcome::Rejected, JobFailureReason::ShuttingDown },
    }));
    INFO(row.name_);
    JobEntryFixture entry;
    auto request = makeRequest("job");
    if (row.failureReason_ == JobFailureReason::Overloaded && request.callerTimeout_ > milliseconds(100)) {
        entry.core_.receive(LinkId(1), openReport(1000), entry.now_);
        entry.core_.receive(LinkId(2), openReport(1000), entry.now_);
    }
    row.prepare_(entry, request);
    std::size_t answered = entry.answers_.size();
    std::size_t started = entry.starts_.size();
    entry.submit(request, 2);
    REQUIRE(entry.answers_.size() == answered + 1);
    CHECK(entry.answers_.back().jobOutcome_ == row.jobOutcome_);
    CHECK(entry.answers_.back().failureReason_ == row.failureReason_);
    CHECK((entry.answers_.back().retryAfter_ > Duration()) == (row.jobOutcome_ == JobOutcome::Rejected));
    CHECK(entry.starts_.size() == started);
}

TEST_CASE("The free capacity of a suspect target does not count as room")
{
    auto isSuspect = GENERATE(false, true);
    JobEntryFixture entry;
    auto full = openReport(1000);
    full.used_ = { 1000, 10, 0 };
    full.backlogMicroseconds_ = 400'000;
    entry.core_.receive(LinkId(1), full, entry.now_);
    auto empty = openReport();
    empty.isSuspect_ = isSuspect;
    entry.core_.receive(LinkId(2), empty, entry.now_);
    entry.submit(makeRequest("job"));
    CHECK(entry.answers_.size() == (isSuspect ? 1 : 0));
    if (isSuspect)
        CHECK(entry.answers_[0].failureReason_ == JobFailureReason::Overloaded);
}

TEST_CASE("The log line of a rejection for lack of room holds the figures of the decision")
{
    JobEntryFixture entry(1);
    auto full = openReport(1000);
    full.used_ = { 1000, 10, 0 };
    full.backlogMicroseconds_ = 400'000;
    entry.core_.receive(LinkId(1), full, entry.now_);
    entry.now_ += milliseconds(30);
    entry.submit(makeRequest("late"));
    auto line = entry.lastLine("job_rejected");
    INFO(line);
    // 400 ms of backlog, 100 ms for the overflow and 100 ms of work; the limit is 1.1 times the 205 ms until the job is due.
    CHECK(line.find(R"("expected_ms":600.0)") != std::string::npos);
    CHECK(line.find(R"("limit_ms":225.5)") != std::string::npos);
    CHECK(line.find(R"("report_age_ms":30.0)") != std::string::npos);
    auto large = makeRequest("large", 5000);
    entry.submit(large);
    CHECK(entry.lastLine("job_rejected").find("expected_ms") == std::string::npos);
}

// Guards against: a caller whose job could be done in time was turned away because callers of another queue had been.
TEST_CASE("The same request in the same state gets the same decision, whatever happened to the jobs of other queues")
{
    JobEntryFixture entry;
    std::vector<QueueRule> rules = JobEntryFixture::makeQueues(1).rules();
    rules.push_back(rules.front());
    rules.back().name_ = "hopeless";
    rules.back().prefix_ = "/hopeless/";
    entry.core_.setQueues(QueueTable(2, rules), "text");
    auto hopeless = makeRequest("hopeless");
    hopeless.path_ = "/hopeless/";
    hopeless.callerTimeout_ = milliseconds(60);
    for (int i = 0; i < 40; ++i) {
        entry.submit(hopeless);
        REQUIRE(entry.answers_.back().failureReason_ == JobFailureReason::Overloaded);
        std::size_t answered = entry.answers_.size();
        std::size_t started = entry.starts_.size();
        entry.submit(makeRequest("usual-" + std::to_string(i)));
        REQUIRE(entry.answers_.size() == answered);
        REQUIRE(entry.starts_.size() == started + 1);
        entry.end(started, RunEnd::Done);
    }
}

// Guards against: callers of an urgent queue were refused for a wait that only less urgent work would have had.
TEST_CASE("The wait that a job is refused for is that of its own queue's priority")
{
    auto [priority, isAccepted] = GENERATE(table<std::uint32_t, bool>({ { 0, true }, { 1, true }, { 2, false }, { 3, false } }));
    JobEntryFixture entry(1);
    std::vector<QueueRule> rules = JobEntryFixture::makeQueues(1).rules();
    rules.front().priority_ = priority;
    entry.core_.setQueues(QueueTable(2, rules), "text");
    auto full = openReport(1000);
    full.used_ = { 1000, 10, 0 };
    full.queued_ = { 30'000, 300, 0 };
    full.queuedBacklogs_ = { { 1, 0, 20'000 }, { 2, 0, 3'000'000 } };
    entry.core_.receive(LinkId(1), full, entry.now_);
    entry.submit(makeRequest("job"));
    CHECK(entry.core_.isHeld("job") == isAccepted);
}

TEST_CASE("A target's expected wait grows with the load beyond its capacity")
{
    struct Row {
        std::uint32_t committed_;
        int waitMs_;
    };
    // The target's report includes none of the committed load, which is all in transit; its backlog of 7 ms is added.
    auto row = GENERATE(values<Row>({ { 0, 0 }, { 9000, 0 }, { 10'000, 17 }, { 19'000, 107 } }));
    TargetLoadView view { .capacity_ = { 10'000, 1000, 0 }, .committed_ = { row.committed_, 10, 0 }, .slowdown_ = 2, .unseen_ = { row.committed_, 10, 0 }, .backlog_ = milliseconds(7), .typicalTime_ = milliseconds(100) };
    auto estimate = estimateCompletion(view, { 1000, 10, 0 }, milliseconds(50));
    CHECK(estimate.run_ == milliseconds(100));
    CHECK(estimate.wait_ == milliseconds(row.waitMs_));
}

TEST_CASE("The expected time is half way between the declared time and the queue's mean")
{
    WorkModel model;
    for (int i = 0; i < 100; ++i)
        model.recordAndEstimate("queue", milliseconds(100));
    CHECK(std::chrono::abs(model.recordAndEstimate("queue", milliseconds(400)) - milliseconds(200)) < milliseconds(5));
    CHECK(model.recordAndEstimate("new", milliseconds(400)) <= milliseconds(400));
}

} // namespace Lagoonpick
