#include "ContractTests/Support/Process.h"
#include "Lagoonpick/Transport/Http.h"
#include "Lagoonpick/Transport/RunLinks.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace Lagoonpick {

namespace {

constexpr Duration timeout = std::chrono::seconds(5);

/// A hub that accepts links, and one end of a link to it that sends and receives plain frames.
struct HubFixture {
    explicit HubFixture(LinkLimits limits = makeRunLinkLimits())
        : hub_(
            context_, limits, { [this](LinkId link) { hubLink_ = link; }, [this](LinkId) { ++closedCount_; }, [](LinkId, const std::vector<Wire::RunMessage>&) {}, [this](const std::string& sender, const Error& fault) { rejected_.emplace_back(sender, fault.message_); } }, 1)
    {
    }

    void connect()
    {
        address_ = Contract::findFreeAddress();
        REQUIRE(hub_.listen(address_).empty());
        peer_.setPeerAddresses({ address_ });
        runUntil([this] { return peerLink_ && hubLink_; });
    }

    template <typename Condition>
    void runUntil(Condition isMet)
    {
        auto end = std::chrono::steady_clock::now() + timeout;
        while (!isMet() && std::chrono::steady_clock::now() < end)
            context_.run_for(std::chrono::milliseconds(5));
        REQUIRE(isMet());
    }

    ~HubFixture()
    {
        peer_.closeAll();
        hub_.closeAll();
    }

    /// A connection that has sent `bytes` and reads nothing.
    boost::asio::ip::tcp::socket send(const std::string& bytes)
    {
        boost::asio::ip::tcp::socket socket(context_);
        socket.connect(toEndpoint(address_));
        boost::asio::write(socket, boost::asio::buffer(bytes));
        context_.run_for(std::chrono::milliseconds(50));
        return socket;
    }

