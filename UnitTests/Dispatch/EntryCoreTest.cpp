#include "Lagoonpick/Dispatch/EntryCore.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace Lagoonpick;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t beginMilliseconds = 1'800'000'000'000;
constexpr auto oneTask = R"({"tasks":[{}]})";

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

/// An entry with one target, driven by hand.
class Bench {
public:
    explicit Bench(std::uint64_t maxKeptBytes = 10'000, std::uint32_t maxTasksHeld = 5)
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

    /// Lets time pass and runs a tick.
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

    /// The reply's "title" or "outcome"; empty if there is no reply yet.
    std::string ask(Wire::RequestKind kind, const SubmissionId& id, std::string body = oneTask, Duration wait = seconds(5))
    {
        replies_.clear();
        core_.handle(now_, { .request_ = RequestId(++counter_), .kind_ = kind, .submission_ = id, .until_ = now_ + wait, .body_ = std::move(body) });
        advance({});
        return lastWord();
    }

    std::string lastWord() const
    {
        if (replies_.empty())
            return {};
        auto body = boost::json::parse(replies_.back().body_).as_object();
        return std::string(body.contains("title") ? body.at("title").as_string() : body.at("outcome").as_string());
    }

    void finish(const Wire::Start& start, Wire::TaskOutcome fate)
    {
        core_.receive(now_, link_, Wire::Result { .key_ = start.key_, .attempt_ = start.attempt_, .outcome_ = fate, .status_ = 200, .body_ = std::string(100, 'x'), .load_ = { .slots_ = 2 } });
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

TEST_CASE("An answer is kept for the remembering window and unknown past it", "[EntryCore]")
{
    Bench bench;
    auto id = bench.issue();
    CHECK(bench.ask(Submit, id).empty());
    bench.finish(bench.starts_.at(0), Wire::TaskOutcome::Succeeded);
    CHECK(bench.lastWord() == "complete");
    bench.advance(seconds(59));
    CHECK(bench.ask(Submit, id) == "complete");
    bench.advance(seconds(10));
    CHECK(bench.ask(Submit, id) == "id-expired");
    CHECK(bench.core_.home().jobs().size() == 0);
    CHECK(bench.starts_.size() == 1);
}

TEST_CASE("A job that outlives the window is remembered until it ends", "[EntryCore]")
{
    Bench bench;
    auto id = bench.issue();
    bench.ask(Submit, id);
    for (int i = 0; i < 100; ++i) {
        bench.advance(seconds(1));
    }
    bench.finish(bench.starts_.at(0), Wire::TaskOutcome::Succeeded);
    CHECK(bench.ask(Fetch, id) == "complete");
}

TEST_CASE("A refusal with 'not run' stands for the window", "[EntryCore]")
{
    Bench bench;
    auto id = bench.issue();
    CHECK(bench.ask(Submit, id, R"({"tasks":[{},{},{},{},{},{}]})") == "overloaded");
    CHECK(bench.ask(Submit, id) == "refused-before");
    bench.advance(seconds(59));
    CHECK(bench.ask(Submit, id) == "refused-before");
    bench.advance(seconds(10));
    CHECK(bench.ask(Submit, id) == "id-expired");
    CHECK(bench.core_.home().tombstoneCount() == 0);
    CHECK(bench.starts_.empty());
}

TEST_CASE("An answer that was let go is said to be gone, not to be missing", "[EntryCore]")
{
    Bench bench(300);
    auto first = bench.issue();
    bench.ask(Submit, first);
    bench.finish(bench.starts_.at(0), Wire::TaskOutcome::Succeeded);
    auto second = bench.issue();
    bench.ask(Submit, second);
    bench.finish(bench.starts_.at(1), Wire::TaskOutcome::Succeeded);
    CHECK(bench.ask(Submit, first) == "answer-dropped");
    CHECK(bench.replies_.back().body_.find(R"("submission_run":"yes")") != std::string::npos);
    CHECK(bench.ask(Submit, second) == "complete");
}

TEST_CASE("What has not started stays unstarted once a job stops", "[EntryCore]")
{
    enum class Cause {
        TaskFailed,
        Cancelled,
        DeadlinePassed,
    };
    auto cause = GENERATE(Cause::TaskFailed, Cause::Cancelled, Cause::DeadlinePassed);
    Bench bench;
    // Room for six of them at the target: slots and queue depth.
    auto id = bench.issue();
    bench.ask(Submit, id, R"({"deadline_ms":500,"tasks":[{},{},{}]})");
    REQUIRE(bench.starts_.size() == 3);
    auto started = bench.starts_;
    if (cause == Cause::TaskFailed)
        bench.finish(started[0], Wire::TaskOutcome::Failed);
    else if (cause == Cause::Cancelled)
        bench.ask(CancelJob, id);
    else
        bench.advance(milliseconds(600));
    bench.core_.receive(bench.now_, bench.link_, Wire::Dropped { .submission_ = id, .reason_ = Wire::RefusalReason::Cancelled, .tasks_ = { { 2, 1 } }, .load_ = { .slots_ = 2 } });
    bench.finish(started[0], Wire::TaskOutcome::Succeeded);
    bench.finish(started[1], Wire::TaskOutcome::Succeeded);
    CHECK(bench.ask(Fetch, id) == "failed");
    CHECK(bench.replies_.back().body_.find("not_run") != std::string::npos);
    CHECK(bench.starts_.size() == 3);
}

TEST_CASE("Results that answer nothing change nothing", "[EntryCore]")
{
    struct Row {
        const char* what_;
        std::uint32_t task_;
        std::uint32_t attempt_;
        bool isOtherSubmission_;
    };
    auto row = GENERATE(values<Row>({
        { "another attempt", 0, 2, false },
        { "a task beyond the job", 9, 1, false },
        { "a submission that nobody made", 0, 1, true },
    }));
    CAPTURE(row.what_);
    Bench bench;
    auto id = bench.issue();
    bench.ask(Submit, id);
    Wire::Start stray = bench.starts_.at(0);
    stray.key_.task_ = row.task_;
    stray.attempt_ = row.attempt_;
    if (row.isOtherSubmission_)
        stray.key_.submission_ = bench.issue();
    bench.finish(stray, Wire::TaskOutcome::Succeeded);
    CHECK(bench.lastWord().empty());
    bench.finish(bench.starts_.at(0), Wire::TaskOutcome::Succeeded);
    CHECK(bench.lastWord() == "complete");
}

TEST_CASE("Each caller gets its own answer, in whatever order results come", "[EntryCore]")
{
    Bench bench;
    auto first = bench.issue();
    auto second = bench.issue();
    bench.ask(Submit, first);
    bench.ask(Submit, second);
    bench.finish(bench.starts_.at(1), Wire::TaskOutcome::Succeeded);
    REQUIRE(bench.replies_.size() == 1);
    CHECK(bench.replies_[0].body_.find(second.toString()) != std::string::npos);
    bench.finish(bench.starts_.at(0), Wire::TaskOutcome::Failed);
    REQUIRE(bench.replies_.size() == 2);
    CHECK(bench.replies_[1].body_.find(first.toString()) != std::string::npos);
    CHECK(bench.lastWord() == "failed");
}

namespace {

std::string jobOf(int tasks)
{
    std::string body = R"({"tasks":[{})";
    for (int i = 1; i < tasks; ++i)
        body += ",{}";
    return body + "]}";
}

std::uint64_t countOf(const Bench& bench, const Wire::Message& kind)
{
    return bench.messages_[kind.index()];
}

} // namespace

TEST_CASE("Cancelling ten thousand waiting tasks sends one message, not one a task", "[EntryCore]")
{
    Bench bench(10'000'000, 100'000);
    auto id = bench.issue();
    bench.ask(Submit, id, jobOf(10'000));
    bench.ask(CancelJob, id);
    CHECK(countOf(bench, Wire::Cancel {}) == 1);
    CHECK(bench.core_.home().tasksPending() == 0);
}

TEST_CASE("Once a target ends nothing any more, what waits there is called back and sent elsewhere", "[EntryCore]")
{
    Bench bench;
    auto id = bench.issue();
    bench.ask(Submit, id, jobOf(4));
    REQUIRE(bench.starts_.size() == 4);
    for (int i = 0; i < 30; ++i)
        bench.advance(milliseconds(100));
    CHECK(countOf(bench, Wire::Recall {}) == 1);
    bench.core_.receive(bench.now_, bench.link_, Wire::Dropped { .submission_ = id, .reason_ = Wire::RefusalReason::Recalled, .tasks_ = { { 2, 1 }, { 3, 1 } }, .load_ = { .slots_ = 2, .running_ = 2 } });
    bench.advance(seconds(1));
    // It is left alone for a while, then tried again: there is no other here.
    CHECK(bench.starts_.size() == 4);
    bench.advance(seconds(5));
    CHECK(bench.starts_.size() == 6);
    CHECK(bench.starts_.back().attempt_ == 2);
}

TEST_CASE("A refusal does not shorten the pause of a target that is left alone for longer", "[EntryCore]")
{
    Bench bench;
    auto id = bench.issue();
    bench.ask(Submit, id, jobOf(4));
    for (int i = 0; i < 30; ++i)
        bench.advance(milliseconds(100));
    REQUIRE(countOf(bench, Wire::Recall {}) == 1);
    bench.core_.receive(bench.now_, bench.link_, Wire::Refusal { .key_ = { id, 3 }, .attempt_ = 1, .reason_ = Wire::RefusalReason::QueueFull, .load_ = { .slots_ = 2 } });
    bench.advance(seconds(1));
    CHECK(bench.starts_.size() == 4);
    bench.advance(seconds(5));
    CHECK(bench.starts_.size() == 5);
}

TEST_CASE("A job that would wait too long is refused at once, with a time to come back", "[EntryCore]")
{
    struct Row {
        const char* what_;
        const char* deadline_;
        int waiting_;
        const char* title_;
    };
    auto row = GENERATE(values<Row>({
        { "little waits", "", 10, "" },
        { "much waits", "", 5000, "overloaded" },
        { "the deadline can be kept", R"("deadline_ms":60000,)", 10, "" },
        { "the deadline can't be kept", R"("deadline_ms":20,)", 100, "deadline-too-near" },
    }));
    CAPTURE(row.what_);
    Bench bench(10'000'000, 100'000);
    bench.ask(Submit, bench.issue());
    Wire::Result result { .key_ = bench.starts_[0].key_, .attempt_ = 1, .outcome_ = Wire::TaskOutcome::Succeeded, .status_ = 200, .runMicroseconds_ = 20'000, .body_ = {}, .load_ = { .slots_ = 2 } };
    bench.core_.receive(bench.now_, bench.link_, result);
    bench.advance({});
    bench.ask(Submit, bench.issue(), jobOf(row.waiting_));
    auto title = bench.ask(Submit, bench.issue(), std::string("{") + row.deadline_ + R"("tasks":[{}]})");
    CHECK(title == row.title_);
    if (!title.empty())
        CHECK(bench.replies_.back().retryAfterSeconds_ > 0);
}

TEST_CASE("Each refusal leaves an audit line that names the submission and the reason", "[EntryCore]")
{
    struct Row {
        const char* title_;
        Duration age_;
        const char* body_;
    };
    auto row = GENERATE(values<Row>({
        { "id-expired", seconds(61), oneTask },
        { "id-from-the-future", seconds(-6), oneTask },
        { "malformed-job", seconds(0), "{}" },
        { "no-target", seconds(0), R"({"service":"none","tasks":[{}]})" },
    }));
    Bench bench;
    auto id = SubmissionId::issue(Incarnation(1), bench.now_ - row.age_, 1);
    CHECK(bench.ask(Submit, id, row.body_) == row.title_);
    REQUIRE(bench.audit_.size() == 1);
    CHECK(bench.audit_[0].event_ == AuditEvent::RequestRefused);
    CHECK(bench.audit_[0].submission_ == id);
    CHECK(bench.audit_[0].detail_ == row.title_);
}

TEST_CASE("A replaced agent's greeting settles nothing; the platform's view does, unless it shows a fence", "[EntryCore]")
{
    struct Row {
        const char* what_;
        bool isFenced_;
        const char* expectedOutcome_;
    };
    auto row = GENERATE(values<Row>({ { "not fenced", false, "failed" }, { "fenced", true, "" } }));
    CAPTURE(row.what_);
    Bench bench;
    auto id = bench.issue();
    bench.ask(Submit, id);
    bench.core_.linkClosed(bench.link_);
    LinkId newer { 2 };
    bench.core_.linkOpened(bench.now_, newer);
    bench.core_.receive(bench.now_, newer, Wire::Hello { .role_ = Wire::Role::Agent, .incarnation_ = Incarnation(3), .generation_ = 2, .name_ = "target", .availabilityZone_ = "a", .service_ = "default", .load_ = { .slots_ = 2 } });
    bench.advance({});
    CHECK(bench.lastWord().empty());
    PlatformView view = bench.core_.view();
    view.revision_ = 2;
    view.targets_["target"].agent_ = Incarnation(3);
    view.targets_["target"].generation_ = 2;
    if (row.isFenced_)
        view.membership_.fenced_.push_back({ Incarnation(1), bench.now_ });
    bench.core_.viewChanged(bench.now_, std::make_shared<PlatformView>(view), true);
    bench.advance({});
    CHECK(bench.lastWord() == row.expectedOutcome_);
}
