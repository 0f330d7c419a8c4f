#pragma once

#include "Lagoonpick/Core/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonpick {

/// A TCP endpoint from `IP:port` text that `isSocketAddress` accepts.
boost::asio::ip::tcp::endpoint toEndpoint(const std::string& address);

/// One header field.
struct HttpHeader {
    std::string name_;
    std::string value_;
    bool operator==(const HttpHeader&) const = default;
};

/// The value of the header field `name`, whatever its letters' case; empty if there is none.
std::string_view findHeader(const std::vector<HttpHeader>& headers, std::string_view name);

/// Tells that the other side closed its connection before it was answered.
struct CallerPresence {
    std::function<void()> onGone_;
};

/// A whole HTTP request.
struct HttpRequest {
    std::string method_;
    std::string path_;
    /// Without the question mark.
    std::string query_;
    /// The `Idempotency-Key` header; empty if there is none.
    std::string idempotencyKey_;
    std::string body_;
    std::vector<HttpHeader> headers_;
    std::shared_ptr<CallerPresence> presence_;
};

/// Feeds a response whose body is written bit by bit. Used from the server's thread only.
class HttpStream {
public:
    /// Queues a chunk. `onData` wakes the connection that writes it.
    void push(std::string_view chunk);
    void close();

    bool hasData() const { return !pending_.empty(); }
    bool isClosed() const { return isClosed_; }
    std::string take();
    std::function<void()> onData_;

private:
    std::string pending_;
    bool isClosed_ { false };
};

/// A whole HTTP response, or the head of a streamed one.
struct HttpResponse {
    std::uint32_t status_ { 200 };
    std::string contentType_ { "application/json" };
    /// 0 for none.
    std::uint32_t retryAfterSeconds_ { 0 };
    std::string body_;
    std::shared_ptr<HttpStream> stream_;
    /// Drop the connection without answering; for stand-ins that lose answers.
    bool isDropped_ { false };
    /// Ask the other side to send further requests on another connection.
    bool mustClose_ { false };
};

} // namespace Lagoonpick