    boost::asio::io_context context_ { 1 };
    std::string address_;
    std::optional<LinkId> hubLink_;
    std::optional<LinkId> peerLink_;
    std::size_t closedCount_ { 0 };
    std::vector<std::pair<std::string, std::string>> rejected_;
    std::vector<std::string> frames_;
    MessageHub<Wire::RunCodec> hub_;
    FrameHub peer_ { context_, makeRunLinkLimits(), { [this](LinkId link) { peerLink_ = link; }, [](LinkId) {}, [this](LinkId, const std::string& frame) { frames_.push_back(frame); return true; } }, 2 };
};

const std::string upgrade = "GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                            "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n";

/// The head of a masked binary frame of 60,000 bytes, with the mask 0.
const std::string largeFrameHead("\x82\xfe\xea\x60\x00\x00\x00\x00", 8);
/// A masked fragment of 100 bytes that begins a message, and one that goes on with it.
const std::string firstFragment = std::string("\x02\xe4\x00\x00\x00\x00", 6) + std::string(100, 'f');
const std::string nextFragment = std::string("\x00\xe4\x00\x00\x00\x00", 6) + std::string(100, 'f');

std::string repeat(const std::string& text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

} // namespace

// Guards against: a link that was closed for a frame that can't be decoded left no trace of the sender or of what was wrong.
TEST_CASE("A frame that can't be decoded closes its link, and its sender and fault are reported once")
{
    HubFixture fixture;
    fixture.connect();
    fixture.peer_.send(*fixture.peerLink_, Wire::RunCodec::encode(std::vector<Wire::RunMessage> { Wire::StopRun { 1 }, Wire::StopRun { 0 } }));
    fixture.runUntil([&] { return fixture.closedCount_ == 1; });
    REQUIRE(fixture.rejected_.size() == 1);
    CHECK_THAT(fixture.rejected_[0].first, Catch::Matchers::StartsWith("127.0.0.1:"));
    CHECK(fixture.rejected_[0].second == "message 1 (stop_run): the field 'run' is below its limit");
}

// Guards against: a frame with more messages than a receiver accepts closed the link.
TEST_CASE("Many messages go out in several frames, in order")
{
    HubFixture fixture;
    fixture.connect();
    std::vector<Wire::Outgoing<Wire::RunMessage>> messages;
    constexpr std::uint64_t count = 2500;
    for (std::uint64_t run = 1; run <= count; ++run)
        messages.push_back({ *fixture.hubLink_, Wire::StopRun { run } });
    fixture.hub_.send(std::move(messages));
    fixture.runUntil([&] { return fixture.frames_.size() == 3; });
    std::uint64_t next = 1;
    for (const auto& frame : fixture.frames_) {
        auto decoded = Wire::RunCodec::decode(frame);
        REQUIRE(decoded.has_value());
        for (const auto& message : decoded.value())
            CHECK(std::get<Wire::StopRun>(message).run_ == next++);
    }
    CHECK(next == count + 1);
}

// Guards against: each link was allowed a frame of the largest size, so that incomplete frames of many links took all memory.
TEST_CASE("Incomplete frames and fragments of all links together are bounded; the link that has held most for longest is closed")
{
    auto rest = GENERATE_COPY(as<std::string> {}, largeFrameHead + std::string(50'000, 'f'), firstFragment + repeat(nextFragment, 499));
    LinkLimits limits = makeRunLinkLimits(120'000);
    HubFixture fixture(limits);
    fixture.connect();
    auto first = fixture.send(upgrade + "\r\n" + rest);
    auto small = fixture.send(upgrade + "\r\n" + firstFragment);
    fixture.context_.run_for(std::chrono::milliseconds(100));
    auto second = fixture.send(upgrade + "\r\n" + rest);
    CHECK(fixture.hub_.faults().count(PeerFault::MemoryLimit) == 0);
    auto third = fixture.send(upgrade + "\r\n" + rest);
    fixture.runUntil([&] { return fixture.closedCount_ == 1; });
    CHECK(fixture.hub_.faults().count(PeerFault::MemoryLimit) == 1);
    boost::system::error_code error;
    std::array<char, 1000> buffer {};
    while (!error)
        first.read_some(boost::asio::buffer(buffer), error);
    CHECK(error == boost::asio::error::connection_reset);
    // The first link still carries frames.
    fixture.hub_.send(*fixture.hubLink_, std::vector<Wire::RunMessage> { Wire::StopRun { 1 } });
    CHECK(fixture.closedCount_ == 1);
}

// Guards against: the library read a body of up to 32 MB before it answered a handshake.
TEST_CASE("A handshake has no body")
{
    HubFixture fixture;
    fixture.connect();
    auto links = fixture.hubLink_;
    auto socket = fixture.send(upgrade + "Content-Length: 1000\r\n\r\n" + std::string(1000, 'b'));
    CHECK(fixture.hubLink_ == links);
}

// Guards against: connections that send nothing took all descriptors.
TEST_CASE("Of the connections that have sent no frame, the oldest is closed when there are too many")
{
    LinkLimits limits = makeRunLinkLimits();
    limits.maxUnidentified_ = 2;
    HubFixture fixture(limits);
    fixture.connect();
    fixture.peer_.send(*fixture.peerLink_, Wire::RunCodec::encode(std::vector<Wire::RunMessage> { Wire::StopRun { 1 } }));
    fixture.context_.run_for(std::chrono::milliseconds(50));
    auto first = fixture.send(upgrade + "\r\n");
    auto second = fixture.send("");
    CHECK(fixture.hub_.faults().count(PeerFault::Unidentified) == 0);
    auto third = fixture.send("");
    CHECK(fixture.hub_.faults().count(PeerFault::Unidentified) == 1);
    fixture.runUntil([&] { return fixture.closedCount_ == 1; });
}

// Guards against: each link was allowed its own number of unsent bytes, so that many peers that read nothing took all memory.
TEST_CASE("Unsent bytes of all links together are bounded; the link with most of them is closed")
{
    LinkLimits limits = makeRunLinkLimits(10'000'000);
    limits.maxBufferedBytes_ = 100'000'000;
    HubFixture fixture(limits);
    fixture.connect();
    fixture.hubLink_.reset();
    auto reader = fixture.send(upgrade + "\r\n");
    REQUIRE(fixture.hubLink_);
    const std::vector<Wire::RunMessage> messages(1, Wire::ConfigurationCopy { 1, std::string(500'000, 'c') });
    LinkId idle = *fixture.hubLink_;
    for (int i = 0; i < 60 && !fixture.closedCount_; ++i) {
        fixture.hub_.send(idle, messages);
        fixture.context_.run_for(std::chrono::milliseconds(2));
    }
    CHECK(fixture.closedCount_ == 1);
    CHECK(fixture.hub_.faults().count(PeerFault::NotReading) == 1);
}

} // namespace Lagoonpick
