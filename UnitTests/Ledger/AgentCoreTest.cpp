#include "Lagoonpick/Ledger/AgentCore.h"

#include <catch2/catch.hpp>

using namespace Lagoonpick;
using Wire::RefusalReason;

namespace {

using std::chrono::seconds;

constexpr std::int64_t startMilliseconds = 1'800'000'000'000;
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
class AgentFixture {
public:
    AgentFixture()
        : core_(smallSettings(), Incarnation(2))
    {
        core_.becomeReady(1, {});
        connect(link_, home);
    }

    void connect(LinkId link, Incarnation entry)
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

    AgentEffects endTask(const TaskKey& key, TargetAnswer answer, std::uint32_t status = 200)
    {
        core_.targetEnded(now_, { .key_ = key, .answer_ = answer, .status_ = status, .body_ = "0123456789" });
        core_.tick(now_);
        return core_.takeEffects();
    }

    LinkId link_ { 1 };
    Time now_ { fromUnixMilliseconds(startMilliseconds) };
    AgentCore core_;
};

/// The message of type `Kind`; fails the test unless there is exactly one.
template <typename Kind>
Kind onlyMessage(const AgentEffects& effects)
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
        const char* description_;
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
    CAPTURE(row.description_);
    AgentFixture fixture;
    std::string description = row.description_;
    Wire::Start start = fixture.start(0, description == "an id past the window" ? seconds(61) : description == "an id far ahead" ? seconds(-11)
                                                                                                                                 : seconds(0));
    if (description == "another service")
        start.service_ = "other";
    if (description == "a fenced home")
        fixture.send(Wire::Fence { home });
    if (description == "a draining agent")
        fixture.core_.beginDrain();
    if (description == "a full queue") {
        for (std::uint32_t task = 1; task <= 3; ++task)
            fixture.send(fixture.start(task));
    }
    auto refusal = onlyMessage<Wire::Refusal>(fixture.send(start));
    CHECK(refusal.reason_ == row.reason_);
    CHECK(refusal.attempt_ == 1);
    // The same attempt is refused again when it is repeated.
    auto again = fixture.send(start);
    CHECK(onlyMessage<Wire::Refusal>(again).attempt_ == 1);
    CHECK(again.starts_.empty());
}

TEST_CASE("A task is started once, however often its start is received", "[AgentCore]")
{
    AgentFixture fixture;
    auto start = fixture.start(0);
    CHECK(fixture.send(start).starts_.size() == 1);
    CHECK(onlyMessage<Wire::TaskState>(fixture.send(start)).phase_ == Wire::Phase::Started);
    auto later = start;
    later.attempt_ = 2;
    CHECK(fixture.send(later).starts_.empty());
    CHECK(onlyMessage<Wire::Result>(fixture.endTask(start.key_, TargetAnswer::Answered)).outcome_ == Wire::TaskOutcome::Succeeded);
    auto afterwards = fixture.send(start);
    CHECK(onlyMessage<Wire::Result>(afterwards).outcome_ == Wire::TaskOutcome::Succeeded);
    CHECK(afterwards.starts_.empty());
}

TEST_CASE("A target's answer determines the outcome of the task", "[AgentCore]")
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
    AgentFixture fixture;
    auto start = fixture.start(0);
    fixture.send(start);
    CHECK(onlyMessage<Wire::Result>(fixture.endTask(start.key_, row.answer_, row.status_)).outcome_ == row.outcome_);
}

TEST_CASE("A task that was never written to its target is started again by a higher attempt only", "[AgentCore]")
{
    AgentFixture fixture;
    auto start = fixture.start(0);
    fixture.send(start);
    CHECK(onlyMessage<Wire::Refusal>(fixture.endTask(start.key_, TargetAnswer::NeverWritten)).reason_ == RefusalReason::TargetUnreachable);
    CHECK(fixture.send(start).starts_.empty());
    start.attempt_ = 2;
    CHECK(fixture.send(start).starts_.size() == 1);
}

TEST_CASE("A query for an attempt that was never seen leaves a tombstone", "[AgentCore]")
{
    AgentFixture fixture;
    auto start = fixture.start(0);
    auto refusal = onlyMessage<Wire::Refusal>(fixture.send(Wire::Query { start.key_, 1 }));
    CHECK(refusal.reason_ == RefusalReason::NeverSeen);
    CHECK(fixture.send(start).starts_.empty());
}

TEST_CASE("A fence drops queued tasks, lets running tasks end, and is acknowledged", "[AgentCore]")
{
    AgentFixture fixture;
    fixture.send(fixture.start(0));
    fixture.send(fixture.start(1));
    auto effects = fixture.send(Wire::Fence { home });
    CHECK(onlyMessage<Wire::FenceAck>(effects).incarnation_ == home);
    CHECK(onlyMessage<Wire::Dropped>(effects).tasks_ == std::vector<Wire::DroppedTask> { { 1, 1 } });
    auto collected = onlyMessage<Wire::Collected>(fixture.send(Wire::Collect { fixture.start(0).key_.submission_ }));
    CHECK(collected.taskCount_ == 9);
    REQUIRE(collected.tasks_.size() == 1);
    CHECK(collected.tasks_[0].phase_ == Wire::Phase::Started);
    fixture.endTask(fixture.start(0).key_, TargetAnswer::Answered);
    collected = onlyMessage<Wire::Collected>(fixture.send(Wire::Collect { fixture.start(0).key_.submission_ }));
    CHECK(collected.tasks_[0].outcome_ == Wire::TaskOutcome::Succeeded);
    CHECK(collected.tasks_[0].body_ == "0123456789");
}

