#include "Lagoonpick/Transport/MessageReader.h"
#include "UnitTests/Support/Environment.h"

#include <catch2/catch.hpp>
#include <random>

namespace Lagoonpick {

namespace {

constexpr MessageLimits limits { .maxHeaderBytes_ = 300, .maxHeaderFields_ = 8, .maxBodyBytes_ = 1000 };
/// A reader may hold the header, the body and the spare room of two strings that grow by doubling, and what its fields take.
constexpr std::size_t maxHeldBytes = 2 * (300 + 1000) + 8 * 96 + 64;

/// What a reader made of some bytes.
struct Reading {
    PeerFault fault_ { PeerFault::None };
    bool isComplete_ { false };
    std::string body_;
    /// How many bytes belong to the message.
    std::size_t usedBytes_ { 0 };
    std::size_t mostHeldBytes_ { 0 };
    bool isKept_ { false };

    bool isSameAs(const Reading& other) const
    {
        return fault_ == other.fault_ && isComplete_ == other.isComplete_ && body_ == other.body_ && (!isComplete_ || usedBytes_ == other.usedBytes_);
    }
};

/// Reads `bytes` in pieces whose sizes `nextSize` returns.
template <typename Reader, typename NextSize>
Reading read(std::string_view bytes, NextSize nextSize, bool hasEnd = false)
{
    Reader reader(limits);
    Reading reading;
    while (reading.usedBytes_ < bytes.size() && !reader.isComplete() && reader.fault() == PeerFault::None) {
        reading.usedBytes_ += reader.put(bytes.substr(reading.usedBytes_, nextSize()));
        reading.mostHeldBytes_ = std::max(reading.mostHeldBytes_, reader.heldBytes());
    }
    if (hasEnd)
        reader.putEnd();
    reading.fault_ = reader.fault();
    reading.isComplete_ = reader.isComplete();
    reading.body_ = reader.takeBody();
    reading.isKept_ = reader.isHeadComplete() && reader.isConnectionKept();
    return reading;
}

template <typename Reader = RequestReader>
Reading readWhole(std::string_view bytes, bool hasEnd = false)
{
    return read<Reader>(
        bytes, [&] { return bytes.size(); }, hasEnd);
}

/// Reads the bytes at once, one at a time and in random pieces; all must give the same.
template <typename Reader = RequestReader>
Reading readInPieces(std::string_view bytes, bool hasEnd = false)
{
    auto whole = readWhole<Reader>(bytes, hasEnd);
    auto single = read<Reader>(
        bytes, [] { return 1; }, hasEnd);
    CHECK(whole.isSameAs(single));
    CHECK(single.mostHeldBytes_ <= maxHeldBytes);
    std::mt19937 random(20261206);
    std::uniform_int_distribution<std::size_t> sizes(1, 40);
    for (int i = 0; i < 20; ++i)
        CHECK(whole.isSameAs(read<Reader>(
            bytes, [&] { return sizes(random); }, hasEnd)));
    return whole;
}

const std::string post = "POST /queue/00000000000000a1 HTTP/1.1\r\nHost: h\r\n";
const std::string chunkedPost = post + "Transfer-Encoding: chunked\r\n\r\n";
const std::string chunkedAnswer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string repeat(std::string_view text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

} // namespace

// Guards against: what a peer sends outside of the body was kept without a limit, or was read in more than one way.
TEST_CASE("Requests are complete or faulty, the same in pieces of any size", "[MessageReader]")
{
    struct Row {
        std::string bytes_;
        PeerFault fault_;
        std::string body_;
    };
    using enum PeerFault;
    auto row = GENERATE(values<Row>({
        { "GET / HTTP/1.1\r\n\r\n", None, "" },
        { post + "Content-Length: 5\r\n\r\nhello", None, "hello" },
        { post + "Content-Length: 0\r\n\r\n", None, "" },
        { chunkedPost + "5\r\nhello\r\n0\r\n\r\n", None, "hello" },
        { chunkedPost + "5;name=\"value\"\r\nhello\r\n00A\r\n0123456789\r\n0;last\r\n\r\n", None, "hello0123456789" },
        { chunkedPost + "1\r\nx\r\n0\r\nTrailer: value\r\nOther:\r\n\r\n", None, "x" },
        { chunkedPost + repeat("1;" + std::string(200, 'e') + "\r\nx\r\n", 1000) + "0\r\n\r\n", None, std::string(1000, 'x') },
        { "GET / HTTP/1.1\r\nX: " + std::string(300, 'x'), HeaderTooLarge, "" },
        { "GET / HTTP/1.1\r\n" + repeat("X:\r\n", 9) + "\r\n", HeaderTooLarge, "" },
        { "GET /" + std::string(400, 'x'), HeaderTooLarge, "" },
        { chunkedPost + "0\r\n" + repeat("Trailer: value\r\n", 20), TrailerTooLarge, "" },
        { chunkedPost + "0\r\nTrailer: " + std::string(300, 't'), TrailerTooLarge, "" },
        { chunkedPost + "5;" + std::string(300, 'e'), ChunkLineTooLarge, "" },
        { post + "Content-Length: 1001\r\n\r\n", BodyTooLarge, "" },
        { chunkedPost + "3e9\r\n", BodyTooLarge, "" },
        { chunkedPost + repeat("64\r\n" + std::string(100, 'x') + "\r\n", 10) + "1\r\n", BodyTooLarge, std::string(1000, 'x') },
        { chunkedPost + "fffffffffffffff\r\n", BodyTooLarge, "" },
        { chunkedPost + "ffffffffffffffffff\r\n", Malformed, "" },
        { chunkedPost + "0000000000000000001\r\n", Malformed, "" },
        { chunkedPost + "-1\r\n", Malformed, "" },
        { chunkedPost + "0x1\r\n", Malformed, "" },
        { chunkedPost + "1 \r\nx\r\n", Malformed, "" },
        { chunkedPost + "\r\n", Malformed, "" },
        { chunkedPost + ";e\r\n", Malformed, "" },
        { chunkedPost + "1\nx\r\n", Malformed, "" },
        { chunkedPost + "1;e\nx\r\n", Malformed, "" },
        { chunkedPost + "1\r\nxy\r\n", Malformed, "x" },
        { chunkedPost + "1\r\nx\n0\r\n\r\n", Malformed, "x" },
        { chunkedPost + "0\r\nno colon\r\n\r\n", Malformed, "" },
        { chunkedPost + "0\r\nTrailer: value\r\n folded\r\n\r\n", Malformed, "" },
        { chunkedPost + "0\r\nTrailer: value\n\r\n", Malformed, "" },
        { chunkedPost + "0\r\n\n", Malformed, "" },
        { post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", Malformed, "" },
        { post + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", Malformed, "" },
        { post + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n", Malformed, "" },
        { post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n", Malformed, "" },
        { post + "Content-Length: 5, 5\r\n\r\n", Malformed, "" },
        { post + "Content-Length: +5\r\n\r\n", Malformed, "" },
        { post + "Content-Length: ten\r\n\r\n", Malformed, "" },
        { post + "Content-Length: 99999999999999999999\r\n\r\n", Malformed, "" },
        { post + "Transfer-Encoding: gzip\r\n\r\n", Malformed, "" },
        { post + "Transfer-Encoding: gzip, chunked\r\n\r\n", Malformed, "" },
        { post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", Malformed, "" },
        { "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", Malformed, "" },
        { "GET / HTTP/1.1\r\nX: a\r\n folded\r\n\r\n", Malformed, "" },
        { "GET / HTTP/1.1\r\nX: a\r\n\tfolded\r\n\r\n", Malformed, "" },
        { "GET / HTTP/1.1\r\nX : a\r\n\r\n", Malformed, "" },
        { "GET / HTTP/1.1\nX: a\r\n\r\n", Malformed, "" },
        { "\x16\x03\x01", Malformed, "" },
        { "hello\r\n\r\n", Malformed, "" },
    }));
    INFO(row.bytes_.substr(0, 300));
    auto reading = readInPieces(row.bytes_);
    CHECK(reading.fault_ == row.fault_);
    CHECK(reading.isComplete_ == (row.fault_ == PeerFault::None));
    CHECK(reading.body_ == row.body_);
}

// Guards against: a second request, sent at once, was taken for a part of the first.
TEST_CASE("A reader takes no byte behind its message", "[MessageReader]")
{
    auto first = GENERATE(as<std::string> {}, "GET / HTTP/1.1\r\n\r\n", post + "Content-Length: 5\r\n\r\nhello", chunkedPost + "5\r\nhello\r\n0\r\nTrailer: value\r\n\r\n");
    INFO(first);
    auto reading = readInPieces(first + "GET /second HTTP/1.1\r\n\r\n");
    CHECK(reading.isComplete_);
    CHECK(reading.usedBytes_ == first.size());
}

// Guards against: a header was held twice, as text and as fields, while its body arrived.
TEST_CASE("The text of a header is not held beside its fields", "[MessageReader]")
{
    const std::string header = post + "Content-Length: 5\r\n\r\n";
    RequestReader reader(limits);
    reader.put(header);
    REQUIRE(reader.isHeadComplete());
    CHECK(reader.heldBytes() >= header.size());
    CHECK(reader.heldBytes() <= header.size() + 2 * 96);
}

// Guards against: interim answers without end, and answers whose end is the connection's.
TEST_CASE("Responses are complete or faulty, the same in pieces of any size", "[MessageReader]")
{
    struct Row {
        std::string bytes_;
        bool hasEnd_;
        PeerFault fault_;
        bool isComplete_;
        std::string body_;
        bool isKept_;
    };
    using enum PeerFault;
    auto row = GENERATE(values<Row>({
        { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, None, true, "ok", true },
        { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", false, None, true, "ok", false },
        { "HTTP/1.1 204 No Content\r\n\r\n", false, None, true, "", true },
        { "HTTP/1.1 200 OK\r\n\r\nuntil the end", false, None, false, "until the end", false },
        { "HTTP/1.1 200 OK\r\n\r\nuntil the end", true, None, true, "until the end", false },
        { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", true, Malformed, false, "ok", true },
        { chunkedAnswer + "2\r\nok\r\n0\r\n\r\n", false, None, true, "ok", true },
        { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, None, true, "ok", true },
        { repeat("HTTP/1.1 100 Continue\r\n\r\n", 20), false, HeaderTooLarge, false, "", false },
        { "HTTP/1.1 101 Switching Protocols\r\n\r\n", false, Malformed, false, "", false },
        { "HTTP/1.1 200 OK\r\nX: " + std::string(300, 'x'), false, HeaderTooLarge, false, "", false },
        { chunkedAnswer + "0\r\n" + repeat("Trailer: value\r\n", 20), false, TrailerTooLarge, false, "", true },
        { chunkedAnswer + "5;" + std::string(300, 'e'), false, ChunkLineTooLarge, false, "", true },
        { "HTTP/1.1 200 OK\r\n\r\n" + std::string(1001, 'x'), false, BodyTooLarge, false, "", false },
        { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", false, Malformed, false, "", true },
    }));
    INFO(row.bytes_.substr(0, 300));
    bool bodyDependsOnPieces = row.fault_ == BodyTooLarge;
    auto reading = bodyDependsOnPieces ? readWhole<ResponseReader>(row.bytes_, row.hasEnd_) : readInPieces<ResponseReader>(row.bytes_, row.hasEnd_);
    CHECK(reading.fault_ == row.fault_);
    CHECK(reading.isComplete_ == row.isComplete_);
    CHECK(reading.body_ == row.body_);
    if (row.isComplete_)
        CHECK(reading.isKept_ == row.isKept_);
}

// Guards against: two readers of one message disagree on where it ends, or a reader holds more than its limits. FUZZ_SEED and
// FUZZ_INPUTS change the seed and the number of inputs.
TEST_CASE("Damaged messages have one interpretation or none, and never take more than their limits", "[MessageReader]")
{
    const std::vector<std::string> samples {
        post + "Content-Length: 5\r\n\r\nhello" + post + "\r\n",
        chunkedPost + "5;e=\"v\"\r\nhello\r\na\r\n0123456789\r\n0\r\nTrailer: value\r\n\r\n" + post + "\r\n",
        chunkedAnswer + "2;x\r\nok\r\n0\r\nT: v\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    };
    const std::vector<std::string> tokens {
        "\r\n", "\n", "\r", "\r\n\r\n", " ", "\t", "\r\n folded", ":", ";", "0", "0\r\n", "f", "fffffffffffffff", "Content-Length: 5\r\n", "Content-Length: 6\r\n",
        "Transfer-Encoding: chunked\r\n", "Transfer-Encoding: identity\r\n", "Trailer: value\r\n", "\xff", std::string(1, '\0'), std::string(400, 'x'), repeat("X: y\r\n", 100), "HTTP/1.0"
    };
    constexpr std::uint64_t defaultSeed = 20261206;
    constexpr std::uint64_t defaultInputs = 20'000;
    constexpr std::size_t maxDamages = 4;
    std::mt19937_64 random(numberFromEnvironment("FUZZ_SEED", defaultSeed));
    auto below = [&](std::size_t limit) { return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random); };
    auto inputs = numberFromEnvironment("FUZZ_INPUTS", defaultInputs);
    std::uint64_t complete = 0;
    for (std::uint64_t i = 0; i < inputs; ++i) {
        std::string text = samples[below(samples.size())];
        for (std::size_t damages = below(maxDamages); damages; --damages) {
            auto place = below(text.size() + 1);
            text.replace(place, std::min(below(6), text.size() - place), below(3) ? tokens[below(tokens.size())] : std::string());
        }
        bool isResponse = text.starts_with("HTTP");
        auto readBy = [&](auto nextSize) { return isResponse ? read<ResponseReader>(text, nextSize) : read<RequestReader>(text, nextSize); };
        auto whole = readBy([&] { return text.size(); });
        auto single = readBy([] { return 1; });
        auto pieces = readBy([&] { return 1 + below(30); });
        bool isOne = whole.isComplete_ == single.isComplete_ && whole.isComplete_ == pieces.isComplete_ && (!whole.isComplete_ || (whole.isSameAs(single) && whole.isSameAs(pieces)));
        bool isBounded = std::max({ whole.mostHeldBytes_, single.mostHeldBytes_, pieces.mostHeldBytes_ }) <= maxHeldBytes;
        complete += whole.isComplete_ ? 1 : 0;
        if (!isOne || !isBounded)
            FAIL("input " << i << (isOne ? ", held too much: " : ", read in two ways: ") << text);
    }
    // A fuzz that only met refusals would show nothing.
    CHECK(complete > inputs / 10);
    CHECK(complete < inputs);
}

} // namespace Lagoonpick
