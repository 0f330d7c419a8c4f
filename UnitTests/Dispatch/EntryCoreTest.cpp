#include "Lagoonpick/Dispatch/EntryCore.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace Lagoonpick;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t beginMilliseconds = 1'800'000'000'000;
constexpr auto oneTaskJob = R"({"tasks":[{}]})";

EntrySettings smallSettings(std::uint64_t maxKeptBytes, std::uint32_t maxTasksHeld)
{
    EntrySettings settings;
    settings.name_ = "entry";
    settings.rememberingWindow_ = seconds(60);
    settings.maxTasksHeld_ = maxTasksHeld;
    settings.maxTasksPerJob_ = 10'000;
    settings.linkTimeout_ = std::chrono::hours(1);
    settings.maxKeptBytes_ = maxKeptBytes;
    return settings;
}

/// Runs an entry with one target on simulated time; the test plays the caller and the agent.
class EntryFixture {
public:
    explicit EntryFixture(std::uint64_t maxKeptBytes = 10'000, std::uint32_t maxTasksHeld = 5)
        : core_(smallSettings(maxKeptBytes, maxTasksHeld), Incarnation(1), 1)
    {
        auto view = std::make_shared<PlatformView>();
        view->revision_ = 1;
        view->membershipRevision_ = 1;
        view->membership_ = { { { Time(), { { Incarnation(1), "entry", "a", "127.0.0.1:1" } } } }, now_ + seconds(600), {} };
        view->targets_["target"] = { .target_ = "target", .service_ = "default", .availabilityZone_ = "a", .address_ = "127.0.0.1:2", .agent_ = Incarnation(2), .registeredAt_ = now_, .ledgerLostAt_ = {} };
        core_.viewChanged(now_, view, true);
        core_.linkOpened(now_, link_);
        core_.receive(now_, link_, Wire::Hello { .role_ = Wire::Role::Agent, .incarnation_ = Incarnation(2), .generation_ = 1, .name_ = "target", .availabilityZone_ = "a", .service_ = "default", .load_ = { .slots_ = 2 } });
        advance({});
    }

    /// Advances the time, runs a tick and collects the effects.
    void advance(Duration span)
    {
        now_ += span;
        core_.tick(now_);
        auto effects = core_.takeEffects();
        for (auto& reply : effects.replies_)
            replies_.push_back(std::move(reply));
        for (auto& record : effects.audit_)
            audit_.push_back(std::move(record));
        for (auto& item : effects.messages_) {
            ++messages_[item.message_.index()];
            if (auto* start = std::get_if<Wire::Start>(&item.message_))
                starts_.push_back(std::move(*start));
        }
    }

    SubmissionId issue() { return SubmissionId::issue(Incarnation(1), now_, ++counter_); }

    /// Sends a caller's request; returns the reply's "title" or "outcome", or an empty string if there is no reply yet.
    std::string sendRequest(Wire::RequestKind kind, const SubmissionId& id, std::string body = oneTaskJob, Duration wait = seconds(5))
    {
        replies_.clear();
        core_.handle(now_, { .request_ = RequestId(++counter_), .kind_ = kind, .submission_ = id, .until_ = now_ + wait, .body_ = std::move(body) });
        advance({});
        return lastOutcome();
    }

    std::string lastOutcome() const
    {
        if (replies_.empty())
            return {};
        auto body = boost::json::parse(replies_.back().body_).as_object();
        return std::string(body.contains("title") ? body.at("title").as_string() : body.at("outcome").as_string());
    }

    void sendResult(const Wire::Start& start, Wire::TaskOutcome outcome)
    {
        core_.receive(now_, link_, Wire::Result { .key_ = start.key_, .attempt_ = start.attempt_, .outcome_ = outcome, .status_ = 200, .body_ = std::string(100, 'x'), .load_ = { .slots_ = 2 } });
        advance({});
    }

    EntryCore core_;
    LinkId link_ { 1 };
    Time now_ { fromUnixMilliseconds(beginMilliseconds) };
    std::vector<Reply> replies_;
    std::vector<AuditRecord> audit_;
    std::vector<Wire::Start> starts_;
    std::array<std::uint64_t, Wire::messageKindCount> messages_ {};
    std::uint32_t counter_ { 0 };
};

using enum Wire::RequestKind;

} // namespace

