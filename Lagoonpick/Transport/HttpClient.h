#pragma once

#include "Lagoonpick/Core/Error.h"
#include "Lagoonpick/Transport/Http.h"
#include "Lagoonpick/Transport/MessageReader.h"

#include <boost/asio/awaitable.hpp>
#include <deque>
#include <optional>

namespace Lagoonpick {

/// How far an HTTP exchange got.
enum class ExchangeStage : std::uint8_t {
    /// No byte of the request was written.
    NotWritten,
    /// At least one byte of the request was written, but no complete response was received.
    Written,
    /// A complete response was received.
    Answered,
};

/// The result of an HTTP exchange. Status and body are set only if it is `Answered`.
struct Exchange {
    ExchangeStage stage_ { ExchangeStage::NotWritten };
    std::uint32_t status_ { 0 };
    std::string body_;
};

/// A request to send with `HttpClient`.
struct OutgoingRequest {
    std::string method_ { "POST" };
    std::string path_;
    std::string contentType_ { "application/json" };
    std::string idempotencyKey_;
    std::string body_;
    std::vector<HttpHeader> headers_ {};
};

/// An HTTP/1.1 client of one server. Never writes a request twice, whatever fails.
///
/// Reuses idle connections for a short time. What a server may have the client hold is bounded: for each response by the limits of
/// `MessageLimits`, for all responses that are being read by `maxHeldBytes`. A response beyond them counts as not received. Not thread-safe: uses one `io_context`, which a single thread runs, and is called
/// on that thread only.
class HttpClient {
public:
    /// Well below the idle timeout of any server, so that a server hardly ever closes a connection just when it is reused.
    static constexpr Duration defaultMaxIdle = std::chrono::milliseconds(500);

    /// `maxHeldBytes` bounds what is held of all responses that are being read; 0 for four bodies of the largest size.
    HttpClient(boost::asio::io_context& context, std::string address, std::uint64_t maxBodyBytes, Duration maxIdle = defaultMaxIdle, std::uint64_t maxHeldBytes = 0);

    /// Sends a request and waits for the response; ends within `timeout`.
    boost::asio::awaitable<Exchange> exchange(OutgoingRequest request, Duration timeout);

    /// Sends a request and passes each line of the streamed response to `onLine`, until the response ends, nothing arrives for
    /// `idleTimeout`, `onLine` returns false, or more than the maximum body size is buffered.
    boost::asio::awaitable<void> stream(OutgoingRequest request, Duration idleTimeout, std::function<bool(std::string)> onLine);

    /// Closes the idle connections, for example when they may be dead without a sign of it.
    void closeIdle() { idle_.clear(); }

    const std::string& address() const { return address_; }

    /// Responses that were dropped, by kind. Its handler may be set.
    PeerFaults& faults() { return faults_; }
    const PeerFaults& faults() const { return faults_; }

private:
    struct Connection;
    std::shared_ptr<Connection> takeIdle();
    void keepIdle(std::shared_ptr<Connection> connection);
    /// Reads until the response is complete; returns false if it fails before.
    boost::asio::awaitable<bool> read(Connection& connection, ResponseReader& reader);
    /// Reads one piece; returns false if the response has failed.
    boost::asio::awaitable<bool> readPiece(Connection& connection, ResponseReader& reader);

    boost::asio::io_context& context_;
    std::string address_;
    std::uint64_t maxBodyBytes_;
    Duration maxIdle_;
    std::uint64_t maxHeldBytes_;
    std::deque<std::shared_ptr<Connection>> idle_;
    /// Shared with the connections, which may outlive the client.
    std::shared_ptr<std::uint64_t> heldBytes_ { std::make_shared<std::uint64_t>(0) };
    PeerFaults faults_;
};

} // namespace Lagoonpick
