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

/// An agent with one link to its home, driven by hand.
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

    /// Sends a message to the agent, runs a tick and keeps what comes of it.
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

/// The only message of one kind; fails the test if there is another number of them.
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

TEST_CASE("A start that can't be taken is refused for good, with its reason", "[AgentCore]")
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
    // The same attempt is refused again, whatever has changed since.
    auto again = bench.send(start);
    CHECK(only<Wire::Refusal>(again).attempt_ == 1);
    CHECK(again.starts_.empty());
}

TEST_CASE("A task is started once, however often its start comes", "[AgentCore]")
{
    Bench bench;
    auto start = bench.start(0);
    CHECK(bench.send(start).starts_.size() == 1);
    CHECK(only<Wire::TaskState>(bench.send(start)).phase_ == Wire::Phase::Started);
    auto later = start;
    later.attempt_ = 2;
    CHECK(bench.send(later).starts_.empty());
    CHECK(only<Wire::Result>(bench.finish(start.key_, TargetAnswer::Answered)).outcome_ == Wire::TaskOutcome::Succeeded);
    auto afterwards = bench.send(start);
    CHECK(only<Wire::Result>(afterwards).outcome_ == Wire::TaskOutcome::Succeeded);
    CHECK(afterwards.starts_.empty());
}

TEST_CASE("A target's answer becomes the fate that is true of it", "[AgentCore]")
{
    struct Row {
        TargetAnswer answer_;
        std::uint32_t status_;
        Wire::TaskOutcome outcome_;
    };
    auto row = GENERATE(values<Row>({
        { TargetAnswer::Answered, 200, Wire::TaskOutcome::Succeeded },
        { TargetAnswer::Answered, 204, Wire::TaskOutcome::Succeeded },
        { TargetAnswer::Answered, 302, Wire::TaskOutcome::Failed },
        { TargetAnswer::Answered, 500, Wire::TaskOutcome::Failed },
        { TargetAnswer::Answered, 503, Wire::TaskOutcome::Failed },
        { TargetAnswer::Ambiguous, 0, Wire::TaskOutcome::Unknown },
    }));
    Bench bench;
    auto start = bench.start(0);
    bench.send(start);
    CHECK(only<Wire::Result>(bench.finish(start.key_, row.answer_, row.status_)).outcome_ == row.outcome_);
}

TEST_CASE("A task that was never written to its target may be sent again, by a higher attempt only", "[AgentCore]")
{
    Bench bench;
    auto start = bench.start(0);
    bench.send(start);
    CHECK(only<Wire::Refusal>(bench.finish(start.key_, TargetAnswer::NeverWritten)).reason_ == RefusalReason::TargetUnreachable);
    CHECK(bench.send(start).starts_.empty());
    start.attempt_ = 2;
    CHECK(bench.send(start).starts_.size() == 1);
}

TEST_CASE("An attempt that was never seen gets a tombstone when it is asked for", "[AgentCore]")
{
    Bench bench;
    auto start = bench.start(0);
    auto refusal = only<Wire::Refusal>(bench.send(Wire::Query { start.key_, 1 }));
    CHECK(refusal.reason_ == RefusalReason::NeverSeen);
    CHECK(bench.send(start).starts_.empty());
}

TEST_CASE("A fence drops what waits, lets run what runs, and is acknowledged", "[AgentCore]")
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
    CHECK(collected.tasks_[0].outcome_ == Wire::TaskOutcome::Succeeded);
    CHECK(collected.tasks_[0].body_ == "0123456789");
}

TEST_CASE("A fence of one entry leaves the others' tasks alone", "[AgentCore]")
{
    Bench bench;
    bench.send(bench.start(0));
    bench.send(bench.start(1));
    bench.send(Wire::Fence { otherHome });
    CHECK(bench.finish(bench.start(0).key_, TargetAnswer::Answered).starts_.size() == 1);
}

TEST_CASE("Results are kept until they are acknowledged, then as long as there is room", "[AgentCore]")
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

TEST_CASE("A ledger that is full refuses, and past that stays silent rather than guess", "[AgentCore]")
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

TEST_CASE("The ledger forgets past the window, and a start that is older than that is refused", "[AgentCore]")
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

TEST_CASE("A draining agent is done once its results are acknowledged by homes that are there", "[AgentCore]")
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

TEST_CASE("An agent that has not read the fence list takes no link", "[AgentCore]")
{
    AgentCore core(smallSettings(), Incarnation(2));
    core.linkOpened(fromUnixMilliseconds(beginMilliseconds), LinkId(1));
    CHECK(core.takeEffects().linksToClose_ == std::vector<LinkId> { LinkId(1) });
}

TEST_CASE("An agent refuses the entries that were fenced before it came", "[AgentCore]")
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