TEST_CASE("An answer is kept for the remembering window; after that its id has expired", "[EntryCore]")
{
    EntryFixture fixture;
    auto id = fixture.issue();
    CHECK(fixture.sendRequest(Submit, id).empty());
    fixture.sendResult(fixture.starts_.at(0), Wire::TaskOutcome::Succeeded);
    CHECK(fixture.lastOutcome() == "complete");
    fixture.advance(seconds(59));
    CHECK(fixture.sendRequest(Submit, id) == "complete");
    fixture.advance(seconds(10));
    CHECK(fixture.sendRequest(Submit, id) == "id-expired");
    CHECK(fixture.core_.home().jobs().size() == 0);
    CHECK(fixture.starts_.size() == 1);
}

TEST_CASE("A job that is open for longer than the remembering window is remembered until it ends", "[EntryCore]")
{
    EntryFixture fixture;
    auto id = fixture.issue();
    fixture.sendRequest(Submit, id);
    for (int i = 0; i < 100; ++i) {
        fixture.advance(seconds(1));
    }
    fixture.sendResult(fixture.starts_.at(0), Wire::TaskOutcome::Succeeded);
    CHECK(fixture.sendRequest(Fetch, id) == "complete");
}

TEST_CASE("A submission that was refused as not run stays refused for the remembering window", "[EntryCore]")
{
    EntryFixture fixture;
    auto id = fixture.issue();
    CHECK(fixture.sendRequest(Submit, id, R"({"tasks":[{},{},{},{},{},{}]})") == "overloaded");
    CHECK(fixture.sendRequest(Submit, id) == "refused-before");
    fixture.advance(seconds(59));
    CHECK(fixture.sendRequest(Submit, id) == "refused-before");
    fixture.advance(seconds(10));
    CHECK(fixture.sendRequest(Submit, id) == "id-expired");
    CHECK(fixture.core_.home().tombstoneCount() == 0);
    CHECK(fixture.starts_.empty());
}

TEST_CASE("An evicted answer is reported as dropped, with the submission marked as run", "[EntryCore]")
{
    EntryFixture fixture(300);
    auto first = fixture.issue();
    fixture.sendRequest(Submit, first);
    fixture.sendResult(fixture.starts_.at(0), Wire::TaskOutcome::Succeeded);
    auto second = fixture.issue();
    fixture.sendRequest(Submit, second);
    fixture.sendResult(fixture.starts_.at(1), Wire::TaskOutcome::Succeeded);
    CHECK(fixture.sendRequest(Submit, first) == "answer-dropped");
    CHECK(fixture.replies_.back().body_.find(R"("submission_run":"yes")") != std::string::npos);
    CHECK(fixture.sendRequest(Submit, second) == "complete");
}

TEST_CASE("Tasks that have not started are not started once their job is stopping", "[EntryCore]")
{
    enum class Cause {
        TaskFailed,
        Cancelled,
        DeadlinePassed,
    };
    auto cause = GENERATE(Cause::TaskFailed, Cause::Cancelled, Cause::DeadlinePassed);
    EntryFixture fixture;
    // All three tasks fit at the target: it has 2 slots and a queue depth of 6.
    auto id = fixture.issue();
    fixture.sendRequest(Submit, id, R"({"deadline_ms":500,"tasks":[{},{},{}]})");
    REQUIRE(fixture.starts_.size() == 3);
    auto started = fixture.starts_;
    if (cause == Cause::TaskFailed)
        fixture.sendResult(started[0], Wire::TaskOutcome::Failed);
    else if (cause == Cause::Cancelled)
        fixture.sendRequest(CancelJob, id);
    else
        fixture.advance(milliseconds(600));
    fixture.core_.receive(fixture.now_, fixture.link_, Wire::Dropped { .submission_ = id, .reason_ = Wire::RefusalReason::Cancelled, .tasks_ = { { 2, 1 } }, .load_ = { .slots_ = 2 } });
    fixture.sendResult(started[0], Wire::TaskOutcome::Succeeded);
    fixture.sendResult(started[1], Wire::TaskOutcome::Succeeded);
    CHECK(fixture.sendRequest(Fetch, id) == "failed");
    CHECK(fixture.replies_.back().body_.find("not_run") != std::string::npos);
    CHECK(fixture.starts_.size() == 3);
}

