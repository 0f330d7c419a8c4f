#include "Lagoonpick/Job/JobEntryCore.h"
#include "UnitTests/Runs/RunAgentFixture.h"
#include "UnitTests/Runs/RunFrames.h"

#include <catch2/catch.hpp>

namespace Lagoonpick {

using std::chrono::milliseconds;

namespace {

/// Delivers a frame as a host does: one that can't be decoded has no effect but that its link closes.
template <typename Core>
void deliver(Core& core, LinkId on, const std::string& frame, Time now)
{
    auto messages = Wire::RunCodec::decode(frame);
    if (!messages)
        return core.linkClosed(on, now);
    for (const auto& message : messages.value())
        core.receive(on, message, now);
}

/// An entry with one agent on each of two links; tests deliver frames of the second.
class TwoAgentsFixture {
public:
    TwoAgentsFixture()
    {
        core_.setQueues(QueueTable(1, { { .name_ = "queue", .host_ = "host", .prefix_ = "/queue/", .service_ = "service", .maxAttempts_ = 2, .slackFactor_ = 3, .allowance_ = milliseconds(200) } }), "text");
        for (std::uint64_t agent = 1; agent <= 2; ++agent) {
            core_.linkOpened(LinkId(agent), now_);
            deliver(core_, LinkId(agent), toFrame(Wire::AgentHello { .incarnation_ = Incarnation(agent), .name_ = "agent-" + std::to_string(agent), .agentTime_ = 1 }), now_);
        }
        deliver(core_, LinkId(1), toFrame(report()), now_);
        (void)core_.takeEffects();
    }

    static Wire::TargetReport report()
    {
        return { .isOpen_ = true, .service_ = "service", .labels_ = {}, .capacity_ = { 100'000, 100'000, 0 }, .agentTime_ = 1 };
    }

    /// Submits a job of one task and returns the starts sent, with their links.
    std::vector<std::pair<LinkId, Wire::StartRun>> submit()
    {
        core_.submit(CallerId(1), { .id_ = "5c0e7a21d94b36f8", .host_ = "host", .path_ = "/queue/", .payload_ = {}, .need_ = { 1000, 10, 0 }, .requiredLabel_ = {}, .rack_ = {}, .estimate_ = milliseconds(50), .callerTimeout_ = milliseconds(1500) }, now_);
        return takeStarts();
    }

    std::vector<std::pair<LinkId, Wire::StartRun>> takeStarts()
    {
        std::vector<std::pair<LinkId, Wire::StartRun>> starts;
        for (const auto& item : core_.takeEffects().messages_) {
            if (const auto* start = std::get_if<Wire::StartRun>(&item.message_))
                starts.emplace_back(item.link_, *start);
        }
        return starts;
    }

    Time now_ { std::chrono::hours(1) };
    JobEntryCore core_ { JobEntryCoreSettings { .name_ = "entry", .incarnation_ = Incarnation(9), .linkAddress_ = "10.0.0.1:1" }, 1 };
};

} // namespace

// Guards against: a measure that wrapped made a target look better than any other, so that it drew all tasks.
TEST_CASE("A report out of range draws no task from a target that reports properly")
{
    struct Row {
        std::string description_;
        /// The number of the field's item, and its value.
        std::size_t item_;
        std::uint64_t value_;
    };
    auto row = GENERATE(values<Row>({
        { "slowdown", 13, 1ULL << 63U },
        { "backlog", 14, ~0ULL - 10'000'000 },
        { "typical run time", 15, 1ULL << 63U },
    }));
    INFO(row.description_);
    TwoAgentsFixture fixture;
    auto report = TwoAgentsFixture::report();
    // Both are full, so that backlogs and run times count.
    report.used_ = report.capacity_;
    deliver(fixture.core_, LinkId(2), replaceItem(report, firstField + row.item_, makeNumber(row.value_)), fixture.now_);
    auto busy = TwoAgentsFixture::report();
    busy.used_ = busy.capacity_;
    busy.backlogMicroseconds_ = 10'000;
    busy.typicalMicroseconds_ = 50'000;
    deliver(fixture.core_, LinkId(1), toFrame(busy), fixture.now_);
    auto starts = fixture.submit();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].first == LinkId(1));
}

// Guards against: sums of resources wrapped, so that a target with far too many tasks looked free.
TEST_CASE("A target whose used and queued resources exceed 32 bits together is full")
{
    TwoAgentsFixture fixture;
    auto report = TwoAgentsFixture::report();
    report.used_ = { 0x90000000, 0, 0 };
    report.queued_ = { 0x70000000, 0, 0 };
    deliver(fixture.core_, LinkId(2), toFrame(report), fixture.now_);
    auto row = fixture.core_.agents().find(Incarnation(2));
    REQUIRE(row != fixture.core_.agents().end());
    CHECK_FALSE(hasRoom(report.capacity_, row->second.load({}).committed_, { 1000, 10, 0 }));
    CHECK(scale(milliseconds(50), 1e30) > std::chrono::hours(1));
    CHECK(scale(milliseconds(50), -1e30) < Duration());
}

// Guards against: a run that had begun was counted as never sent, so that its task's next start had the same number.
TEST_CASE("An end that contradicts its reason takes no start number back")
{
    TwoAgentsFixture fixture;
    auto starts = fixture.submit();
    REQUIRE(starts.size() == 1);
    deliver(fixture.core_, LinkId(1), toFrame(Wire::RunEnded { 1, starts[0].second.run_, Wire::RunEnd::Failed, Wire::NotStartedReason::NoRoom, 5 }), fixture.now_);
    for (const auto& [on, start] : fixture.takeStarts())
        CHECK(start.number_ > starts[0].second.number_);
    CHECK(fixture.core_.agents().at(Incarnation(1)).link_ == std::nullopt);
}

// Guards against: an agent without an incarnation counted as room, but no task could be sent to it, so that jobs were accepted in vain.
TEST_CASE("An agent whose hello names no incarnation is not one to place work on")
{
    TwoAgentsFixture fixture;
    fixture.core_.linkOpened(LinkId(3), fixture.now_);
    deliver(fixture.core_, LinkId(3), toFrame(Wire::AgentHello { .incarnation_ = {}, .name_ = "agent-3", .agentTime_ = 1 }), fixture.now_);
    CHECK(fixture.core_.agents().size() == 2);
}

// Guards against: a span that wrapped lay in the past, so that a run that may wait was returned, or one that has time came first.
TEST_CASE("A start with a span out of range starts and returns no run")
{
    struct Row {
        std::size_t item_;
        std::uint64_t value_;
    };
    // Expected run time, wait, time until it is due, caller's timeout.
    auto row = GENERATE(values<Row>({ { 9, 1ULL << 63U }, { 10, 1ULL << 63U }, { 11, ~0ULL }, { 12, 1ULL << 63U } }));
    CAPTURE(row.item_);
    RunAgentFixture fixture;
    Wire::StartRun start { .run_ = 1, .task_ = "job.0.0.0", .number_ = 1, .payload_ = "p", .service_ = "service", .need_ = { 1000, 10, 0 }, .workMicroseconds_ = 1000, .waitMicroseconds_ = 100'000, .dueInMicroseconds_ = 1000, .callerTimeoutMicroseconds_ = 1'000'000 };
    deliver(fixture.core_, link, replaceItem(start, firstField + row.item_, makeNumber(row.value_)), fixture.now_);
    fixture.advance(milliseconds(1));
    CHECK(fixture.starts_.empty());
    CHECK(fixture.ends().empty());
}

} // namespace Lagoonpick
