#include "Lagoonpick/Transport/HttpServer.h"

#include <boost/asio/io_context.hpp>
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

} // namespace Lagoonpick
