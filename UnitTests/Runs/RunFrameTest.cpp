#include "UnitTests/Runs/RunFrames.h"

#include <catch2/catch.hpp>

namespace Lagoonpick {

TEST_CASE("A message of a frame whose field is left out, doubled, nested or of another type is rejected")
{
    for (const auto& message : makeOneOfEachRunMessage()) {
        CAPTURE(message.index());
        REQUIRE(isDecoded(toFrame(message)));
        for (const auto& frame : damageFields(toFrame(message)))
            CHECK_FALSE(isDecoded(frame));
    }
}

// Guards against: a number or text out of any sensible range was taken over and then wrapped, filled the memory, or went into a call.
TEST_CASE("A frame's field is decoded at its limit and rejected beyond it, with an error that names it")
{
    constexpr std::uint64_t counter = 1ULL << 53U;
    constexpr std::uint64_t year = 31'536'000'000'000;
    constexpr std::uint64_t latest = 253'402'300'799'999;
    constexpr std::uint64_t amount = 1'000'000'000;
    struct Row {
        std::string field_;
        Wire::RunMessage message_;
        /// The number of the field's item among the fields.
        std::size_t item_;
        std::string valid_;
        std::string invalid_;
    };
    auto number = [](std::string field, Wire::RunMessage message, std::size_t item, std::uint64_t valid, std::uint64_t invalid) {
        return Row { std::move(field), std::move(message), item, makeNumber(valid), makeNumber(invalid) };
    };
    auto text = [](std::string field, Wire::RunMessage message, std::size_t item, std::size_t limit) {
        return Row { std::move(field), std::move(message), item, makeText(std::string(limit, 'x')), makeText(std::string(limit + 1, 'x')) };
    };
    auto odd = [](std::string field, Wire::RunMessage message, std::size_t item, const std::string& invalid) {
        return Row { std::move(field), std::move(message), item, makeText("x"), makeText(invalid) };
    };
    const auto entryHello = exampleOf<Wire::EntryHello>();
    const auto agentHello = exampleOf<Wire::AgentHello>();
    const auto heartbeat = exampleOf<Wire::RunHeartbeat>();
    const auto start = exampleOf<Wire::StartRun>();
    const auto ended = exampleOf<Wire::RunEnded>();
    const auto stalled = exampleOf<Wire::RunStalled>();
    const auto report = exampleOf<Wire::TargetReport>();
    const auto copy = exampleOf<Wire::ConfigurationCopy>();
    const auto addresses = exampleOf<Wire::EntryAddresses>();
    const auto zones = exampleOf<Wire::EvacuatedZones>();
    const std::string noUtf8 = "\xff\xfe";
    constexpr std::uint64_t top = ~0ULL;
    auto zigzag = [](std::uint64_t magnitude, bool isNegative) { return magnitude * 2 - (isNegative ? 1 : 0); };
    const std::vector<Row> rows {
        number("incarnation", entryHello, 1, 1, 0),
        text("name", entryHello, 2, 256),
        odd("name", entryHello, 2, ""),
        odd("name", entryHello, 2, noUtf8),
        text("availability_zone", entryHello, 3, 256),
        odd("availability_zone", entryHello, 3, noUtf8),
        text("address", entryHello, 4, 64),
        odd("address", entryHello, 4, ""),
        number("incarnation", agentHello, 1, 1, 0),
        text("name", agentHello, 2, 256),
        text("availability_zone", agentHello, 3, 256),
        text("control_address", agentHello, 4, 64),
        odd("control_address", agentHello, 4, noUtf8),
        text("target_address", agentHello, 5, 64),
        odd("target_address", agentHello, 5, noUtf8),
        number("agent_time", agentHello, 6, latest, latest + 1),
        number("configuration_version", heartbeat, 0, counter, counter + 1),
        number("highest_seen_end", heartbeat, 1, counter, top),
        number("agent_time", heartbeat, 2, latest, top),
        number("zones_revision", heartbeat, 3, counter, top),
        number("version", Wire::ConfigurationRequest { 1 }, 0, counter, top),
        number("version", copy, 0, counter, top),
        number("version", copy, 0, 1, 0),
        odd("text", copy, 1, ""),
        odd("text", copy, 1, noUtf8),
        { "addresses", addresses, 1, makeText(std::string(64, 'x')), makeText(std::string(65, 'x')) },
        odd("addresses", addresses, 2, noUtf8),
        number("run", start, 0, counter, counter + 1),
        number("run", start, 0, 1, 0),
        text("task", start, 1, 128),
        odd("task", start, 1, ""),
        odd("task", start, 1, noUtf8),
        number("number", start, 2, 0xffffffff, 0x100000000),
        number("number", start, 2, 1, 0),
        text("payload", start, 3, 4000),
        odd("payload", start, 3, noUtf8),
        text("service", start, 4, 256),
        text("required_label", start, 5, 256),
        number("need", start, 6, amount, amount + 1),
        number("need", start, 7, amount, amount + 1),
        number("need", start, 8, amount, 0xffffffff),
        number("work", start, 9, year, year + 1),
        number("wait", start, 10, year, top),
        number("due_in", start, 11, zigzag(year, false), zigzag(year + 1, false)),
        number("due_in", start, 11, zigzag(year, true), top),
        number("priority", start, 12, 0xffffffff, 0x100000000),
        number("caller_timeout", start, 13, year, top),
        number("agent_time", start, 14, latest, top),
        number("run", Wire::StopRun { 1 }, 0, 1, 0),
        number("run", Wire::QueryRun { 1 }, 0, counter, top),
        number("sequence", ended, 0, 1, 0),
        number("sequence", ended, 0, counter, top),
        number("run", ended, 1, counter, top),
        number("end", ended, 2, 4, 5),
        number("reason", ended, 3, 9, 10),
        // A run that failed was begun.
        number("reason", ended, 2, 4, 1),
        number("duration", ended, 4, year, top),
        number("remaining", stalled, 1, year, top),
        text("service", report, 2, 256),
        text("labels", report, 4, 256),
        odd("labels", report, 5, noUtf8),
        number("capacity", report, 6, amount, 0xffffffff),
        number("capacity", report, 8, amount, amount + 1),
        number("used", report, 9, 0xffffffff, 0x100000000),
        number("queued", report, 14, 0xffffffff, 0x100000000),
        number("slowdown", report, 15, amount, top),
        number("backlog", report, 16, year, top),
        number("queued_backlogs", report, 18, 1, 0x100000000),
        number("queued_backlogs", report, 19, zigzag(year, true), top),
        number("queued_backlogs", report, 20, year, top),
        // After the place that follows it.
        number("queued_backlogs", report, 18, 2, 3),
        number("typical", report, 24, year, top),
        number("highest_seen_run", report, 25, counter, top),
        number("agent_time", report, 26, latest, top),
        number("revision", zones, 0, counter, top),
        number("revision", zones, 0, 1, 0),
        { "names", zones, 3, makeText(std::string(256, 'x')), makeText(std::string(257, 'x')) },
        odd("names", zones, 3, noUtf8),
        // Before, and equal to, the name that precedes it.
        odd("names", zones, 3, ""),
        odd("names", zones, 3, "a"),
    };
    for (const auto& row : rows) {
        CAPTURE(row.field_, row.message_.index(), row.item_);
        CHECK(isDecoded(replaceItem(row.message_, firstField + row.item_, row.valid_)));
        auto decoded = Wire::RunCodec::decode(replaceItem(row.message_, firstField + row.item_, row.invalid_));
        CHECK_FALSE(decoded.has_value());
        if (!decoded)
            CHECK_THAT(decoded.error().message_, Catch::Matchers::Contains("the field '" + row.field_ + "' "));
    }
}

// Guards against: a frame of the size that links allow took a hundred times as much memory once it was decoded.
TEST_CASE("A frame has a limited number of messages, labels, addresses and zones")
{
    auto [count, isValid] = GENERATE(table<std::size_t, bool>({ { 0, true }, { 16'384, true }, { 16'385, false }, { 1'000'000, false } }));
    std::string frame = makeItem(4, count);
    for (std::size_t i = 0; i < count; ++i)
        frame += std::string("\x07\x01", 2);
    CHECK(isDecoded(frame) == isValid);
    auto report = exampleOf<Wire::TargetReport>();
    report.labels_.assign(64, "label");
    CHECK(isDecoded(toFrame(report)));
    report.labels_.assign(65, "label");
    CHECK_FALSE(isDecoded(toFrame(report)));
    report = exampleOf<Wire::TargetReport>();
    report.queuedBacklogs_.clear();
    for (std::uint32_t priority = 0; priority < 16; ++priority)
        report.queuedBacklogs_.push_back({ priority, 0, 1 });
    CHECK(isDecoded(toFrame(report)));
    report.queuedBacklogs_.push_back({ 16, 0, 1 });
    CHECK_FALSE(isDecoded(toFrame(report)));
    CHECK(isDecoded(toFrame(Wire::EntryAddresses { std::vector<std::string>(1024, "10.0.0.1:1") })));
    CHECK_FALSE(isDecoded(toFrame(Wire::EntryAddresses { std::vector<std::string>(1025, "10.0.0.1:1") })));
    Wire::EvacuatedZones zones { 1, {} };
    CHECK(isDecoded(toFrame(zones)));
    for (int zone = 0; zone < 1024; ++zone)
        zones.names_.push_back("zone-" + std::to_string(1000 + zone));
    CHECK(isDecoded(toFrame(zones)));
    zones.names_.emplace_back("zone-9999");
    CHECK_FALSE(isDecoded(toFrame(zones)));
}

// Guards against: a peer's own measure beyond a limit closed its link, and its runs were lost with it.
TEST_CASE("Measures are encoded within the limits at which receivers reject them")
{
    constexpr std::uint64_t top = ~0ULL;
    auto start = exampleOf<Wire::StartRun>();
    start.need_ = { 0xffffffff, 0xffffffff, 0xffffffff };
    start.workMicroseconds_ = start.waitMicroseconds_ = start.callerTimeoutMicroseconds_ = top;
    start.dueInMicroseconds_ = std::numeric_limits<std::int64_t>::min();
    auto report = exampleOf<Wire::TargetReport>();
    report.capacity_ = report.used_ = report.queued_ = { 0xffffffff, 0xffffffff, 0xffffffff };
    report.slowdownPermille_ = report.backlogMicroseconds_ = report.typicalMicroseconds_ = top;
    report.queuedBacklogs_ = { { 0, std::numeric_limits<std::int64_t>::min(), top } };
    auto ended = exampleOf<Wire::RunEnded>();
    ended.durationMicroseconds_ = top;
    const std::vector<Wire::RunMessage> messages { start, report, ended, Wire::RunStalled { 1, top, top } };
    for (const auto& message : messages)
        CHECK(isDecoded(toFrame(message)));
}

} // namespace Lagoonpick