TEST_CASE("A fence of one entry does not affect the tasks of others", "[AgentCore]")
{
    AgentFixture fixture;
    fixture.send(fixture.start(0));
    fixture.send(fixture.start(1));
    fixture.send(Wire::Fence { otherHome });
    CHECK(fixture.endTask(fixture.start(0).key_, TargetAnswer::Answered).starts_.size() == 1);
}

TEST_CASE("Answers are kept until they are acknowledged, and then until their space is needed", "[AgentCore]")
{
    AgentFixture fixture;
    for (std::uint32_t task = 0; task < 2; ++task) {
        fixture.send(fixture.start(task));
        fixture.endTask(fixture.start(task).key_, TargetAnswer::Answered);
    }
    auto both = onlyMessage<Wire::Collected>(fixture.send(Wire::Collect { fixture.start(0).key_.submission_ }));
    CHECK((both.tasks_[0].isBodyKept_ && both.tasks_[1].isBodyKept_));
    fixture.send(Wire::ResultAcks { { fixture.start(0).key_, fixture.start(1).key_ } });
    auto afterAcks = onlyMessage<Wire::Collected>(fixture.send(Wire::Collect { fixture.start(0).key_.submission_ }));
    CHECK(afterAcks.tasks_[0].isBodyKept_ != afterAcks.tasks_[1].isBodyKept_);
    CHECK(afterAcks.tasks_[0].phase_ == Wire::Phase::Done);
}

TEST_CASE("A full ledger refuses starts, and ignores them once it has no room for tombstones", "[AgentCore]")
{
    AgentFixture fixture;
    std::size_t refusals = 0;
    std::size_t ignoredStarts = 0;
    for (std::uint32_t task = 0; task < 20; ++task) {
        auto effects = fixture.send(fixture.start(task));
        if (effects.messages_.empty() && effects.starts_.empty())
            ++ignoredStarts;
        for (const auto& item : effects.messages_)
            refusals += std::holds_alternative<Wire::Refusal>(item.message_);
    }
    CHECK(refusals > 0);
    CHECK(ignoredStarts > 0);
    CHECK(fixture.core_.ledger().size() <= 12);
}

TEST_CASE("The ledger removes rows past the remembering window, and a start of an older submission is refused", "[AgentCore]")
{
    AgentFixture fixture;
    auto start = fixture.start(0);
    fixture.send(start);
    fixture.endTask(start.key_, TargetAnswer::Answered);
    fixture.now_ += seconds(69);
    fixture.send(Wire::Heartbeat {});
    CHECK(fixture.core_.ledger().size() == 1);
    fixture.now_ += seconds(2);
    fixture.send(Wire::Heartbeat {});
    CHECK(fixture.core_.ledger().size() == 0);
    auto effects = fixture.send(start);
    CHECK(effects.starts_.empty());
    CHECK(onlyMessage<Wire::Refusal>(effects).reason_ == RefusalReason::Expired);
}

TEST_CASE("A draining agent is drained once its results are acknowledged by all connected homes", "[AgentCore]")
{
    bool isHomeConnected = GENERATE(true, false);
    AgentFixture fixture;
    fixture.send(fixture.start(0));
    fixture.core_.beginDrain();
    CHECK_FALSE(fixture.core_.isDrained());
    fixture.endTask(fixture.start(0).key_, TargetAnswer::Answered);
    if (isHomeConnected) {
        CHECK_FALSE(fixture.core_.isDrained());
        fixture.send(Wire::ResultAcks { { fixture.start(0).key_ } });
    } else {
        fixture.core_.linkClosed(fixture.link_);
    }
    CHECK(fixture.core_.isDrained());
}

TEST_CASE("An agent that has not read the fence list closes every link", "[AgentCore]")
{
    AgentCore core(smallSettings(), Incarnation(2));
    core.linkOpened(fromUnixMilliseconds(startMilliseconds), LinkId(1));
    CHECK(core.takeEffects().linksToClose_ == std::vector<LinkId> { LinkId(1) });
}

TEST_CASE("An agent refuses starts from entries that were fenced before it registered", "[AgentCore]")
{
    struct Row {
        Incarnation fenced_;
        bool isAccepted_;
    };
    auto row = GENERATE(values<Row>({ { home, false }, { otherHome, true } }));
    AgentCore core(smallSettings(), Incarnation(2));
    core.becomeReady(1, std::vector<Incarnation> { row.fenced_ });
    Time now = fromUnixMilliseconds(startMilliseconds);
    core.linkOpened(now, LinkId(1));
    core.receive(now, LinkId(1), Wire::Hello { .incarnation_ = home, .name_ = "entry", .availabilityZone_ = {}, .service_ = {}, .load_ = {} });
    TaskKey key { SubmissionId::issue(home, now, 1), 0 };
    core.receive(now, LinkId(1), Wire::Start { .key_ = key, .attempt_ = 1, .taskCount_ = 1, .service_ = "payout", .payload_ = {} });
    core.tick(now);
    CHECK(core.takeEffects().starts_.empty() == !row.isAccepted_);
}
