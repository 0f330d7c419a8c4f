#pragma once

#include "Lagoonpick/Core/Error.h"
#include "Lagoonpick/Transport/Http.h"

#include <boost/asio/awaitable.hpp>
#include <deque>
#include <optional>

namespace Lagoonpick {

/// How far an HTTP exchange came.
enum class ExchangeStage : std::uint8_t {
    /// No byte of the request was written.
    NotWritten,
    /// Something was written; no whole response came back.
    Written,
    Answered,
};

/// The end of an HTTP exchange.
struct Exchange {
    ExchangeStage stage_ { ExchangeStage::NotWritten };
    std::uint32_t status_ { 0 };
    std::string body_;
};

/// What is sent by `HttpClient::exchange`.
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
/// Keeps connections for a short while. Lives on one `io_context` that one thread runs.
class HttpClient {
public:
    /// Well below any server's own idle timeout, so that a kept connection is hardly ever closed under a request.
    static constexpr Duration defaultMaxIdle = std::chrono::milliseconds(500);

    HttpClient(boost::asio::io_context& context, std::string address, std::uint64_t maxBodyBytes, Duration maxIdle = defaultMaxIdle);

    /// Sends a request; ends within `timeout`.
    boost::asio::awaitable<Exchange> exchange(OutgoingRequest request, Duration timeout);

    /// Sends a request and hands over each line of the streamed response until it ends, nothing comes for
    /// `silence`, or `onLine` returns false.
    boost::asio::awaitable<void> stream(OutgoingRequest request, Duration silence, std::function<bool(std::string)> onLine);

    /// Forgets the connections that are kept, as when they may have gone silent.
    void closeIdle() { idle_.clear(); }

    const std::string& address() const { return address_; }

private:
    struct Connection;
    std::shared_ptr<Connection> takeIdle();
    void keep(std::shared_ptr<Connection> connection);

    boost::asio::io_context& context_;
    std::string address_;
    std::uint64_t maxBodyBytes_;
    Duration maxIdle_;
    std::deque<std::shared_ptr<Connection>> idle_;
};

} // namespace Lagoonpick