TEST_CASE("Results that match no outstanding attempt are ignored", "[EntryCore]")
{
    struct Row {
        const char* description_;
        std::uint32_t task_;
        std::uint32_t attempt_;
        bool isOtherSubmission_;
    };
    auto row = GENERATE(values<Row>({
        { "another attempt", 0, 2, false },
        { "a task index beyond the job", 9, 1, false },
        { "an unknown submission", 0, 1, true },
    }));
    CAPTURE(row.description_);
    EntryFixture fixture;
    auto id = fixture.issue();
    fixture.sendRequest(Submit, id);
    Wire::Start stray = fixture.starts_.at(0);
    stray.key_.task_ = row.task_;
    stray.attempt_ = row.attempt_;
    if (row.isOtherSubmission_)
        stray.key_.submission_ = fixture.issue();
    fixture.sendResult(stray, Wire::TaskOutcome::Succeeded);
    CHECK(fixture.lastOutcome().empty());
    fixture.sendResult(fixture.starts_.at(0), Wire::TaskOutcome::Succeeded);
    CHECK(fixture.lastOutcome() == "complete");
}

TEST_CASE("Each caller gets the answer of its own job, in whatever order results arrive", "[EntryCore]")
{
    EntryFixture fixture;
    auto first = fixture.issue();
    auto second = fixture.issue();
    fixture.sendRequest(Submit, first);
    fixture.sendRequest(Submit, second);
    fixture.sendResult(fixture.starts_.at(1), Wire::TaskOutcome::Succeeded);
    REQUIRE(fixture.replies_.size() == 1);
    CHECK(fixture.replies_[0].body_.find(second.toString()) != std::string::npos);
    fixture.sendResult(fixture.starts_.at(0), Wire::TaskOutcome::Failed);
    REQUIRE(fixture.replies_.size() == 2);
    CHECK(fixture.replies_[1].body_.find(first.toString()) != std::string::npos);
    CHECK(fixture.lastOutcome() == "failed");
}

namespace {

std::string makeJobBody(int tasks)
{
    std::string body = R"({"tasks":[{})";
    for (int i = 1; i < tasks; ++i)
        body += ",{}";
    return body + "]}";
}

std::uint64_t sentMessageCount(const EntryFixture& fixture, const Wire::Message& kind)
{
    return fixture.messages_[kind.index()];
}

} // namespace

