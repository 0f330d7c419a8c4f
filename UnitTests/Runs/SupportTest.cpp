#include "Lagoonpick/Observability/EventLog.h"
#include "Lagoonpick/Observability/FaultLog.h"
#include "Lagoonpick/Transport/SuspensionDetector.h"
#include "Lagoonpick/Wire/RunMessageCodec.h"
#include "UnitTests/Runs/RunMessageExamples.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <rapidcheck/catch.h>
#include <unistd.h>

namespace Lagoonpick {

using std::chrono::milliseconds;

TEST_CASE("A log line is valid JSON for any field values")
{
    rc::prop("any text", [](const std::string& text) {
        LogLine line("event");
        line.text("text", text).number("number", 7).flag("flag", true).milliseconds("ms", milliseconds(3));
        boost::system::error_code error;
        // By default the parser accepts only valid UTF-8, which the log does not enforce.
        boost::json::parse_options options;
        options.allow_invalid_utf8 = true;
        auto value = boost::json::parse("{" + line.fields() + "}", error, {}, options);
        RC_ASSERT(!error);
        RC_ASSERT(value.at("number").as_int64() == 7);
    });
}

TEST_CASE("A stopped reader of standard output never blocks the log; dropped lines are counted and reported")
{
    int pipeEnds[2];
    REQUIRE(pipe(pipeEnds) == 0);
    int former = dup(STDOUT_FILENO);
    REQUIRE(dup2(pipeEnds[1], STDOUT_FILENO) >= 0);
    EventLog log("process", 8192);
    constexpr int lines = 5000;
    for (int i = 0; i < lines; ++i) {
        log.write(Time(), LogLine("event").number("line", i));
        log.flush();
    }
    std::uint64_t dropped = log.linesDropped();
    std::string read;
    auto drain = [&] {
        char buffer[65536];
        fcntl(pipeEnds[0], F_SETFL, O_NONBLOCK);
        for (ssize_t count = ::read(pipeEnds[0], buffer, sizeof buffer); count > 0; count = ::read(pipeEnds[0], buffer, sizeof buffer))
            read.append(buffer, static_cast<std::size_t>(count));
    };
    drain();
    log.flush();
    log.write(Time(), LogLine("after"));
    log.flush();
    drain();
    dup2(former, STDOUT_FILENO);
    close(former);
    close(pipeEnds[0]);
    close(pipeEnds[1]);
    CHECK(dropped > 0);
    CHECK(dropped < lines);
    CHECK(read.find("\"event\":\"log_lines_dropped\",\"lines\":" + std::to_string(dropped)) != std::string::npos);
}

// Guards against: what a slow reader had read was kept until it had read everything, so that the buffer grew without bound.
TEST_CASE("The log's buffer stays bounded while a slow reader never reads everything")
{
    constexpr std::size_t maxBytes = 8192;
    int pipeEnds[2];
    REQUIRE(pipe(pipeEnds) == 0);
    int former = dup(STDOUT_FILENO);
    REQUIRE(dup2(pipeEnds[1], STDOUT_FILENO) >= 0);
    EventLog log("process", maxBytes);
    std::size_t mostHeld = 0;
    for (int round = 0; round < 2000; ++round) {
        for (int line = 0; line < 100; ++line)
            log.write(Time(), LogLine("event").number("line", line));
        log.flush();
        mostHeld = std::max(mostHeld, log.heldBytes());
        char buffer[4096];
        REQUIRE(::read(pipeEnds[0], buffer, sizeof buffer) > 0);
    }
    dup2(former, STDOUT_FILENO);
    close(former);
    close(pipeEnds[0]);
    close(pipeEnds[1]);
    CHECK(mostHeld <= 2 * maxBytes);
}

TEST_CASE("A suspension is reported once, and only if it is longer than the limit")
{
    auto [suspension, isReported] = GENERATE(table<int, bool>({ { 10, false }, { 400, false }, { 401, true }, { 5000, true } }));
    SuspensionDetector detector { milliseconds(400) };
    Time start { std::chrono::hours(1) };
    CHECK_FALSE(detector.check(start));
    CHECK(detector.check(start + milliseconds(suspension)).has_value() == isReported);
    CHECK_FALSE(detector.check(start + milliseconds(suspension + 1)));
}

TEST_CASE("Run messages are unchanged by encoding and decoding; truncated frames are rejected and any bytes are handled")
{
    auto messages = makeOneOfEachRunMessage();
    REQUIRE(messages.size() == std::variant_size_v<Wire::RunMessage>);
    std::string frame = Wire::RunCodec::encode(messages);
    auto decoded = Wire::RunCodec::decode(frame);
    REQUIRE(decoded.has_value());
    CHECK(decoded.value() == messages);
    for (std::size_t size = 0; size < frame.size(); ++size)
        CHECK_FALSE(Wire::RunCodec::decode(frame.substr(0, size)).has_value());
    rc::prop("any bytes", [](const std::string& bytes) { (void)Wire::RunCodec::decode(bytes); });
}

// Guards against: a sender of nothing but unreadable input filled the log, so that other lines were dropped.
TEST_CASE("Lines about input that can't be decoded are short and few, and say how many were left out")
{
    FaultLog log;
    Time now { std::chrono::hours(1) };
    std::size_t lines = 0;
    std::size_t longest = 0;
    for (int i = 0; i < 1000; ++i) {
        auto line = log.makeLine("frame_unreadable", std::string(100'000, 's'), std::string(100'000, 'f'), now + milliseconds(i));
        lines += line ? 1 : 0;
        longest = std::max(longest, line ? line->fields().size() : 0);
    }
    CHECK(lines == 10);
    CHECK(longest < 600);
    CHECK(log.makeLine("heartbeat_unreadable", "i", "f", now + milliseconds(1000)).has_value());
    auto later = log.makeLine("frame_unreadable", "10.0.0.1:1", "f", now + std::chrono::seconds(10));
    REQUIRE(later.has_value());
    CHECK(later->fields() == R"("event":"frame_unreadable","sender":"10.0.0.1:1","error":"f","left_out":990)");
}

} // namespace Lagoonpick
