#include "Lagoonpick/Wire/MessageCodec.h"
#include "UnitTests/Support/CborItems.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Lagoonpick;
using namespace Lagoonpick::Wire;

namespace {

TaskKey makeTaskKey()
{
    return { SubmissionId::issue(Incarnation(0x123456789abc), fromUnixMilliseconds(1'796'358'001'099), 9), 449 };
}

std::vector<Message> makeOneOfEachKind()
{
    Load load { 8, 3, 2, true };
    return {
        Hello { protocolVersion, Role::Agent, Incarnation(5), 3, "target-1", "zone-a", "payout", load },
        Heartbeat { load, 17 },
        Start { makeTaskKey(), 2, 450, "payout", -123'456'789, 30'000, std::string("\0\xff payload", 10) },
        Refusal { makeTaskKey(), 2, RefusalReason::LedgerFull, load },
        Result { makeTaskKey(), 2, TaskOutcome::Failed, 500, 123'456'789'012, "body", load },
        ResultAcks { { makeTaskKey(), makeTaskKey() } },
        Query { makeTaskKey(), 3 },
        TaskState { makeTaskKey(), 3, Phase::Started, load },
        Cancel { makeTaskKey().submission_ },
        Dropped { makeTaskKey().submission_, RefusalReason::Cancelled, { { 1, 2 }, { 3, 4 } }, load },
        Fence { Incarnation(0xffffffffffff) },
        FenceAck { Incarnation(1) },
        Collect { makeTaskKey().submission_ },
        Collected { makeTaskKey().submission_, 3, { { 1, Phase::Done, TaskOutcome::Succeeded, 200, true, "body" } } },
        Forward { ~0ULL, RequestKind::CancelJob, makeTaskKey().submission_, 1000, "team", "{}" },
        ForwardReply { ~0ULL, 200, 1, "{}" },
        Recall {},
    };
}

} // namespace

TEST_CASE("Every kind of message survives a round trip", "[MessageCodec]")
{
    auto messages = makeOneOfEachKind();
    REQUIRE(messages.size() == messageKindCount);
    auto decoded = decode(encode(messages));
    REQUIRE(decoded);
    CHECK(decoded.value() == messages);
}

TEST_CASE("A frame truncated at any length is rejected", "[MessageCodec]")
{
    auto frame = encode(makeOneOfEachKind());
    for (std::size_t length = 0; length < frame.size(); ++length) {
        CAPTURE(length);
        CHECK_FALSE(decode(std::string_view(frame).substr(0, length)));
    }
}

TEST_CASE("Frames that no peer of this version writes are rejected", "[MessageCodec]")
{
    struct Row {
        const char* description_;
        std::string frame_;
    };
    auto row = GENERATE(values<Row>({
        { "nothing", "" },
        { "not an array", std::string("\x01", 1) },
        { "a length beyond the frame", std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 9) },
        { "an unknown kind", std::string("\x81\x18\x63", 3) },
        { "a kind of the wrong type", std::string("\x81\x41\x61", 3) },
        { "an incarnation beyond 48 bits", std::string("\x81\x0a\x1b\xff\xff\xff\xff\xff\xff\xff\xff", 11) },
        { "an indefinite length", std::string("\x9f\xff", 2) },
        { "trailing bytes", encode(std::vector<Message> { Fence { Incarnation(1) } }) + "x" },
        { "text", "GET / HTTP/1.1\r\n\r\n" },
    }));
    CAPTURE(row.description_);
    auto decoded = decode(row.frame_);
    REQUIRE_FALSE(decoded);
    CHECK(decoded.error().code_ == ErrorCode::Malformed);
}

TEST_CASE("A message whose field is left out, doubled, nested or of another type is rejected", "[MessageCodec]")
{
    for (const auto& message : makeOneOfEachKind()) {
        CAPTURE(message.index());
        for (const auto& frame : damageFields(encode(std::vector { message })))
            CHECK_FALSE(decode(frame));
    }
}

TEST_CASE("Corrupted and arbitrary frames are rejected or decoded, without any other effect", "[MessageCodec]")
{
    rc::prop("a frame with one byte changed", [] {
        auto frame = encode(makeOneOfEachKind());
        auto position = *rc::gen::inRange<std::size_t>(0, frame.size());
        frame[position] = *rc::gen::arbitrary<char>();
        auto decoded = decode(frame);
        if (decoded)
            RC_ASSERT(decoded.value().size() == messageKindCount);
    });
    rc::prop("arbitrary bytes", [](const std::string& frame) {
        auto decoded = decode(frame);
        if (decoded)
            RC_ASSERT(decoded.value().size() <= frame.size());
    });
}
