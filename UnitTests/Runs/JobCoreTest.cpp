#include "Lagoonpick/Job/JobCore.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace Lagoonpick {

namespace {

using std::chrono::milliseconds;
using Wire::NotStartedReason;
using Wire::RunEnd;

Wire::TargetReport openReport(std::uint32_t milliCores = 10'000)
{
    return { .isOpen_ = true, .service_ = "service", .labels_ = { "a", "rack-1" }, .capacity_ = { milliCores, 10'000, 0 } };
}

JobRequest makeRequest(const std::string& id, std::uint32_t tasks = 1)
{
    return { .id_ = id, .host_ = "host", .path_ = "/queue/", .payload_ = "p", .taskCount_ = tasks, .need_ = { 1000, 10, 0 }, .requiredLabel_ = {}, .rack_ = {}, .estimate_ = milliseconds(100), .patience_ = milliseconds(1500) };
}

/// An entry with some agents, driven by hand.
class EntryAtWork {
public:
    explicit EntryAtWork(std::uint64_t agents = 2)
        : core_(JobSettings { .name_ = "entry", .incarnation_ = Incarnation(1), .linkAddress_ = "10.0.0.1:1" }, 1)
    {
        core_.setQueues(makeQueues(1), "text", now_);
        for (std::uint64_t i = 1; i <= agents; ++i)
            attach(i, 100 + i);
        collect();
    }

    static QueueTable makeQueues(std::uint64_t version)
    {
        return { version, { { .name_ = "queue", .host_ = "host", .prefix_ = "/queue/", .service_ = "service", .maxAttempts_ = 2, .slackFactor_ = 1.6, .allowance_ = milliseconds(60) } } };
    }

    void attach(std::uint64_t on, std::uint64_t incarnation)
    {
        core_.opened(LinkId(on), now_);
        core_.receive(LinkId(on), Wire::AgentHello { .incarnation_ = Incarnation(incarnation), .name_ = "agent-" + std::to_string(incarnation) }, now_);
        core_.receive(LinkId(on), openReport(), now_);
    }

    void submit(const JobRequest& request, std::uint64_t caller = 1)
    {
        core_.submit(CallerId(caller), request, now_);
        collect();
    }

    void end(std::size_t start, RunEnd how, NotStartedReason reason = NotStartedReason::None)
    {
        core_.receive(starts_.at(start).first, Wire::RunEnded { .sequence_ = ++sequence_, .run_ = starts_.at(start).second.run_, .end_ = how, .reason_ = reason }, now_);
        collect();
    }

    /// Keeps the links alive while time passes.
    void pass(Duration span)
    {
        constexpr Duration step = milliseconds(20);
        for (Duration passed {}; passed < span; passed += step) {
            now_ += step;
            for (std::uint64_t i = 1; i <= 2; ++i)
                core_.receive(LinkId(i), Wire::RunHeartbeat {}, now_);
            core_.tick(now_);
            collect();
        }
    }

    void collect()
    {
        auto effects = core_.takeEffects();
        for (auto& item : effects.messages_) {
            if (const auto* start = std::get_if<Wire::StartRun>(&item.message_))
                starts_.emplace_back(item.link_, *start);
            if (std::holds_alternative<Wire::StopRun>(item.message_))
                ++stops_;
        }
        answers_.insert(answers_.end(), effects.answers_.begin(), effects.answers_.end());
        for (const auto& line : effects.log_)
            log_.push_back(line.fields());
    }

    /// The last line of the log that tells of this event.
    std::string lastLine(const std::string& event) const
    {
        auto found = std::find_if(log_.rbegin(), log_.rend(), [&](const auto& line) { return line.find("\"" + event + "\"") != std::string::npos; });
        return found == log_.rend() ? "" : *found;
    }

    Time now_ { std::chrono::hours(1) };
    JobCore core_;
    std::uint64_t sequence_ { 0 };
    std::vector<std::pair<LinkId, Wire::StartRun>> starts_;
    int stops_ { 0 };
    std::vector<JobAnswer> answers_;
    std::vector<std::string> log_;
};

} // namespace

TEST_CASE("A job is done when its last task is, and a request that was overtaken by the answer gets it again")
{
    EntryAtWork entry;
    entry.submit(makeRequest("job", 2));
    REQUIRE(entry.starts_.size() == 2);
    entry.end(0, RunEnd::Done);
    CHECK(entry.answers_.empty());
    entry.submit(makeRequest("job", 2), 2);
    entry.end(1, RunEnd::Done);
    REQUIRE(entry.answers_.size() == 2);
    entry.submit(makeRequest("job", 2), 3);
    REQUIRE(entry.answers_.size() == 3);
    CHECK(std::all_of(entry.answers_.begin(), entry.answers_.end(), [](const auto& answer) { return answer.verdict_ == JobVerdict::Done; }));
    CHECK(entry.starts_.size() == 2);
}

TEST_CASE("A job fails once a task has failed as often as its queue allows; other ends are tried again")
{
    auto [end, reason, isFailed] = GENERATE(table<RunEnd, NotStartedReason, bool>({
        { RunEnd::Failed, NotStartedReason::None, true },
        { RunEnd::Lost, NotStartedReason::None, false },
        { RunEnd::Stopped, NotStartedReason::None, false },
        { RunEnd::NotStarted, NotStartedReason::Rejected, false },
        { RunEnd::NotStarted, NotStartedReason::OldNumber, false },
    }));
    EntryAtWork entry;
    entry.submit(makeRequest("job"));
    entry.end(0, end, reason);
    REQUIRE(entry.starts_.size() == 2);
    CHECK(entry.starts_[1].second.number_ > entry.starts_[0].second.number_);
    entry.end(1, end, reason);
    CHECK(entry.answers_.size() == (isFailed ? 1 : 0));
    if (isFailed)
        CHECK(entry.answers_[0].verdict_ == JobVerdict::Failed);
}

TEST_CASE("Only a job of which nothing has begun is said not to have run")
{
    struct Row {
        RunEnd first_;
        JobVerdict verdict_;
    };
    auto row = GENERATE(values<Row>({ { RunEnd::NotStarted, JobVerdict::Rejected }, { RunEnd::Lost, JobVerdict::GivenUp } }));
    EntryAtWork entry;
    entry.submit(makeRequest("job"));
    entry.pass(milliseconds(1440));
    // Its deadline is near: there is no time for another try.
    entry.end(0, row.first_, row.first_ == RunEnd::NotStarted ? NotStartedReason::Rejected : NotStartedReason::None);
    REQUIRE(entry.answers_.size() == 1);
    CHECK(entry.answers_[0].verdict_ == row.verdict_);
}

TEST_CASE("A job that runs into its deadline is given up in time and its runs are stopped")
{
    EntryAtWork entry;
    entry.submit(makeRequest("job", 2));
    entry.pass(milliseconds(1600));
    REQUIRE(entry.answers_.size() == 1);
    CHECK(entry.answers_[0].verdict_ == JobVerdict::GivenUp);
    CHECK(entry.stops_ >= 2);
    CHECK(entry.core_.jobCount() == 0);
}

TEST_CASE("A request is answered at once where nothing can be done for it")
{
    struct Row {
        std::string name_;
        std::function<void(EntryAtWork&, JobRequest&)> prepare_;
        JobVerdict verdict_;
        JobRefusal refusal_;
    };
    auto row = GENERATE(values<Row>({
        { "no such queue", [](EntryAtWork&, JobRequest& request) { request.path_ = "/other/"; }, JobVerdict::NoSuchQueue, JobRefusal::None },
        { "a configuration that may be out of date does not prove it", [](EntryAtWork& entry, JobRequest& request) { request.path_ = "/other/"; entry.pass(std::chrono::seconds(3)); }, JobVerdict::Rejected, JobRefusal::NoConfiguration },
        { "no target has a label", [](EntryAtWork&, JobRequest& request) { request.requiredLabel_ = "gpu"; }, JobVerdict::Rejected, JobRefusal::NoTargets },
        { "no target is large enough", [](EntryAtWork&, JobRequest& request) { request.need_.milliCores_ = 11'000; }, JobVerdict::Rejected, JobRefusal::NoTargets },
        { "no tasks", [](EntryAtWork&, JobRequest& request) { request.taskCount_ = 0; }, JobVerdict::Rejected, JobRefusal::TooLarge },
        { "it would end too late", [](EntryAtWork& entry, JobRequest&) { for (int i = 0; i < 30; ++i) entry.submit(makeRequest("fill" + std::to_string(i)), 9); }, JobVerdict::Rejected, JobRefusal::Overloaded },
        { "the caller does not wait long enough", [](EntryAtWork&, JobRequest& request) { request.patience_ = milliseconds(60); }, JobVerdict::Rejected, JobRefusal::Overloaded },
        { "shutdown", [](EntryAtWork& entry, JobRequest&) { entry.core_.beginShutdown(entry.now_); entry.pass(std::chrono::seconds(3)); }, JobVerdict::Rejected, JobRefusal::ShuttingDown },
    }));
    INFO(row.name_);
    EntryAtWork entry;
    auto request = makeRequest("job");
    if (row.refusal_ == JobRefusal::Overloaded && request.patience_ > milliseconds(100)) {
        entry.core_.receive(LinkId(1), openReport(1000), entry.now_);
        entry.core_.receive(LinkId(2), openReport(1000), entry.now_);
    }
    row.prepare_(entry, request);
    std::size_t answered = entry.answers_.size();
    std::size_t started = entry.starts_.size();
    entry.submit(request, 2);
    REQUIRE(entry.answers_.size() == answered + 1);
    CHECK(entry.answers_.back().verdict_ == row.verdict_);
    CHECK(entry.answers_.back().refusal_ == row.refusal_);
    CHECK((entry.answers_.back().retryAfter_ > Duration()) == (row.verdict_ == JobVerdict::Rejected));
    CHECK(entry.starts_.size() == started);
}

TEST_CASE("The room of a target that fails what it runs does not count as room")
{
    auto isSuspect = GENERATE(false, true);
    EntryAtWork entry;
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
        CHECK(entry.answers_[0].refusal_ == JobRefusal::Overloaded);
}

TEST_CASE("A run that stalls is moved if a new one elsewhere ends sooner, and its job is given up if nothing can save it")
{
    enum class Outcome { Stays,
        Moves,
        GivenUp };
    struct Row {
        int passedMs_;
        int remainingMs_;
        bool isElsewhere_;
        Outcome outcome_;
    };
    // A task takes 100 ms, its caller waits 1.5 s.
    auto row = GENERATE(values<Row>({
        { 100, 110, true, Outcome::Stays },
        { 100, 600, true, Outcome::Moves },
        { 100, 600, false, Outcome::Stays },
        { 100, 5000, true, Outcome::Moves },
        { 100, 5000, false, Outcome::GivenUp },
        { 1440, 90, true, Outcome::GivenUp },
    }));
    EntryAtWork entry(row.isElsewhere_ ? 2 : 1);
    entry.submit(makeRequest("job"));
    entry.pass(milliseconds(row.passedMs_));
    entry.core_.receive(entry.starts_[0].first, Wire::RunStalled { entry.starts_[0].second.run_, static_cast<std::uint64_t>(row.remainingMs_) * 1000 }, entry.now_);
    entry.collect();
    INFO(row.passedMs_ << " " << row.remainingMs_ << " " << row.isElsewhere_);
    CHECK(entry.stops_ == (row.outcome_ == Outcome::Stays ? 0 : 1));
    CHECK(entry.core_.counters().movedRuns_ == (row.outcome_ == Outcome::Moves ? 1 : 0));
    // Nothing begins elsewhere before the stop is known to have been carried out.
    CHECK(entry.starts_.size() == 1);
    if (row.outcome_ == Outcome::Stays)
        return;
    entry.end(0, RunEnd::Stopped);
    CHECK(entry.starts_.size() == (row.outcome_ == Outcome::Moves ? 2 : 1));
    CHECK(entry.answers_.size() == (row.outcome_ == Outcome::Moves ? 0 : 1));
    if (row.outcome_ == Outcome::Moves)
        CHECK(entry.starts_[1].first != entry.starts_[0].first);
    else
        CHECK(entry.answers_[0].verdict_ == JobVerdict::GivenUp);
}

TEST_CASE("A task is moved twice at most")
{
    EntryAtWork entry(4);
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

TEST_CASE("A slow target with room is passed over for a full one that has room soon")
{
    EntryAtWork entry;
    auto slow = openReport();
    slow.slowdownPermille_ = 6000;
    entry.core_.receive(LinkId(1), slow, entry.now_);
    auto full = openReport(1000);
    full.used_ = { 1000, 10, 0 };
    full.backlogMicroseconds_ = 20'000;
    entry.core_.receive(LinkId(2), full, entry.now_);
    entry.submit(makeRequest("job"));
    REQUIRE(entry.starts_.size() == 1);
    CHECK(entry.starts_[0].first == LinkId(2));
}

TEST_CASE("The log says what a rejection for lack of room rests on")
{
    EntryAtWork entry(1);
    auto full = openReport(1000);
    full.used_ = { 1000, 10, 0 };
    full.backlogMicroseconds_ = 400'000;
    entry.core_.receive(LinkId(1), full, entry.now_);
    entry.now_ += milliseconds(30);
    entry.submit(makeRequest("late"));
    auto line = entry.lastLine("job_rejected");
    INFO(line);
    // 400 ms of backlog, 100 for the overflow and 100 of work, against 1.1 times the 205 that the job may take.
    CHECK(line.find(R"("expected_ms":600.0)") != std::string::npos);
    CHECK(line.find(R"("limit_ms":225.5)") != std::string::npos);
    CHECK(line.find(R"("for_others":false)") != std::string::npos);
    CHECK(line.find(R"("report_age_ms":30.0)") != std::string::npos);
    auto large = makeRequest("large", 5000);
    entry.submit(large);
    CHECK(entry.lastLine("job_rejected").find("expected_ms") == std::string::npos);
}

TEST_CASE("The log says that a job was rejected for the sake of other queues")
{
    EntryAtWork entry;
    std::vector<QueueRule> rules = EntryAtWork::makeQueues(1).rules();
    rules.push_back(rules.front());
    rules.back().name_ = "hopeless";
    rules.back().prefix_ = "/hopeless/";
    rules.back().slackFactor_ = 0.1;
    rules.back().allowance_ = milliseconds(20);
    entry.core_.setQueues(QueueTable(2, rules), "text", entry.now_);
    auto hopeless = makeRequest("hopeless");
    hopeless.path_ = "/hopeless/";
    std::string line;
    for (int i = 0; i < 40 && line.find(R"("for_others":true)") == std::string::npos; ++i) {
        entry.submit(hopeless);
        entry.submit(makeRequest("usual-" + std::to_string(i)));
        line = entry.lastLine("job_rejected");
    }
    INFO(line);
    CHECK(line.find(R"("for_others":true)") != std::string::npos);
    CHECK(line.find(R"("job":"usual-)") != std::string::npos);
}

TEST_CASE("Queues of one service bear the same share of rejections, those of others bear none; it is soon forgotten")
{
    RejectionShares shares;
    Time now { std::chrono::hours(1) };
    for (int i = 0; i < 45; ++i) {
        shares.record("service", "urgent", i % 2 == 0, now);
        shares.record("service", "patient", false, now);
        shares.record("other", "apart", false, now);
    }
    CHECK(shares.shortfall("service", "urgent", now) == Approx(0));
    // 23 of 45, as if five more had been accepted.
    CHECK(shares.shortfall("service", "patient", now) == Approx(0.46));
    CHECK(shares.shortfall("service", "new", now) == Approx(0.46));
    CHECK(shares.shortfall("other", "apart", now) == Approx(0));
    CHECK(shares.shortfall("none", "none", now) == Approx(0));
    now += std::chrono::seconds(5);
    CHECK(shares.shortfall("service", "patient", now) < 0.05);
}

TEST_CASE("A caller that leaves, or cancels, stops its job, unless another waits for it too")
{
    auto [isCancel, others] = GENERATE(table<bool, int>({ { false, 0 }, { false, 1 }, { true, 0 } }));
    EntryAtWork entry;
    entry.submit(makeRequest("job"), 1);
    if (others)
        entry.submit(makeRequest("job"), 2);
    if (isCancel)
        CHECK(entry.core_.cancel("job", entry.now_));
    else
        entry.core_.abandon(CallerId(1), entry.now_);
    entry.collect();
    CHECK(entry.stops_ == (others ? 0 : 1));
    CHECK(entry.core_.isHeld("job") == (others > 0));
    CHECK_FALSE(entry.core_.cancel("none", entry.now_));
}

TEST_CASE("A lost agent's runs go elsewhere only when nothing of them can run any more")
{
    EntryAtWork entry;
    entry.submit(makeRequest("job"));
    LinkId lost = entry.starts_[0].first;
    entry.core_.closed(lost, entry.now_);
    entry.pass(milliseconds(760));
    CHECK(entry.starts_.size() == 1);
    entry.pass(milliseconds(60));
    CHECK(entry.starts_.size() == 2);
}

TEST_CASE("An agent that comes back is asked for its runs, and told to stop those whose job was answered")
{
    EntryAtWork entry(1);
    entry.submit(makeRequest("job"));
    entry.core_.closed(LinkId(1), entry.now_);
    entry.core_.cancel("job", entry.now_);
    entry.collect();
    CHECK(entry.stops_ == 0);
    entry.attach(3, 101);
    entry.collect();
    CHECK(entry.stops_ == 1);
}

TEST_CASE("An entry that stood still answers all its jobs: their callers may have sent them elsewhere")
{
    EntryAtWork entry;
    entry.submit(makeRequest("job"));
    entry.now_ += std::chrono::seconds(3);
    entry.core_.resume(std::chrono::seconds(3), entry.now_);
    entry.collect();
    REQUIRE(entry.answers_.size() == 1);
    CHECK(entry.answers_[0].verdict_ == JobVerdict::GivenUp);
}

TEST_CASE("A configuration is never replaced by an older one")
{
    auto [second, expected] = GENERATE(table<std::uint64_t, std::uint64_t>({ { 4, 5 }, { 5, 5 }, { 9, 9 } }));
    EntryAtWork entry;
    entry.core_.setQueues(EntryAtWork::makeQueues(5), "text", entry.now_);
    entry.core_.setQueues(EntryAtWork::makeQueues(second), "text", entry.now_);
    CHECK(entry.core_.configurationVersion() == expected);
}

TEST_CASE("The longest prefix that a path begins with selects the queue, the host's case and port do not matter")
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

TEST_CASE("A target's expected wait grows with what is beyond its room")
{
    struct Row {
        std::uint32_t committed_;
        int waitMs_;
    };
    // All that is committed is on its way there; what the target knows of adds its backlog.
    auto row = GENERATE(values<Row>({ { 0, 0 }, { 9000, 0 }, { 10'000, 17 }, { 19'000, 107 } }));
    TargetLoadView view { .capacity_ = { 10'000, 1000, 0 }, .committed_ = { row.committed_, 10, 0 }, .slowness_ = 2, .unseen_ = { row.committed_, 10, 0 }, .backlog_ = milliseconds(7), .typicalTime_ = milliseconds(100) };
    auto outlook = expectOn(view, { 1000, 10, 0 }, milliseconds(50));
    CHECK(outlook.run_ == milliseconds(100));
    CHECK(outlook.wait_ == milliseconds(row.waitMs_));
}

TEST_CASE("Declared times count half, the queue's mean the other half")
{
    WorkModel model;
    for (int i = 0; i < 100; ++i)
        model.learn("queue", milliseconds(100));
    CHECK(std::chrono::abs(model.learn("queue", milliseconds(400)) - milliseconds(200)) < milliseconds(5));
    CHECK(model.learn("new", milliseconds(400)) <= milliseconds(400));
}

} // namespace Lagoonpick
