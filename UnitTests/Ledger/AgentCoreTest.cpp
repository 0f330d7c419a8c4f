#include "Lagoonpick/Ledger/AgentCore.h"

#include <catch2/catch.hpp>

using namespace Lagoonpick;
using Wire::RefusalReason;

namespace {

using std::chrono::seconds;

constexpr std::int64_t beginMilliseconds = 1'800'000'000'000;
constexpr Incarnation home { 1 };
constexpr Incarnation otherHome { 7 };

AgentSettings smallSettings()
{
    AgentSettings settings;
    settings.name_ = "target";
    settings.service_ = "payout";
    settings.slots_ = 1;
    settings.maxQueued_ = 2;
    settings.maxLedgerRows_ = 6;
    settings.maxKeptBytes_ = 10;
    settings.rememberingWindow_ = seconds(60);
    settings.clockError_ = seconds(10);
    settings.linkTimeout_ = std::chrono::hours(1);
    return settings;
}

/// An agent with one link to the entry `home`. The tests advance its time.
class Bench {
public:
    Bench()
        : core_(smallSettings(), Incarnation(2))
    {
        core_.becomeReady(1, {});
        greet(link_, home);
    }

    void greet(LinkId link, Incarnation entry)
    {
        core_.linkOpened(now_, link);
        core_.receive(now_, link, Wire::Hello { .incarnation_ = entry, .name_ = "entry", .availabilityZone_ = {}, .service_ = {}, .load_ = {} });
        core_.takeEffects();
    }

    Wire::Start start(std::uint32_t task, Duration age = {})
    {
        TaskKey key { SubmissionId::issue(home, now_ - age, 5), task };
        return { .key_ = key, .attempt_ = 1, .taskCount_ = 9, .service_ = "payout", .timeoutMilliseconds_ = 1000, .payload_ = "p" };
    }

    /// Sends a message to the agent, runs a tick and returns the effects of both.
    AgentEffects send(const Wire::Message& message)
    {
        core_.receive(now_, link_, message);
        core_.tick(now_);
        return core_.takeEffects();
    }

    AgentEffects finish(const TaskKey& key, TargetAnswer answer, std::uint32_t status = 200)
    {
        core_.targetEnded(now_, { .key_ = key, .answer_ = answer, .status_ = status, .body_ = "0123456789" });
        core_.tick(now_);
        return core_.takeEffects();
    }

    LinkId link_ { 1 };
    Time now_ { fromUnixMilliseconds(beginMilliseconds) };
    AgentCore core_;
};

/// The message of type `Kind`; fails the test unless there is exactly one.
template <typename Kind>
Kind only(const AgentEffects& effects)
{
    std::vector<Kind> found;
    for (const auto& item : effects.messages_) {
        if (const auto* message = std::get_if<Kind>(&item.message_))
            found.push_back(*message);
    }
    REQUIRE(found.size() == 1);
    return found[0];
}

} // namespace

TEST_CASE("A start that can't be accepted is refused permanently, with the reason", "[AgentCore]")
{
    struct Row {
        const char* what_;
        RefusalReason reason_;
    };
    auto row = GENERATE(values<Row>({
        { "another service", RefusalReason::UnknownService },
        { "an id past the window", RefusalReason::Expired },
        { "an id far ahead", RefusalReason::Expired },
        { "a fenced home", RefusalReason::Fenced },
        { "a draining agent", RefusalReason::Draining },
        { "a full queue", RefusalReason::QueueFull },
    }));
    CAPTURE(row.what_);
    Bench bench;
    std::string what = row.what_;
    Wire::Start start = bench.start(0, what == "an id past the window" ? seconds(61) : what == "an id far ahead" ? seconds(-11)
                                                                                                                 : seconds(0));
    if (what == "another service")
        start.service_ = "other";
    if (what == "a fenced home")
        bench.send(Wire::Fence { home });
    if (what == "a draining agent")
        bench.core_.beginDrain();
    if (what == "a full queue") {
        for (std::uint32_t task = 1; task <= 3; ++task)
            bench.send(bench.start(task));
    }
    auto refusal = only<Wire::Refusal>(bench.send(start));
    CHECK(refusal.reason_ == row.reason_);
    CHECK(refusal.attempt_ == 1);
    // The same attempt is refused again when it is repeated.
    auto again = bench.send(start);
    CHECK(only<Wire::Refusal>(again).attempt_ == 1);
    CHECK(again.starts_.empty());
}

