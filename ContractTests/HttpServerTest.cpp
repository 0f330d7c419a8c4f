#include "Lagoonpick/Transport/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <list>

namespace Lagoonpick {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: here\r\n\r\n";

tcp::socket connectTo(asio::io_context& context, std::uint16_t port)
{
    tcp::socket socket(context);
    socket.connect({ asio::ip::address_v4::loopback(), port });
    return socket;
}

/// Sends a request and returns the status of the response; 0 if none arrives within `timeout`.
unsigned statusWithin(asio::io_context& context, tcp::socket socket, std::chrono::seconds timeout)
{
    unsigned status = 0;
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    asio::write(stream, asio::buffer(request));
    stream.expires_after(timeout);
    http::async_read(stream, buffer, parser, [&](beast::error_code error, std::size_t) {
        status = error ? 0 : parser.get().result_int();
        context.stop();
    });
    context.restart();
    context.run_for(timeout * 2);
    return status;
}

} // namespace

TEST_CASE("A server at its connection limit closes the connection that has waited longest for its peer", "[HttpServer]")
{
    struct Row {
        const char* description_;
        bool sendsRequest_;
        std::size_t bodyBytes_;
    };
    auto row = GENERATE(values<Row>({
        { "no request arrives", false, 10 },
        { "the response fits the socket buffer and no further request arrives", true, 10 },
        { "a large response is not read", true, 64'000'000 },
    }));
    INFO(row.description_);
    constexpr std::uint32_t maxConnections = 3;
    asio::io_context context;
    HttpLimits limits;
    limits.maxConnections_ = maxConnections;
    HttpServer server(context, limits, [&](const HttpRequest&, const HttpServer::Respond& respond) {
        respond({ .body_ = std::string(row.bodyBytes_, ' '), .stream_ = {} });
    });
    REQUIRE(server.listen("127.0.0.1:0").empty());
    std::list<tcp::socket> sockets;
    for (std::uint32_t i = 0; i < maxConnections; ++i) {
        tcp::socket& socket = sockets.emplace_back(connectTo(context, server.port()));
        if (row.sendsRequest_)
            asio::write(socket, asio::buffer(request));
        context.run_for(std::chrono::milliseconds(100));
        context.restart();
    }
    CHECK(statusWithin(context, connectTo(context, server.port()), std::chrono::seconds(2)) == 200);
    CHECK(server.connectionsClosedAtLimit() == 1);
}

TEST_CASE("A server whose connections all have requests in progress accepts no further connection", "[HttpServer]")
{
    asio::io_context context;
    HttpLimits limits;
    limits.maxConnections_ = 1;
    std::vector<HttpServer::Respond> pending;
    HttpServer server(context, limits, [&](const HttpRequest&, const HttpServer::Respond& respond) { pending.push_back(respond); });
    REQUIRE(server.listen("127.0.0.1:0").empty());
    tcp::socket first = connectTo(context, server.port());
    asio::write(first, asio::buffer(request));
    context.run_for(std::chrono::milliseconds(100));
    CHECK(pending.size() == 1);
    CHECK(statusWithin(context, connectTo(context, server.port()), std::chrono::seconds(1)) == 0);
    CHECK(server.connectionsClosedAtLimit() == 1);
    REQUIRE(pending.size() == 1);
    pending.front()({ .body_ = "{}", .stream_ = {} });
    context.restart();
    context.run_for(std::chrono::milliseconds(100));
    CHECK(first.available() > 0);
}

namespace {

using std::chrono::milliseconds;

/// A server on whose thread its clients run too.
struct ServerFixture {
    explicit ServerFixture(HttpLimits limits)
        : server_(context_, std::move(limits), [this](const HttpRequest& received, HttpServer::Respond respond) {
            paths_.push_back(received.path_);
            bodies_.push_back(received.body_);
            if (isHeld_)
                held_.push_back(std::move(respond));
            else
                respond({ .body_ = std::string(responseBytes_, 'r'), .stream_ = {} });
        })
    {
        REQUIRE(server_.listen("127.0.0.1:0").empty());
    }

    tcp::socket connect() { return connectTo(context_, server_.port()); }

    void runFor(milliseconds time)
    {
        context_.restart();
        context_.run_for(time);
    }

