#include "Lagoonpick/Transport/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <list>
#include <optional>

namespace Lagoonpick {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::uint64_t maxBodyBytes = 1000;
constexpr std::uint64_t maxHeldBytes = 50'000;

/// A server that accepts connections and sends the same bytes on each, whatever it receives.
class FixedServer {
public:
    FixedServer(asio::io_context& context, std::string bytes)
        : acceptor_(context, { asio::ip::address_v4::loopback(), 0 })
        , bytes_(std::move(bytes))
    {
        accept();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    std::size_t accepted() const { return sockets_.size(); }

private:
    void accept()
    {
        acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error)
                return;
            sockets_.push_back(std::move(socket));
            asio::async_write(sockets_.back(), asio::buffer(bytes_), [](boost::system::error_code, std::size_t) {});
            accept();
        });
    }

    tcp::acceptor acceptor_;
    std::string bytes_;
    std::list<tcp::socket> sockets_;
};

std::string repeat(std::string_view text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

std::optional<Exchange> exchangeWithin(asio::io_context& context, HttpClient& client, Duration time)
{
    std::optional<Exchange> result;
    asio::co_spawn(
        context, [&]() -> asio::awaitable<void> { result = co_await client.exchange({ .path_ = "/" }, time); }, asio::detached);
    context.restart();
    for (auto end = std::chrono::steady_clock::now() + 2 * time; !result && std::chrono::steady_clock::now() < end;)
        context.run_one_for(std::chrono::milliseconds(10));
    return result;
}

const std::string chunkedAnswer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against: a server had its client hold what it liked, in a header, trailers, chunk extensions or interim responses.
TEST_CASE("A response beyond a limit ends the exchange as not answered", "[HttpClient]")
{
    struct Row {
        std::string bytes_;
        PeerFault fault_;
        std::uint64_t maxHeldBytes_ { maxHeldBytes };
    };
    auto row = GENERATE(values<Row>({
        { "HTTP/1.1 200 OK\r\nX: " + std::string(20'000, 'x'), PeerFault::HeaderTooLarge },
        { repeat("HTTP/1.1 100 Continue\r\n\r\n", 1000), PeerFault::HeaderTooLarge },
        { chunkedAnswer + "0\r\n" + repeat("Trailer: value\r\n", 2000), PeerFault::TrailerTooLarge },
        { chunkedAnswer + "5;" + std::string(20'000, 'e'), PeerFault::ChunkLineTooLarge },
        { chunkedAnswer + repeat("64\r\n" + std::string(100, 'b') + "\r\n", 11), PeerFault::BodyTooLarge },
        { "HTTP/1.1 200 OK\r\n\r\n" + std::string(1001, 'b'), PeerFault::BodyTooLarge },
        { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", PeerFault::Malformed },
        { "HTTP/1.1 200 OK\r\nX: " + std::string(10'000, 'x'), PeerFault::MemoryLimit, 6000 },
    }));
    INFO(row.bytes_.substr(0, 200));
    asio::io_context context;
    FixedServer server(context, row.bytes_);
    HttpClient client(context, server.address(), maxBodyBytes, HttpClient::defaultMaxIdle, row.maxHeldBytes_);
    auto exchange = exchangeWithin(context, client, std::chrono::seconds(5));
    REQUIRE(exchange);
    CHECK(exchange->stage_ == ExchangeStage::Written);
    CHECK(client.faults().count(row.fault_) == 1);
}

// Guards against: limits that ordinary servers meet, and a connection that was used again although the server had sent more than its response.
TEST_CASE("Ordinary responses are received, and their connections are used again if they can be", "[HttpClient]")
{
    struct Row {
        std::string bytes_;
        std::string body_;
        std::size_t connections_;
    };
    auto row = GENERATE(values<Row>({
        { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", 1 },
        { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", 1 },
        { chunkedAnswer + "2;e\r\nok\r\n0\r\nTrailer: value\r\n\r\n", "ok", 1 },
        { "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'b'), std::string(1000, 'b'), 1 },
        { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 500 Surplus\r\n\r\n", "ok", 2 },
        { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", "ok", 2 },
    }));
    INFO(row.bytes_.substr(0, 200));
    asio::io_context context;
    FixedServer server(context, row.bytes_);
    HttpClient client(context, server.address(), maxBodyBytes, HttpClient::defaultMaxIdle, maxHeldBytes);
    auto exchange = exchangeWithin(context, client, std::chrono::seconds(5));
    REQUIRE(exchange);
    CHECK(exchange->stage_ == ExchangeStage::Answered);
    CHECK(exchange->status_ == 200);
    CHECK(exchange->body_ == row.body_);
    // A reused connection brings no second answer; whether there is one shows which connection was taken.
    exchangeWithin(context, client, std::chrono::milliseconds(200));
    CHECK(server.accepted() == row.connections_);
}

} // namespace Lagoonpick
