#include "ContractTests/Support/Caller.h"
#include "ContractTests/Support/Deployment.h"
#include "Lagoonpick/Transport/Http.h"
#include "Lagoonpick/Wire/MessageCodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/websocket.hpp>
#include <catch2/catch.hpp>

using namespace Lagoonpick;
using namespace Lagoonpick::Contract;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace websocket = boost::beast::websocket;

namespace {

constexpr auto peerTimeout = std::chrono::seconds(6);
constexpr auto frameLimit = "[limits]\nmax_frame_bytes = 100000\n";

Deployment& sharedSystem()
{
    static Deployment system({ .entries_ = 2, .agents_ = 1, .extraEntrySettings_ = frameLimit, .extraAgentSettings_ = {} });
    static bool isConnected = system.waitUntilConnected();
    REQUIRE(isConnected);
    return system;
}

/// A frame that exceeds the frame limit of every process in this system.
std::string makeOversizedFrame()
{
    std::string frame;
    frame.resize(20'000'000, 'x');
    return frame;
}

std::string encodeFrame(const std::vector<Wire::Message>& messages)
{
    return Wire::encode(messages);
}

Wire::Hello makeHello(std::uint32_t version)
{
    return { .version_ = version, .role_ = Wire::Role::Entry, .incarnation_ = Incarnation(0xabc), .name_ = "stranger", .availabilityZone_ = "z", .service_ = {}, .load_ = {} };
}

/// A WebSocket peer that sends arbitrary frames and reads until the other end closes the connection.
class RawPeer {
public:
    explicit RawPeer(const std::string& address)
        : stream_(context_)
    {
        auto& tcp = beast::get_lowest_layer(stream_);
        tcp.expires_after(peerTimeout);
        run([&](auto done) { tcp.async_connect(toEndpoint(address), done); });
        tcp.expires_never();
        run([&](auto done) { stream_.async_handshake(address, "/", done); });
        stream_.binary(true);
    }

    void send(const std::string& frame)
    {
        run([&](auto done) { stream_.async_write(asio::buffer(frame), done); });
    }

    /// Returns whether the other end closes the connection within the timeout.
    bool isDisconnected()
    {
        beast::get_lowest_layer(stream_).expires_after(peerTimeout);
        beast::error_code error;
        while (!error) {
            beast::flat_buffer buffer;
            error = run([&](auto done) { stream_.async_read(buffer, done); });
        }
        return error != beast::error::timeout;
    }

private:
    template <typename Start>
    beast::error_code run(Start start)
    {
        beast::error_code result;
        start([&](beast::error_code error, auto...) { result = error; });
        context_.restart();
        context_.run();
        return result;
    }

    asio::io_context context_;
    websocket::stream<beast::tcp_stream> stream_;
};

void checkStillServes(const Deployment& system)
{
    for (std::size_t entry = 0; entry < 2; ++entry) {
        auto answer = call(system.callerAddress(entry), "PUT", "/v1/jobs/" + takeId(system.callerAddress(1 - entry)), jobBody(2, 1000));
        CHECK(answer.status_ == 200);
        CHECK(answer.member("outcome") == "complete");
    }
}

} // namespace

TEST_CASE("A peer that violates the protocol is disconnected, and no other peer is", "[Link]")
{
    auto& system = sharedSystem();
    bool isAgent = GENERATE(true, false);
    struct Row {
        const char* description_;
        std::vector<std::string> frames_;
    };
    Wire::Hello validHello = makeHello(Wire::protocolVersion);
    auto row = GENERATE_COPY(values<Row>({
        { "bytes that are not a frame", { "hello" } },
        { "an empty frame", { "" } },
        { "another protocol version", { encodeFrame({ makeHello(Wire::protocolVersion + 1) }) } },
        { "a heartbeat before the hello", { encodeFrame({ Wire::Heartbeat {} }) } },
        { "a start before the hello", { encodeFrame({ Wire::Start {} }) } },
        { "two hellos", { encodeFrame({ validHello, validHello }) } },
        { "a hello without an incarnation", { encodeFrame({ Wire::Hello {} }) } },
        { "a truncated frame", { encodeFrame({ validHello }).substr(0, 10) } },
        { "a frame above the size limit", { makeOversizedFrame() } },
        { "silence", {} },
        { "a hello and then silence", { encodeFrame({ validHello }) } },
        { "a message that no entry sends", { encodeFrame({ validHello, Wire::TaskState {} }), encodeFrame({ Wire::FenceAck {}, Wire::Refusal {} }) } },
    }));
    CAPTURE(isAgent, row.description_);
    RawPeer rawPeer(isAgent ? system.agentAddress(0) : system.peerAddress(0));
    for (const auto& frame : row.frames_)
        rawPeer.send(frame);
    CHECK(rawPeer.isDisconnected());
    checkStillServes(system);
}

TEST_CASE("Connections that never become links do not disturb the service", "[Link]")
{
    auto& system = sharedSystem();
    bool isAgent = GENERATE(true, false);
    auto bytes = GENERATE(as<std::string> {}, "", "GET / HTTP/1.1\r\n\r\n", "\x16\x03\x01", std::string(100'000, 'x'));
    CAPTURE(isAgent, bytes.substr(0, 20));
    callRaw(isAgent ? system.agentAddress(0) : system.peerAddress(0), bytes, 1);
    checkStillServes(system);
}