    /// A connection that has sent `bytes`, which the server has read.
    tcp::socket send(std::string_view bytes)
    {
        auto socket = connect();
        asio::write(socket, asio::buffer(bytes));
        runFor(milliseconds(50));
        return socket;
    }

    /// What the server sends until it closes the connection or `time` is over.
    std::string receive(tcp::socket& socket, milliseconds time)
    {
        std::string received;
        bool isOver = false;
        asio::async_read(socket, asio::dynamic_buffer(received), [&](beast::error_code, std::size_t) {
            isOver = true;
            context_.stop();
        });
        runFor(time);
        beast::error_code ignored;
        socket.cancel(ignored);
        while (!isOver)
            runFor(milliseconds(1));
        return received;
    }

    std::string exchange(std::string_view bytes, milliseconds time = milliseconds(300))
    {
        auto socket = connect();
        asio::write(socket, asio::buffer(bytes));
        return receive(socket, time);
    }

    asio::io_context context_;
    bool isHeld_ { false };
    std::size_t responseBytes_ { 2 };
    std::vector<std::string> paths_;
    std::vector<std::string> bodies_;
    std::vector<HttpServer::Respond> held_;
    HttpServer server_;
};

HttpLimits smallLimits()
{
    HttpLimits limits;
    limits.maxHeaderBytes_ = 1000;
    limits.maxBodyBytes_ = 50'000;
    limits.readTimeout_ = std::chrono::seconds(10);
    limits.callerTimeField_ = "Lagoonpick-Deadline-Ms";
    return limits;
}

std::string postOf(std::size_t announcedBytes, std::size_t sentBytes, std::string_view fields = "")
{
    return "POST /post HTTP/1.1\r\nContent-Length: " + std::to_string(announcedBytes) + "\r\n" + std::string(fields) + "\r\n" + std::string(sentBytes, 'b');
}

std::string statusLine(const std::string& response)
{
    return response.substr(0, 12);
}

const std::string chunked = "POST /post HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against: a refusal with the wrong status, or of a request that has begun.
TEST_CASE("A request beyond a limit is refused by its kind and never handled", "[HttpServer]")
{
    struct Row {
        std::string bytes_;
        std::string status_;
        PeerFault fault_;
    };
    auto row = GENERATE(values<Row>({
        { "GET / HTTP/1.1\r\nX: " + std::string(1000, 'x'), "HTTP/1.1 431", PeerFault::HeaderTooLarge },
        { chunked + "0\r\nX: " + std::string(1000, 'x'), "HTTP/1.1 431", PeerFault::TrailerTooLarge },
        { chunked + "5;" + std::string(1000, 'x'), "HTTP/1.1 400", PeerFault::ChunkLineTooLarge },
        { postOf(50'001, 0), "HTTP/1.1 413", PeerFault::BodyTooLarge },
        { chunked + "c351\r\n", "HTTP/1.1 413", PeerFault::BodyTooLarge },
        { postOf(5, 5, "Transfer-Encoding: chunked\r\n"), "HTTP/1.1 400", PeerFault::Malformed },
    }));
    INFO(row.bytes_.substr(0, 200));
    ServerFixture fixture(smallLimits());
    CHECK(statusLine(fixture.exchange(row.bytes_)) == row.status_);
    CHECK(fixture.server_.faults().count(row.fault_) == 1);
    CHECK(fixture.paths_.empty());
    CHECK(fixture.server_.heldBytes() == 0);
}

// Guards against: a header or body that came a byte at a time kept its connection for as long as the peer liked.
TEST_CASE("A request that does not arrive within its caller's time or the server's is refused", "[HttpServer]")
{
    struct Row {
        const char* description_;
        std::string bytes_;
        milliseconds readTimeout_;
        std::string status_;
    };
    auto row = GENERATE(values<Row>({
        { "the caller's time", postOf(5, 2, "Lagoonpick-Deadline-Ms: 100\r\n"), milliseconds(10'000), "HTTP/1.1 408" },
        { "the server's time, in the header", "GET / HTTP/1.1\r\nX: ", milliseconds(100), "HTTP/1.1 408" },
        { "the server's time, in the body", postOf(5, 2, "Lagoonpick-Deadline-Ms: 60000\r\n"), milliseconds(100), "HTTP/1.1 408" },
        { "no request", "", milliseconds(100), "" },
    }));
    INFO(row.description_);
    auto limits = smallLimits();
    limits.readTimeout_ = row.readTimeout_;
    ServerFixture fixture(limits);
    auto socket = fixture.send(row.bytes_);
    // Further bytes don't extend the time.
    for (int i = 0; i < 6 && !row.bytes_.empty(); ++i) {
        beast::error_code ignored;
        asio::write(socket, asio::buffer("x", i < 2 ? 1 : 0), ignored);
        fixture.runFor(milliseconds(20));
    }
    CHECK(statusLine(fixture.receive(socket, milliseconds(1000))) == row.status_);
    CHECK(fixture.server_.faults().count(PeerFault::TooSlow) == (row.status_.empty() ? 0 : 1));
    CHECK(fixture.paths_.empty());
    CHECK(fixture.server_.heldBytes() == 0);
}

// Guards against: limits that ordinary callers meet.
TEST_CASE("Ordinary requests are handled, also in pieces, chunked, pipelined and after an idle time", "[HttpServer]")
{
    ServerFixture fixture(smallLimits());
    auto socket = fixture.connect();
    const std::string chunkedBody = chunked + "5;e=v\r\nhello\r\n0\r\nTrailer: value\r\n\r\n";
    for (const auto& piece : { chunkedBody.substr(0, 10), chunkedBody.substr(10, 50), chunkedBody.substr(60) }) {
        asio::write(socket, asio::buffer(piece));
        fixture.runFor(milliseconds(20));
    }
    fixture.runFor(milliseconds(200));
    asio::write(socket, asio::buffer("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n" + postOf(40'000, 40'000) + "GET /c HTTP/1.1\r\nConnection: close\r\n\r\nGET /d HTTP/1.1\r\n\r\n"));
    auto received = fixture.receive(socket, milliseconds(1000));
    std::size_t answers = 0;
    for (auto at = received.find("HTTP/1.1 200"); at != std::string::npos; at = received.find("HTTP/1.1 200", at + 1))
        ++answers;
    CHECK(answers == 5);
    CHECK(fixture.paths_ == std::vector<std::string> { "/post", "/a", "/b", "/post", "/c" });
    CHECK(fixture.bodies_ == std::vector<std::string> { "hello", "", "", std::string(40'000, 'b'), "" });
    CHECK(fixture.server_.heldBytes() == 0);
}

// Guards against: the connection that had waited longest was closed for memory, although another held nearly all of it.
TEST_CASE("For memory, the connection that has held most for longest is closed first", "[HttpServer]")
{
    auto limits = smallLimits();
    limits.maxHeldBytes_ = 90'000;
    ServerFixture fixture(limits);
    auto idle = fixture.connect();
    auto small = fixture.send(postOf(40'000, 1000));
    auto large = fixture.send(postOf(40'000, 35'000));
    fixture.runFor(milliseconds(200));
    CHECK(statusLine(fixture.exchange(postOf(40'000, 40'000))) == "HTTP/1.1 200");
    CHECK(fixture.server_.faults().count(PeerFault::MemoryLimit) == 1);
    asio::write(small, asio::buffer(std::string(39'000, 'b')));
    CHECK(statusLine(fixture.receive(small, milliseconds(300))) == "HTTP/1.1 200");
    asio::write(idle, asio::buffer(request));
    CHECK(statusLine(fixture.receive(idle, milliseconds(300))) == "HTTP/1.1 200");
    CHECK(fixture.receive(large, milliseconds(100)).empty());
}

// Guards against: the newest of several idle connections was closed.
TEST_CASE("Of connections that hold the same, the one that has waited longest is closed first", "[HttpServer]")
{
    auto limits = smallLimits();
    limits.maxConnections_ = 2;
    ServerFixture fixture(limits);
    auto older = fixture.send("");
    fixture.runFor(milliseconds(100));
    auto newer = fixture.send("");
    CHECK(statusLine(fixture.exchange(request)) == "HTTP/1.1 200");
    asio::write(newer, asio::buffer(request));
    CHECK(statusLine(fixture.receive(newer, milliseconds(300))) == "HTTP/1.1 200");
    CHECK(fixture.receive(older, milliseconds(100)).empty());
}

// Guards against: a request that had begun was dropped to make room; and a refusal for lack of room that was not answered.
TEST_CASE("A request that is being handled is never dropped for memory; one for which there is no room is refused", "[HttpServer]")
{
    auto limits = smallLimits();
    limits.maxHeldBytes_ = 90'000;
    ServerFixture fixture(limits);
    fixture.isHeld_ = true;
    auto running = fixture.send(postOf(45'000, 45'000));
    REQUIRE(fixture.held_.size() == 1);
    fixture.runFor(milliseconds(200));
    auto refused = fixture.exchange(postOf(48'000, 48'000));
    CHECK(statusLine(refused) == "HTTP/1.1 503");
    CHECK(refused.find("Retry-After: 1") != std::string::npos);
    REQUIRE(fixture.held_.size() == 1);
    fixture.held_.front()({ .body_ = "{}", .stream_ = {} });
    CHECK(statusLine(fixture.receive(running, milliseconds(300))) == "HTTP/1.1 200");
    CHECK(fixture.server_.heldBytes() == 0);
}

// Guards against: a refusal that waited for more input of its client and so blocked the process; and a 503, which is final for a job, before
// the server knew whether the job had begun.
TEST_CASE("Where a refusal might not be true, a request for which there is no room gets no answer, and others go on", "[HttpServer]")
{
    auto limits = smallLimits();
    limits.answersWhenFull_ = GENERATE(true, false);
    {
        ServerFixture probe(limits);
        probe.isHeld_ = true;
        auto socket = probe.send(postOf(45'000, 45'000));
        // Room for the request that is being handled, and for less than a header beside it.
        limits.maxHeldBytes_ = probe.server_.heldBytes() + 50;
        probe.held_.front()({ .body_ = "{}", .stream_ = {} });
    }
    ServerFixture fixture(limits);
    fixture.isHeld_ = true;
    auto running = fixture.send(postOf(45'000, 45'000));
    REQUIRE(fixture.held_.size() == 1);
    auto refused = fixture.send(postOf(48'000, 900));
    auto received = fixture.receive(refused, milliseconds(300));
    CHECK(statusLine(received) == (limits.answersWhenFull_ ? "HTTP/1.1 503" : ""));
    fixture.held_.front()({ .body_ = "{}", .stream_ = {} });
    CHECK(statusLine(fixture.receive(running, milliseconds(300))) == "HTTP/1.1 200");
}

// Guards against: sockets that stayed open, outside of all limits, until their clients closed them.
TEST_CASE("A connection that the server ends is closed although its client keeps it open", "[HttpServer]")
{
    ServerFixture fixture(smallLimits());
    auto socket = fixture.connect();
    asio::write(socket, asio::buffer(std::string("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n")));
    CHECK(statusLine(fixture.receive(socket, milliseconds(300))) == "HTTP/1.1 200");
    fixture.runFor(milliseconds(1000));
    // The first write makes the closed end reset the connection.
    boost::system::error_code error;
    asio::write(socket, asio::buffer(std::string("x")), error);
    fixture.runFor(milliseconds(50));
    asio::write(socket, asio::buffer(std::string("x")), error);
    CHECK(error);
}

// Guards against: responses that were not read, and requests behind others, were not counted.
TEST_CASE("Responses that are not read count as held, and are closed for memory", "[HttpServer]")
{
    auto limits = smallLimits();
    limits.maxHeldBytes_ = 20'000'000;
    ServerFixture fixture(limits);
    fixture.responseBytes_ = 8'000'000;
    std::list<tcp::socket> sockets;
    for (int i = 0; i < 4; ++i)
        sockets.push_back(fixture.send(request));
    CHECK(fixture.server_.heldBytes() > 0);
    CHECK(fixture.server_.heldBytes() <= limits.maxHeldBytes_);
    CHECK(fixture.server_.faults().count(PeerFault::MemoryLimit) == 2);
    fixture.responseBytes_ = 2;
    fixture.isHeld_ = true;
    auto before = fixture.server_.heldBytes();
    auto pipelining = fixture.send(std::string(request) + std::string(900, 'G'));
    CHECK(fixture.server_.heldBytes() >= before + 900);
    REQUIRE(fixture.held_.size() == 1);
    fixture.held_.front()({ .body_ = "{}", .stream_ = {} });
}

} // namespace Lagoonpick
