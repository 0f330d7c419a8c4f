#include "Lagoonpick/Core/Underlying.h"
#include "UnitTests/Runs/JobEntryFixture.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <rapidcheck/catch.h>

// Which jobs an entry accepts, and what a caller whose job it rejects is told.

namespace Lagoonpick {

namespace {

using std::chrono::milliseconds;
using Wire::RunEnd;

/// Everything that may decide on a job: its own time, work and priority, and the work that is left before it.
struct AdmissionState {
    std::uint64_t backlogMs_;
    std::uint64_t backlogOfUrgentMs_;
    std::uint32_t callerTimeoutMs_;
    std::uint32_t workMs_;
    std::uint32_t tasks_;
    std::uint32_t priority_;
    /// Tasks of the most urgent queue, and of the least urgent one, that ended lately.
    std::uint32_t urgentTasks_ { 0 };
    std::uint32_t otherTasks_ { 0 };
    /// Tasks of the queue of priority 2 that wait on each target; `backlogMs_` is their work.
    std::uint32_t queuedTasks_ { 0 };
};

/// Lets tasks of a queue with this path run and end, one after the other.
void runTasks(JobEntryFixture& entry, const std::string& path, std::uint32_t count)
{
    for (std::uint32_t i = 0; i < count; ++i) {
        JobRequest request = makeRequest(path + std::to_string(i));
        request.path_ = path;
        entry.submit(request);
        entry.end(entry.starts_.size() - 1, RunEnd::Done, Wire::NotStartedReason::None, milliseconds(100));
    }
}

/// Whether a job is accepted in this state by an entry with this seed, `others` jobs of another queue having been refused before.
bool isAccepted(const AdmissionState& state, int others = 0)
{
    JobEntryFixture entry(2);
    std::vector<QueueRule> rules = JobEntryFixture::makeQueues(1).rules();
    rules.front().priority_ = state.priority_;
    rules.push_back(rules.front());
    rules.back().prefix_ = "/other/";
    rules.back().name_ = "other";
    for (std::uint32_t priority : { 0, 3 }) {
        rules.push_back(rules.front());
        rules.back().priority_ = priority;
        rules.back().name_ = "priority-" + std::to_string(priority);
        rules.back().prefix_ = "/" + std::to_string(priority) + "/";
    }
    entry.core_.setQueues(QueueTable(2, rules), "text");
    entry.advance(milliseconds(20));
    runTasks(entry, "/0/", state.urgentTasks_);
    runTasks(entry, "/3/", state.otherTasks_);
    auto full = openReport(4000);
    full.used_ = { 4000, 10, 0 };
    full.queued_ = { 1000 * state.queuedTasks_, 10 * state.queuedTasks_, 0 };
    full.backlogMicroseconds_ = state.backlogOfUrgentMs_ * 1000;
    full.queuedBacklogs_ = { { 2, 0, (state.backlogOfUrgentMs_ + state.backlogMs_) * 1000 } };
    entry.core_.receive(LinkId(1), full, entry.now_);
    entry.core_.receive(LinkId(2), full, entry.now_);
    entry.advance(milliseconds(1000));
    JobRequest other = makeRequest("other");
    other.path_ = "/other/";
    other.callerTimeout_ = milliseconds(1);
    for (int i = 0; i < others; ++i)
        entry.submit(other);
    JobRequest request = makeRequest("job", state.tasks_);
    request.callerTimeout_ = milliseconds(state.callerTimeoutMs_);
    request.estimate_ = milliseconds(state.workMs_);
    entry.submit(request);
    return entry.core_.isHeld("job");
}

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
    bool canBeAcceptedLater = row.jobOutcome_ == JobOutcome::Rejected && row.failureReason_ != JobFailureReason::TooLarge;
    CHECK((entry.answers_.back().retryAfter_ > Duration()) == canBeAcceptedLater);
    CHECK(entry.starts_.size() == started);
}

// Guards against: in a burst, tasks were put behind others as late although their jobs, whose work was longer than expected, were
// not due yet.
TEST_CASE("The latest start of a task allows for work that is longer than expected, as far as the queue's declared times are off")
{
    // Ended jobs took this factor more or less than the declared 100 ms, by turns.
    struct Row {
        double spread_;
        Duration::rep least_;
        Duration::rep most_;
    };
    // Due after 1.6 times the work and 60 ms, less 15 ms in transit and the run of 100 ms; with a spread, 0.6 times the longest work's excess more.
    auto row = GENERATE(values<Row>({ { 1, 100'000, 110'000 }, { 1.5, 130'000, 200'000 }, { 2, 200'000, 400'000 } }));
    INFO("spread " << row.spread_);
    JobEntryFixture entry;
    for (int i = 0; i < 40; ++i) {
        entry.submit(makeRequest("ended" + std::to_string(i)));
        double factor = i % 2 ? row.spread_ : 1 / row.spread_;
        entry.end(entry.starts_.size() - 1, Wire::RunEnd::Done, Wire::NotStartedReason::None, scale(milliseconds(100), factor));
    }
    entry.submit(makeRequest("job"));
    auto dueIn = entry.starts_.back().second.dueInMicroseconds_;
    CHECK(dueIn >= row.least_);
    CHECK(dueIn <= row.most_);
}

TEST_CASE("The free capacity of a suspect target does not count as room")
{
    auto isSuspect = GENERATE(false, true);
    JobEntryFixture entry;
    auto full = fullReport(1'400'000);
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
    auto full = fullReport(1'400'000);
    entry.core_.receive(LinkId(1), full, entry.now_);
    entry.now_ += milliseconds(30);
    entry.submit(makeRequest("late"));
    auto line = entry.lastLine("job_rejected");
    INFO(line);
    // 1,400 ms of backlog, 100 ms for the overflow and 100 ms of work; the caller waits 1,500 ms, of which the answer takes 40.
    CHECK(line.find(R"("expected_ms":1600.0)") != std::string::npos);
    CHECK(line.find(R"("limit_ms":1460.0)") != std::string::npos);
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

// Guards against: a job that would have ended after its due time was refused, though its caller would have waited for the answer.
TEST_CASE("A job is accepted if it is expected to end while its caller waits, be it after its due time, and refused at once if not")
{
    // The job is due 205 ms after its arrival. 100 ms for the overflow and 100 ms of work are added to the backlog.
    auto [backlogMs, callerTimeoutMs, isAccepted] = GENERATE(table<std::uint64_t, int, bool>({
        { 0, 300, true },
        { 200, 1500, true },
        { 1250, 1500, true },
        { 1270, 1500, false },
        { 1270, 5000, true },
        { 200, 400, false },
    }));
    JobEntryFixture entry(1);
    auto full = fullReport(backlogMs * 1000);
    entry.core_.receive(LinkId(1), full, entry.now_);
    JobRequest request = makeRequest("job");
    request.callerTimeout_ = milliseconds(callerTimeoutMs);
    entry.submit(request);
    CHECK(entry.core_.isHeld("job") == isAccepted);
    CHECK(entry.answers_.size() == (isAccepted ? 0 : 1));
}

// Guards against: callers were told to come back after one or two seconds at random, whatever kept their jobs from running.
TEST_CASE("A caller is told to come back when its job is expected to be accepted")
{
    // The job would end 200 ms after the backlog, and its caller waits 1,460 ms without the time for the answer.
    auto [backlogMs, retryAfterMs] = GENERATE(table<std::uint64_t, int>({ { 1400, 1000 }, { 2260, 1000 }, { 5260, 4000 }, { 60'260, 59'000 } }));
    JobEntryFixture entry(1);
    auto full = fullReport(backlogMs * 1000);
    entry.core_.receive(LinkId(1), full, entry.now_);
    entry.submit(makeRequest("at once"));
    REQUIRE(entry.answers_.size() == 1);
    CHECK(entry.answers_[0].retryAfter_ == milliseconds(retryAfterMs));
    // The same job, accepted before and recalled when its deadline came.
    entry.core_.receive(LinkId(1), openReport(), entry.now_);
    entry.submit(makeRequest("after a wait"), 2);
    REQUIRE(entry.starts_.size() == 1);
    entry.advance(milliseconds(1440));
    entry.core_.receive(LinkId(1), full, entry.now_);
    entry.advance(milliseconds(20));
    entry.end(0, RunEnd::NotStarted, Wire::NotStartedReason::Recalled);
    REQUIRE(entry.answers_.size() == 2);
    CHECK(entry.answers_[1].jobOutcome_ == JobOutcome::Rejected);
    CHECK(entry.answers_[1].retryAfter_ == milliseconds(retryAfterMs));
}

// Guards against: a less urgent job was accepted for a wait that more urgent ones, which kept arriving, made longer than its caller's time.
TEST_CASE("A less urgent job is rejected if the more urgent work that keeps arriving leaves too little for it")
{
    struct Row {
        std::string name_;
        std::uint32_t urgentTasks_;
        std::uint32_t otherTasks_;
        std::uint32_t priority_;
        std::uint64_t backlogMs_;
        bool isAccepted_;
    };
    // The job takes 100 ms, and its caller waits 1,460 ms. The targets have been full for 1 s, which counts for about half.
    auto row = GENERATE(values<Row>({
        { "nothing ran lately", 0, 0, 2, 1000, true },
        { "all of what ran was more urgent", 6, 0, 2, 1000, false },
        { "the wait is short", 6, 0, 2, 300, true },
        { "a sixth was more urgent", 1, 5, 2, 1000, true },
        { "the job is as urgent", 6, 0, 0, 1000, true },
    }));
    INFO(row.name_);
    CHECK(isAccepted({ row.backlogMs_, 0, 1500, 100, 1, row.priority_, row.urgentTasks_, row.otherTasks_ }) == row.isAccepted_);
}

TEST_CASE("The share of more urgent work is that of the capacity in use, and is forgotten")
{
    const Time start { std::chrono::hours(1) };
    UrgentLoad load;
    CHECK(load.shareBefore("service", 2, start) == 0);
    load.recordUtilization("service", 0.8, start);
    load.recordWork("service", 0, 1000, milliseconds(100), start);
    load.recordWork("service", 1, 500, milliseconds(400), start);
    load.recordWork("service", 2, 1000, milliseconds(100), start);
    load.recordWork("other", 0, 1000, milliseconds(9000), start);
    CHECK(load.shareBefore("service", 0, start) == 0);
    CHECK(load.shareBefore("service", 1, start) == Approx(0.2));
    CHECK(load.shareBefore("service", 2, start) == Approx(0.6));
    CHECK(load.shareBefore("service", 3, start) == Approx(0.8));
    const Time later = start + milliseconds(6000);
    load.recordWork("service", 2, 1000, milliseconds(100), later);
    load.recordUtilization("service", 0.4, later);
    CHECK(load.shareBefore("service", 2, later) < 0.03);
    CHECK(load.shareBefore("service", 3, later) == Approx(0.4).epsilon(0.05));
    CHECK(lengthenWait(milliseconds(100), 0) == milliseconds(100));
    CHECK(lengthenWait(milliseconds(100), 0.75) == milliseconds(400));
    CHECK(lengthenWait(milliseconds(100), 1) == milliseconds(1000));
}

// Guards against: tasks whose data is on a rack with room, or with a short wait, went to other racks, because none of the rack's targets was
// among those that the entry considered.
TEST_CASE("A task goes to the rack of its data unless waiting there costs more than running elsewhere")
{
    constexpr int targets = 62;
    constexpr int targetsOnRack = 7;
    constexpr int jobs = 40;
    // A task takes 100 ms on the rack, and 200 ms elsewhere; a full target has room after the wait and 10 ms for the overflow.
    auto [isFull, waitMs, goesToRack] = GENERATE(table<bool, std::uint64_t, bool>({ { false, 0, true }, { true, 20, true }, { true, 60, true }, { true, 150, false } }));
    INFO("full " << isFull << ", wait " << waitMs);
    int onRack = 0;
    for (int i = 0; i < jobs; ++i) {
        JobEntryFixture entry(targets, 2);
        for (std::uint64_t agent = 1; agent <= targets; ++agent) {
            auto report = openReport();
            bool isOnRack = agent % (targets / targetsOnRack) == 0 && agent / (targets / targetsOnRack) <= targetsOnRack;
            report.labels_ = { isOnRack ? "rack-hot" : "rack-other" };
            if (isOnRack && isFull) {
                report.used_ = { 10'000, 10, 0 };
                report.backlogMicroseconds_ = waitMs * 1000;
            }
            entry.core_.receive(LinkId(agent), report, entry.now_);
        }
        // Other choices of the same random source for each job.
        for (int other = 0; other < i; ++other)
            entry.submit(makeRequest("other-" + std::to_string(other)), 1000 + static_cast<std::uint64_t>(other));
        std::size_t first = entry.starts_.size();
        JobRequest request = makeRequest("job");
        request.rack_ = "rack-hot";
        entry.submit(request);
        REQUIRE(entry.starts_.size() == first + 1);
        std::uint64_t agent = toUnderlying(entry.starts_[first].first);
        onRack += agent % (targets / targetsOnRack) == 0 && agent / (targets / targetsOnRack) <= targetsOnRack ? 1 : 0;
    }
    CHECK(onRack == (goesToRack ? jobs : 0));
}

// Guards against: a hot rack's targets were chosen by all jobs that prefer it, however long these had to wait there.
TEST_CASE("Jobs that prefer one rack use the others once its targets are full")
{
    constexpr int jobs = 60;
    JobEntryFixture entry(8, 2);
    for (std::uint64_t agent = 1; agent <= 8; ++agent) {
        auto report = openReport(4000);
        report.labels_ = { agent <= 2 ? "rack-hot" : "rack-other" };
        report.typicalMicroseconds_ = 100'000;
        entry.core_.receive(LinkId(agent), report, entry.now_);
    }
    int onRack = 0;
    for (int i = 0; i < jobs; ++i) {
        JobRequest request = makeRequest("job-" + std::to_string(i));
        request.rack_ = "rack-hot";
        entry.submit(request);
        onRack += entry.starts_.size() == static_cast<std::size_t>(i) + 1 && toUnderlying(entry.starts_.back().first) <= 2 ? 1 : 0;
    }
    REQUIRE(entry.starts_.size() == jobs);
    // 8 places on the rack and 24 elsewhere. A full rack target costs as much as a remote run once as many wait there as fit.
    CHECK(onRack >= 8);
    CHECK(onRack <= 36);
}

// Guards against: a job whose tasks came back was held until its caller's time was over, or was answered as not run though it had begun.
TEST_CASE("A job whose returned task can't end in its caller's time is withdrawn then, truthfully")
{
    auto [otherEnd, jobOutcome] = GENERATE(table<RunEnd, JobOutcome>({ { RunEnd::NotStarted, JobOutcome::Rejected }, { RunEnd::Stopped, JobOutcome::GivenUp } }));
    JobEntryFixture entry(1);
    entry.submit(makeRequest("job", 2));
    REQUIRE(entry.starts_.size() == 2);
    entry.advance(milliseconds(200));
    entry.core_.receive(LinkId(1), fullReport(2'000'000), entry.now_);
    entry.end(0, RunEnd::NotStarted, Wire::NotStartedReason::NoRoom);
    CHECK(entry.core_.counters().withdrawn_ == 1);
    CHECK(entry.lastLine("job_withdrawn").find(R"("held_ms":200.0)") != std::string::npos);
    CHECK(entry.stops_ == 1);
    CHECK(entry.answers_.empty());
    entry.end(1, otherEnd, otherEnd == RunEnd::NotStarted ? Wire::NotStartedReason::Recalled : Wire::NotStartedReason::None);
    REQUIRE(entry.answers_.size() == 1);
    CHECK(entry.answers_[0].jobOutcome_ == jobOutcome);
    CHECK((entry.answers_[0].retryAfter_ > Duration()) == (jobOutcome == JobOutcome::Rejected));
}

TEST_CASE("More time, less work, a more urgent queue or a shorter backlog never turn an acceptance into a refusal")
{
    rc::prop("the decision on a job is monotonic in what it depends on, and depends on nothing else", [] {
        auto number = [](std::uint32_t from, std::uint32_t to) { return *rc::gen::inRange<std::uint32_t>(from, to); };
        const AdmissionState state { number(0, 3000), number(0, 1500), number(100, 5000), number(1, 1500), number(1, 20), number(0, 4), number(0, 6), number(0, 6) };
        bool accepted = isAccepted(state);
        RC_ASSERT(isAccepted(state, static_cast<int>(number(0, 20))) == accepted);
        if (!accepted)
            return;
        AdmissionState easier = state;
        easier.callerTimeoutMs_ += number(0, 3000);
        easier.workMs_ = number(1, state.workMs_ + 1);
        easier.tasks_ = number(1, state.tasks_ + 1);
        easier.priority_ = number(0, state.priority_ + 1);
        easier.urgentTasks_ = number(0, state.urgentTasks_ + 1);
        easier.backlogMs_ = number(0, static_cast<std::uint32_t>(state.backlogMs_) + 1);
        easier.backlogOfUrgentMs_ = number(0, static_cast<std::uint32_t>(state.backlogOfUrgentMs_) + 1);
        RC_ASSERT(isAccepted(easier));
    });
}

// Guards against: an urgent job was rejected for lack of room while less urgent ones waited that had not begun.
TEST_CASE("An urgent job is accepted or rejected as if no less urgent work waited")
{
    rc::prop("less urgent work that has not begun takes no room from an urgent job", [] {
        auto number = [](std::uint32_t from, std::uint32_t to) { return *rc::gen::inRange<std::uint32_t>(from, to); };
        AdmissionState state { number(0, 3000), number(0, 1500), number(100, 3000), number(1, 1500), number(1, 20), number(0, 2), number(0, 4), number(0, 4), number(0, 30) };
        AdmissionState alone = state;
        alone.backlogMs_ = 0;
        alone.queuedTasks_ = 0;
        RC_ASSERT(isAccepted(state) == isAccepted(alone));
    });
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

// Guards against: how far declared times were believed was a fixed figure, whatever the queue's callers declared.
TEST_CASE("A declared time is believed as far as the actual times of the queue's tasks have followed the declared ones")
{
    enum class Actual { AsDeclared,
        AlwaysTheSame,
        TwiceTheDeclared };
    // The queue's jobs are declared to take 50, 100 and 200 ms; the next one is declared to take 400 ms.
    auto [actual, expectedMs] = GENERATE(table<Actual, int>({ { Actual::AsDeclared, 400 }, { Actual::AlwaysTheSame, 100 }, { Actual::TwiceTheDeclared, 400 } }));
    WorkModel model;
    CHECK(model.recordAndEstimate("queue", milliseconds(400)) == WorkEstimate { milliseconds(400), milliseconds(400) });
    for (int i = 0; i < 600; ++i) {
        Duration declared = milliseconds(50 << i % 3);
        model.recordAndEstimate("queue", declared);
        // Tasks that all take longer than declared show in the targets' slowdown.
        Duration took = actual == Actual::AlwaysTheSame ? Duration(milliseconds(100)) : declared * (actual == Actual::TwiceTheDeclared ? 2 : 1);
        model.recordActual("queue", declared, took);
    }
    Duration expected = model.recordAndEstimate("queue", milliseconds(400)).expected_;
    CHECK(static_cast<double>(expected.count()) == Approx(expectedMs * 1000.0).epsilon(0.06));
}

TEST_CASE("The shortest time lies below the expected one by as much as actual times vary")
{
    auto spread = GENERATE(values<double>({ 0, 0.2, 0.5 }));
    WorkModel model;
    for (int i = 0; i < 400; ++i) {
        model.recordAndEstimate("queue", milliseconds(100));
        model.recordActual("queue", milliseconds(100), scale(milliseconds(100), i % 2 ? std::exp(spread) : std::exp(-spread)));
    }
    WorkEstimate estimate = model.recordAndEstimate("queue", milliseconds(100));
    CHECK(static_cast<double>(estimate.expected_.count()) == Approx(100'000).epsilon(0.01));
    CHECK(static_cast<double>(estimate.shortest_.count()) == Approx(100'000 * std::exp(-2 * spread)).epsilon(0.02));
}

TEST_CASE("What a queue's ended jobs show changes the estimates of its next ones")
{
    JobEntryFixture entry;
    // Declared times that tell nothing: the tasks of both take 100 ms.
    for (int i = 0; i < 100; ++i) {
        JobRequest request = makeRequest("job-" + std::to_string(i));
        request.estimate_ = milliseconds(i % 2 ? 50 : 200);
        entry.submit(request);
        entry.end(entry.starts_.size() - 1, RunEnd::Done, Wire::NotStartedReason::None, milliseconds(100));
    }
    JobRequest request = makeRequest("last");
    request.estimate_ = milliseconds(200);
    entry.submit(request);
    CHECK(static_cast<double>(entry.starts_.back().second.workMicroseconds_) == Approx(100'000).epsilon(0.1));
}

} // namespace Lagoonpick
