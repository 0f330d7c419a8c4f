#include "Lagoonpick/Transport/HttpClient.h"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Lagoonpick {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto useTuple = asio::experimental::as_tuple(asio::use_awaitable);

constexpr std::size_t maxIdleConnections = 64;
constexpr int httpVersion = 11;

http::request<http::string_body> toMessage(OutgoingRequest request, const std::string& host)
{
    http::request<http::string_body> message(http::string_to_verb(request.method_), request.path_, httpVersion);
    message.set(http::field::host, host);
    message.set(http::field::content_type, request.contentType_);
    if (!request.idempotencyKey_.empty())
        message.set("Idempotency-Key", request.idempotencyKey_);
    for (const auto& header : request.headers_)
        message.set(header.name_, header.value_);
    message.body() = std::move(request.body_);
    message.prepare_payload();
    return message;
}

} // namespace

struct HttpClient::Connection {
    explicit Connection(asio::io_context& context)
        : stream_(context)
    {
    }

    /// True if the server has neither closed the connection nor sent unrequested data.
    bool isReusable()
    {
        char byte = 0;
        beast::error_code error;
        stream_.socket().non_blocking(true, error);
        stream_.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error == asio::error::would_block;
    }

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::chrono::steady_clock::time_point idleSince_;
};

HttpClient::HttpClient(asio::io_context& context, std::string address, std::uint64_t maxBodyBytes, Duration maxIdle)
    : context_(context)
    , address_(std::move(address))
    , maxBodyBytes_(maxBodyBytes)
    , maxIdle_(maxIdle)
{
}

std::shared_ptr<HttpClient::Connection> HttpClient::takeIdle()
{
    auto oldestIdle = std::chrono::steady_clock::now() - maxIdle_;
    while (!idle_.empty()) {
        auto connection = std::move(idle_.back());
        idle_.pop_back();
        if (connection->idleSince_ >= oldestIdle && connection->isReusable())
            return connection;
    }
    return nullptr;
}

void HttpClient::keepIdle(std::shared_ptr<Connection> connection)
{
    if (idle_.size() == maxIdleConnections)
        idle_.pop_front();
    connection->idleSince_ = std::chrono::steady_clock::now();
    idle_.push_back(std::move(connection));
}

asio::awaitable<Exchange> HttpClient::exchange(OutgoingRequest request, Duration timeout)
{
    auto deadline = std::chrono::steady_clock::now() + timeout;
    auto connection = takeIdle();
    if (!connection) {
        connection = std::make_shared<Connection>(context_);
        connection->stream_.expires_at(deadline);
        auto [error] = co_await connection->stream_.async_connect(toEndpoint(address_), useTuple);
        if (error)
            co_return Exchange { .stage_ = ExchangeStage::NotWritten };
        beast::error_code ignored;
        connection->stream_.socket().set_option(tcp::no_delay(true), ignored);
    }
    connection->stream_.expires_at(deadline);
    auto message = toMessage(std::move(request), address_);
    auto [writeError, written] = co_await http::async_write(connection->stream_, message, useTuple);
    if (writeError)
        co_return Exchange { .stage_ = written ? ExchangeStage::Written : ExchangeStage::NotWritten };
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxBodyBytes_);
    auto [readError, size] = co_await http::async_read(connection->stream_, connection->buffer_, parser, useTuple);
    if (readError)
        co_return Exchange { .stage_ = ExchangeStage::Written };
    auto response = parser.release();
    connection->stream_.expires_never();
    if (response.keep_alive())
        keepIdle(std::move(connection));
    co_return Exchange { .stage_ = ExchangeStage::Answered, .status_ = response.result_int(), .body_ = std::move(response.body()) };
}

asio::awaitable<void> HttpClient::stream(
    OutgoingRequest request, Duration idleTimeout, std::function<bool(std::string)> onLine)
{
    Connection connection(context_);
    connection.stream_.expires_after(idleTimeout);
    auto [connectError] = co_await connection.stream_.async_connect(toEndpoint(address_), useTuple);
    if (connectError)
        co_return;
    auto message = toMessage(std::move(request), address_);
    auto [writeError, written] = co_await http::async_write(connection.stream_, message, useTuple);
    if (writeError)
        co_return;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    std::string pending;
    auto [headError, headSize] = co_await http::async_read_header(connection.stream_, connection.buffer_, parser, useTuple);
    bool isActive = !headError;
    while (isActive) {
        pending += std::exchange(parser.get().body(), {});
        for (auto end = pending.find('\n'); isActive && end != std::string::npos; end = pending.find('\n')) {
            isActive = pending.size() <= maxBodyBytes_ && onLine(pending.substr(0, end));
            pending.erase(0, end + 1);
        }
        if (!isActive || parser.is_done())
            break;
        connection.stream_.expires_after(idleTimeout);
        auto [error, size] = co_await http::async_read_some(connection.stream_, connection.buffer_, parser, useTuple);
        isActive = !error && pending.size() <= maxBodyBytes_;
    }
}

} // namespace Lagoonpick