TEST_CASE("A task is started once, however often its start is received", "[AgentCore]")
{
    Bench bench;
    auto start = bench.start(0);
    CHECK(bench.send(start).starts_.size() == 1);
    CHECK(only<Wire::TaskState>(bench.send(start)).phase_ == Wire::Phase::Started);
    auto later = start;
    later.attempt_ = 2;
    CHECK(bench.send(later).starts_.empty());
    CHECK(only<Wire::Result>(bench.finish(start.key_, TargetAnswer::Answered)).fate_ == Wire::Fate::Succeeded);
    auto afterwards = bench.send(start);
    CHECK(only<Wire::Result>(afterwards).fate_ == Wire::Fate::Succeeded);
    CHECK(afterwards.starts_.empty());
}

TEST_CASE("A target's answer determines the outcome of the task", "[AgentCore]")
{
    struct Row {
        TargetAnswer answer_;
        std::uint32_t status_;
        Wire::Fate fate_;
    };
    auto row = GENERATE(values<Row>({
        { TargetAnswer::Answered, 200, Wire::Fate::Succeeded },
        { TargetAnswer::Answered, 204, Wire::Fate::Succeeded },
        { TargetAnswer::Answered, 302, Wire::Fate::Failed },
        { TargetAnswer::Answered, 500, Wire::Fate::Failed },
        { TargetAnswer::Answered, 503, Wire::Fate::Failed },
        { TargetAnswer::Ambiguous, 0, Wire::Fate::Unknown },
    }));
    Bench bench;
    auto start = bench.start(0);
    bench.send(start);
    CHECK(only<Wire::Result>(bench.finish(start.key_, row.answer_, row.status_)).fate_ == row.fate_);
}

TEST_CASE("A task that was never written to its target is started again by a higher attempt only", "[AgentCore]")
{
    Bench bench;
    auto start = bench.start(0);
    bench.send(start);
    CHECK(only<Wire::Refusal>(bench.finish(start.key_, TargetAnswer::NeverWritten)).reason_ == RefusalReason::TargetUnreachable);
    CHECK(bench.send(start).starts_.empty());
    start.attempt_ = 2;
    CHECK(bench.send(start).starts_.size() == 1);
}

TEST_CASE("A query for an attempt that was never seen leaves a tombstone", "[AgentCore]")
{
    Bench bench;
    auto start = bench.start(0);
    auto refusal = only<Wire::Refusal>(bench.send(Wire::Query { start.key_, 1 }));
    CHECK(refusal.reason_ == RefusalReason::NeverSeen);
    CHECK(bench.send(start).starts_.empty());
}

TEST_CASE("A fence drops queued tasks, lets running tasks end, and is acknowledged", "[AgentCore]")
{
    Bench bench;
    bench.send(bench.start(0));
    bench.send(bench.start(1));
    auto effects = bench.send(Wire::Fence { home });
    CHECK(only<Wire::FenceAck>(effects).incarnation_ == home);
    CHECK(only<Wire::Dropped>(effects).tasks_ == std::vector<Wire::DroppedTask> { { 1, 1 } });
    auto collected = only<Wire::Collected>(bench.send(Wire::Collect { bench.start(0).key_.submission_ }));
    CHECK(collected.taskCount_ == 9);
    REQUIRE(collected.tasks_.size() == 1);
    CHECK(collected.tasks_[0].phase_ == Wire::Phase::Started);
    bench.finish(bench.start(0).key_, TargetAnswer::Answered);
    collected = only<Wire::Collected>(bench.send(Wire::Collect { bench.start(0).key_.submission_ }));
    CHECK(collected.tasks_[0].fate_ == Wire::Fate::Succeeded);
    CHECK(collected.tasks_[0].body_ == "0123456789");
}

TEST_CASE("A fence of one entry does not affect the tasks of others", "[AgentCore]")
{
    Bench bench;
    bench.send(bench.start(0));
    bench.send(bench.start(1));
    bench.send(Wire::Fence { otherHome });
    CHECK(bench.finish(bench.start(0).key_, TargetAnswer::Answered).starts_.size() == 1);
}

