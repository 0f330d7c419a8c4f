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

constexpr auto patience = std::chrono::seconds(6);
constexpr auto frameLimit = "[limits]\nmax_frame_bytes = 100000\n";

Deployment& sharedSystem()
{
    static Deployment system({ .entries_ = 2, .agents_ = 1, .extraEntrySettings_ = frameLimit, .extraAgentSettings_ = {} });
    static bool isConnected = system.waitUntilConnected();
    REQUIRE(isConnected);
    return system;
}

/// A frame that is larger than any process of this system takes.
std::string beyondLimit()
{
    std::string frame;
    frame.resize(20'000'000, 'x');
    return frame;
}

std::string frameOf(const std::vector<Wire::Message>& messages)
{
    return Wire::encode(messages);
}

Wire::Hello strangerHello(std::uint32_t version)
{
    return { .version_ = version, .role_ = Wire::Role::Entry, .incarnation_ = Incarnation(0xabc), .name_ = "stranger", .availabilityZone_ = "z", .service_ = {}, .load_ = {} };
}

/// A peer that sends these frames over a WebSocket and reads until it is cut off.
class Stranger {
public:
    explicit Stranger(const std::string& address)
        : stream_(context_)
    {
        auto& tcp = beast::get_lowest_layer(stream_);
        tcp.expires_after(patience);
        run([&](auto done) { tcp.async_connect(toEndpoint(address), done); });
        tcp.expires_never();
        run([&](auto done) { stream_.async_handshake(address, "/", done); });
        stream_.binary(true);
    }

    void send(const std::string& frame)
    {
        run([&](auto done) { stream_.async_write(asio::buffer(frame), done); });
    }

    /// True if the other side ends the connection in time.
    bool isCutOff()
    {
        beast::get_lowest_layer(stream_).expires_after(patience);
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

TEST_CASE("A peer that does not keep to the protocol is cut off, and nobody else is", "[Link]")
{
    auto& system = sharedSystem();
    bool isAgent = GENERATE(true, false);
    struct Row {
        const char* what_;
        std::vector<std::string> frames_;
    };
    Wire::Hello good = strangerHello(Wire::protocolVersion);
    auto row = GENERATE_COPY(values<Row>({
        { "bytes that are no frame", { "hello" } },
        { "an empty frame", { "" } },
        { "another version", { frameOf({ strangerHello(Wire::protocolVersion + 1) }) } },
        { "no greeting first", { frameOf({ Wire::Heartbeat {} }) } },
        { "a start before the greeting", { frameOf({ Wire::Start {} }) } },
        { "two greetings", { frameOf({ good, good }) } },
        { "an incarnation of nothing", { frameOf({ Wire::Hello {} }) } },
        { "half a frame", { frameOf({ good }).substr(0, 10) } },
        { "more than the limit", { beyondLimit() } },
        { "silence", {} },
        { "a greeting and then silence", { frameOf({ good }) } },
        { "a message that no entry sends", { frameOf({ good, Wire::TaskState {} }), frameOf({ Wire::FenceAck {}, Wire::Refusal {} }) } },
    }));
    CAPTURE(isAgent, row.what_);
    Stranger stranger(isAgent ? system.agentAddress(0) : system.peerAddress(0));
    for (const auto& frame : row.frames_)
        stranger.send(frame);
    CHECK(stranger.isCutOff());
    checkStillServes(system);
}

TEST_CASE("Connections that never become links harm nobody", "[Link]")
{
    auto& system = sharedSystem();
    bool isAgent = GENERATE(true, false);
    auto bytes = GENERATE(as<std::string> {}, "", "GET / HTTP/1.1\r\n\r\n", "\x16\x03\x01", std::string(100'000, 'x'));
    CAPTURE(isAgent, bytes.substr(0, 20));
    callRaw(isAgent ? system.agentAddress(0) : system.peerAddress(0), bytes, 1);
    checkStillServes(system);
}