TEST_CASE("Cancelling a job with ten thousand pending tasks sends one message, not one for each task", "[EntryCore]")
{
    EntryFixture fixture(10'000'000, 100'000);
    auto id = fixture.issue();
    fixture.sendRequest(Submit, id, makeJobBody(10'000));
    fixture.sendRequest(CancelJob, id);
    CHECK(sentMessageCount(fixture, Wire::Cancel {}) == 1);
    CHECK(fixture.core_.home().tasksPending() == 0);
}

TEST_CASE("The queued tasks of a stalled target are recalled and sent again", "[EntryCore]")
{
    EntryFixture fixture;
    auto id = fixture.issue();
    fixture.sendRequest(Submit, id, makeJobBody(4));
    REQUIRE(fixture.starts_.size() == 4);
    for (int i = 0; i < 30; ++i)
        fixture.advance(milliseconds(100));
    CHECK(sentMessageCount(fixture, Wire::Recall {}) == 1);
    fixture.core_.receive(fixture.now_, fixture.link_, Wire::Dropped { .submission_ = id, .reason_ = Wire::RefusalReason::Recalled, .tasks_ = { { 2, 1 }, { 3, 1 } }, .load_ = { .slots_ = 2, .running_ = 2 } });
    fixture.advance(seconds(1));
    // No task is sent to the target for 5 s; then it is used again, as there is no other target.
    CHECK(fixture.starts_.size() == 4);
    fixture.advance(seconds(5));
    CHECK(fixture.starts_.size() == 6);
    CHECK(fixture.starts_.back().attempt_ == 2);
}

TEST_CASE("A refusal does not shorten the longer pause of a stalled target", "[EntryCore]")
{
    EntryFixture fixture;
    auto id = fixture.issue();
    fixture.sendRequest(Submit, id, makeJobBody(4));
    for (int i = 0; i < 30; ++i)
        fixture.advance(milliseconds(100));
    REQUIRE(sentMessageCount(fixture, Wire::Recall {}) == 1);
    fixture.core_.receive(fixture.now_, fixture.link_, Wire::Refusal { .key_ = { id, 3 }, .attempt_ = 1, .reason_ = Wire::RefusalReason::QueueFull, .load_ = { .slots_ = 2 } });
    fixture.advance(seconds(1));
    CHECK(fixture.starts_.size() == 4);
    fixture.advance(seconds(5));
    CHECK(fixture.starts_.size() == 5);
}

TEST_CASE("A job that would wait too long is refused at once, with a Retry-After time", "[EntryCore]")
{
    struct Row {
        const char* description_;
        const char* deadline_;
        int waiting_;
        const char* title_;
        /// The time until the job would be accepted: two slots run tasks of 20 ms, and a backlog of 10 s is accepted.
        std::uint32_t retryAfterSeconds_;
    };
    auto row = GENERATE(values<Row>({
        { "a short backlog", "", 10, "", 0 },
        { "a long backlog", "", 1300, "overloaded", 3 },
        { "a longer backlog", "", 5000, "overloaded", 40 },
        { "the deadline can be met", R"("deadline_ms":60000,)", 10, "", 0 },
        { "the deadline can't be met", R"("deadline_ms":20,)", 100, "deadline-too-near", 1 },
        { "the deadline can't be met by far", R"("deadline_ms":20,)", 900, "deadline-too-near", 9 },
    }));
    CAPTURE(row.description_);
    EntryFixture fixture(10'000'000, 100'000);
    fixture.sendRequest(Submit, fixture.issue());
    Wire::Result result { .key_ = fixture.starts_[0].key_, .attempt_ = 1, .outcome_ = Wire::TaskOutcome::Succeeded, .status_ = 200, .runMicroseconds_ = 20'000, .body_ = {}, .load_ = { .slots_ = 2 } };
    fixture.core_.receive(fixture.now_, fixture.link_, result);
    fixture.advance({});
    fixture.sendRequest(Submit, fixture.issue(), makeJobBody(row.waiting_));
    auto title = fixture.sendRequest(Submit, fixture.issue(), std::string("{") + row.deadline_ + R"("tasks":[{}]})");
    CHECK(title == row.title_);
    if (!title.empty())
        CHECK(fixture.replies_.back().retryAfterSeconds_ == row.retryAfterSeconds_);
}

TEST_CASE("Each refusal writes an audit record with the submission and the reason", "[EntryCore]")
{
    struct Row {
        const char* title_;
        Duration age_;
        const char* body_;
    };
    auto row = GENERATE(values<Row>({
        { "id-expired", seconds(61), oneTaskJob },
        { "id-from-the-future", seconds(-6), oneTaskJob },
        { "malformed-job", seconds(0), "{}" },
        { "no-target", seconds(0), R"({"service":"none","tasks":[{}]})" },
    }));
    EntryFixture fixture;
    auto id = SubmissionId::issue(Incarnation(1), fixture.now_ - row.age_, 1);
    CHECK(fixture.sendRequest(Submit, id, row.body_) == row.title_);
    REQUIRE(fixture.audit_.size() == 1);
    CHECK(fixture.audit_[0].event_ == AuditEvent::RequestRefused);
    CHECK(fixture.audit_[0].submission_ == id);
    CHECK(fixture.audit_[0].detail_ == row.title_);
}

TEST_CASE("A new agent's Hello settles no task of the replaced agent; the platform view does, unless this entry is fenced", "[EntryCore]")
{
    struct Row {
        const char* description_;
        bool isFenced_;
        const char* expectedOutcome_;
    };
    auto row = GENERATE(values<Row>({ { "not fenced", false, "failed" }, { "fenced", true, "" } }));
    CAPTURE(row.description_);
    EntryFixture fixture;
    auto id = fixture.issue();
    fixture.sendRequest(Submit, id);
    fixture.core_.linkClosed(fixture.link_);
    LinkId newer { 2 };
    fixture.core_.linkOpened(fixture.now_, newer);
    fixture.core_.receive(fixture.now_, newer, Wire::Hello { .role_ = Wire::Role::Agent, .incarnation_ = Incarnation(3), .generation_ = 2, .name_ = "target", .availabilityZone_ = "a", .service_ = "default", .load_ = { .slots_ = 2 } });
    fixture.advance({});
    CHECK(fixture.lastOutcome().empty());
    PlatformView view = fixture.core_.view();
    view.revision_ = 2;
    view.targets_["target"].agent_ = Incarnation(3);
    view.targets_["target"].generation_ = 2;
    if (row.isFenced_)
        view.membership_.fenced_.push_back({ Incarnation(1), fixture.now_ });
    fixture.core_.viewChanged(fixture.now_, std::make_shared<PlatformView>(view), true);
    fixture.advance({});
    CHECK(fixture.lastOutcome() == row.expectedOutcome_);
}
