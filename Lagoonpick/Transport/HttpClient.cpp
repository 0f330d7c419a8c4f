#include "Lagoonpick/Transport/HttpClient.h"

#include <array>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <limits>

namespace Lagoonpick {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto useTuple = asio::experimental::as_tuple(asio::use_awaitable);

constexpr std::size_t maxIdleConnections = 64;
constexpr int httpVersion = 11;
constexpr std::size_t pieceBytes = 8192;
/// How many bodies of the largest size are held at a time if no other limit is given.
constexpr std::uint64_t maxResponsesHeld = 4;

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
    Connection(asio::io_context& context, std::shared_ptr<std::uint64_t> totalHeldBytes)
        : stream_(context)
        , totalHeldBytes_(std::move(totalHeldBytes))
    {
    }

    ~Connection() { hold(0); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    void hold(std::uint64_t bytes)
    {
        *totalHeldBytes_ += bytes - heldBytes_;
        heldBytes_ = bytes;
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
    std::shared_ptr<std::uint64_t> totalHeldBytes_;
    std::uint64_t heldBytes_ { 0 };
    /// The server sent more than its response.
    bool hasSurplus_ { false };
    std::chrono::steady_clock::time_point idleSince_;
};

HttpClient::HttpClient(asio::io_context& context, std::string address, std::uint64_t maxBodyBytes, Duration maxIdle, std::uint64_t maxHeldBytes)
    : context_(context)
    , address_(std::move(address))
    , maxBodyBytes_(maxBodyBytes)
    , maxIdle_(maxIdle)
    , maxHeldBytes_(maxHeldBytes ? maxHeldBytes : maxResponsesHeld * maxBodyBytes)
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
        connection = std::make_shared<Connection>(context_, heldBytes_);
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
    ResponseReader reader({ .maxBodyBytes_ = maxBodyBytes_ });
    bool isComplete = co_await read(*connection, reader);
    connection->hold(0);
    if (!isComplete)
        co_return Exchange { .stage_ = ExchangeStage::Written };
    connection->stream_.expires_never();
    if (reader.isConnectionKept() && !connection->hasSurplus_)
        keepIdle(std::move(connection));
    co_return Exchange { .stage_ = ExchangeStage::Answered, .status_ = reader.message().result_int(), .body_ = reader.takeBody() };
}

asio::awaitable<bool> HttpClient::read(Connection& connection, ResponseReader& reader)
{
    while (!reader.isComplete()) {
        if (!co_await readPiece(connection, reader))
            co_return false;
    }
    co_return true;
}

asio::awaitable<bool> HttpClient::readPiece(Connection& connection, ResponseReader& reader)
{
    std::array<char, pieceBytes> piece {};
    auto [error, size] = co_await connection.stream_.async_read_some(asio::buffer(piece), useTuple);
    if (error == asio::error::eof)
        reader.putEnd();
    if (error)
        co_return reader.isComplete();
    connection.hasSurplus_ = reader.put({ piece.data(), size }) < size;
    auto fault = reader.fault();
    connection.hold(reader.heldBytes());
    if (fault == PeerFault::None && *heldBytes_ > maxHeldBytes_ && !reader.isComplete())
        fault = PeerFault::MemoryLimit;
    if (fault != PeerFault::None)
        faults_.add(fault, address_);
    co_return fault == PeerFault::None;
}

asio::awaitable<void> HttpClient::stream(
    OutgoingRequest request, Duration idleTimeout, std::function<bool(std::string)> onLine)
{
    Connection connection(context_, heldBytes_);
    connection.stream_.expires_after(idleTimeout);
    auto [connectError] = co_await connection.stream_.async_connect(toEndpoint(address_), useTuple);
    if (connectError)
        co_return;
    auto message = toMessage(std::move(request), address_);
    auto [writeError, written] = co_await http::async_write(connection.stream_, message, useTuple);
    if (writeError)
        co_return;
    ResponseReader reader({ .maxBodyBytes_ = std::numeric_limits<std::int64_t>::max() });
    std::string pending;
    bool isActive = true;
    while (isActive && !reader.isComplete()) {
        connection.stream_.expires_after(idleTimeout);
        isActive = co_await readPiece(connection, reader);
        pending += reader.takeBody();
        for (auto end = pending.find('\n'); isActive && end != std::string::npos; end = pending.find('\n')) {
            isActive = pending.size() <= maxBodyBytes_ && onLine(pending.substr(0, end));
            pending.erase(0, end + 1);
        }
        isActive = isActive && pending.size() <= maxBodyBytes_;
    }
}

} // namespace Lagoonpick
