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

/// Converts `IP:port` text that `isSocketAddress` accepts to a TCP endpoint.
boost::asio::ip::tcp::endpoint toEndpoint(const std::string& address);

/// An HTTP header field.
struct HttpHeader {
    std::string name_;
    std::string value_;
    bool operator==(const HttpHeader&) const = default;
};

/// Returns the value of the header field `name`, ignoring case; empty if there is none.
std::string_view findHeader(const std::vector<HttpHeader>& headers, std::string_view name);

/// Lets a request handler learn that the caller closed its connection before the response.
struct CallerConnection {
    /// Set by the handler while it handles the request; called at most once, on the server's thread.
    std::function<void()> onDisconnected_;
};

/// A complete HTTP request.
struct HttpRequest {
    std::string method_;
    std::string path_;
    /// Query part of the target, without the question mark.
    std::string query_;
    /// Value of the `Idempotency-Key` header; empty if there is none.
    std::string idempotencyKey_;
    std::string body_;
    std::vector<HttpHeader> headers_;
    std::shared_ptr<CallerConnection> callerConnection_;
};

/// Body of a streamed response, which the server writes in chunks. Used on the server's thread only.
class HttpStream {
public:
    /// Queues a chunk and calls `onData_`.
    void push(std::string_view chunk);
    /// Ends the body: the server closes the connection once everything queued is written. Calls `onData_`.
    void close();

    bool hasData() const { return !pending_.empty(); }
    bool isClosed() const { return isClosed_; }
    /// Returns everything queued and empties the queue.
    std::string take();
    /// Wakes the connection that writes the body; set by the server.
    std::function<void()> onData_;

private:
    std::string pending_;
    bool isClosed_ { false };
};

/// A complete HTTP response, or the head of a streamed one.
struct HttpResponse {
    std::uint32_t status_ { 200 };
    std::string contentType_ { "application/json" };
    /// Value of the `Retry-After` header; 0 for none.
    std::uint32_t retryAfterSeconds_ { 0 };
    std::string body_;
    /// If set, the body is streamed from here and `body_` is ignored.
    std::shared_ptr<HttpStream> stream_;
    /// Close the connection without a response; for stand-ins that lose responses.
    bool isDropped_ { false };
    /// Close the connection after the response.
    bool mustClose_ { false };
};

} // namespace Lagoonpick