TEST_CASE("Answers are kept until they are acknowledged, and then until their space is needed", "[AgentCore]")
{
    Bench bench;
    for (std::uint32_t task = 0; task < 2; ++task) {
        bench.send(bench.start(task));
        bench.finish(bench.start(task).key_, TargetAnswer::Answered);
    }
    auto both = only<Wire::Collected>(bench.send(Wire::Collect { bench.start(0).key_.submission_ }));
    CHECK((both.tasks_[0].isBodyKept_ && both.tasks_[1].isBodyKept_));
    bench.send(Wire::ResultAcks { { bench.start(0).key_, bench.start(1).key_ } });
    auto left = only<Wire::Collected>(bench.send(Wire::Collect { bench.start(0).key_.submission_ }));
    CHECK(left.tasks_[0].isBodyKept_ != left.tasks_[1].isBodyKept_);
    CHECK(left.tasks_[0].phase_ == Wire::Phase::Done);
}

TEST_CASE("A full ledger refuses starts, and ignores them once it has no room for tombstones", "[AgentCore]")
{
    Bench bench;
    std::size_t refusals = 0;
    std::size_t silences = 0;
    for (std::uint32_t task = 0; task < 20; ++task) {
        auto effects = bench.send(bench.start(task));
        if (effects.messages_.empty() && effects.starts_.empty())
            ++silences;
        for (const auto& item : effects.messages_)
            refusals += std::holds_alternative<Wire::Refusal>(item.message_);
    }
    CHECK(refusals > 0);
    CHECK(silences > 0);
    CHECK(bench.core_.ledger().size() <= 12);
}

TEST_CASE("The ledger removes rows past the remembering window, and a start of an older submission is refused", "[AgentCore]")
{
    Bench bench;
    auto start = bench.start(0);
    bench.send(start);
    bench.finish(start.key_, TargetAnswer::Answered);
    bench.now_ += seconds(69);
    bench.send(Wire::Heartbeat {});
    CHECK(bench.core_.ledger().size() == 1);
    bench.now_ += seconds(2);
    bench.send(Wire::Heartbeat {});
    CHECK(bench.core_.ledger().size() == 0);
    auto effects = bench.send(start);
    CHECK(effects.starts_.empty());
    CHECK(only<Wire::Refusal>(effects).reason_ == RefusalReason::Expired);
}

TEST_CASE("A draining agent is drained once its results are acknowledged by all connected homes", "[AgentCore]")
{
    bool isHomeThere = GENERATE(true, false);
    Bench bench;
    bench.send(bench.start(0));
    bench.core_.beginDrain();
    CHECK_FALSE(bench.core_.isDrained());
    bench.finish(bench.start(0).key_, TargetAnswer::Answered);
    if (isHomeThere) {
        CHECK_FALSE(bench.core_.isDrained());
        bench.send(Wire::ResultAcks { { bench.start(0).key_ } });
    } else {
        bench.core_.linkClosed(bench.link_);
    }
    CHECK(bench.core_.isDrained());
}

TEST_CASE("An agent that has not read the fence list closes every link", "[AgentCore]")
{
    AgentCore core(smallSettings(), Incarnation(2));
    core.linkOpened(fromUnixMilliseconds(beginMilliseconds), LinkId(1));
    CHECK(core.takeEffects().linksToClose_ == std::vector<LinkId> { LinkId(1) });
}

TEST_CASE("An agent refuses starts from entries that were fenced before it registered", "[AgentCore]")
{
    struct Row {
        Incarnation fenced_;
        bool isTaken_;
    };
    auto row = GENERATE(values<Row>({ { home, false }, { otherHome, true } }));
    AgentCore core(smallSettings(), Incarnation(2));
    core.becomeReady(1, std::vector<Incarnation> { row.fenced_ });
    Time now = fromUnixMilliseconds(beginMilliseconds);
    core.linkOpened(now, LinkId(1));
    core.receive(now, LinkId(1), Wire::Hello { .incarnation_ = home, .name_ = "entry", .availabilityZone_ = {}, .service_ = {}, .load_ = {} });
    TaskKey key { SubmissionId::issue(home, now, 1), 0 };
    core.receive(now, LinkId(1), Wire::Start { .key_ = key, .attempt_ = 1, .taskCount_ = 1, .service_ = "payout", .payload_ = {} });
    core.tick(now);
    CHECK(core.takeEffects().starts_.empty() == !row.isTaken_);
}
