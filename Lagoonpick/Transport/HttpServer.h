#pragma once

#include "Lagoonpick/Transport/Http.h"

namespace Lagoonpick {

/// Limits and timeouts of an HTTP server.
struct HttpLimits {
    std::uint32_t maxConnections_ { 4096 };
    std::uint32_t maxHeaderBytes_ { 16'384 };
    std::uint64_t maxBodyBytes_ { 8'388'608 };
    /// Total size of the bodies of all requests that are being received or handled.
    std::uint64_t maxHeldBytes_ { 268'435'456 };
    /// Maximum time from the opening of a connection, or from the last response, until the next request has arrived completely.
    Duration readTimeout_ { std::chrono::seconds(60) };
    /// Maximum time for writing a response, or a chunk of a streamed one.
    Duration writeTimeout_ { std::chrono::seconds(20) };
};

/// An HTTP/1.1 server on one address. Requests of one connection are handled one after the other.
///
/// When the number of connections or the size of bodies reaches its limit, the server closes the connection that has waited
/// longest for its peer to send a request or to read a response, to make room for the new one. A request that is being handled
/// is never dropped.
///
/// Not thread-safe: uses one `io_context`, which a single thread runs, and is called on that thread only. Does not stream
/// request bodies.
class HttpServer {
public:
    using Respond = std::function<void(HttpResponse)>;
    /// Called with each complete request; must call `Respond` exactly once, at once or later.
    using Handler = std::function<void(HttpRequest, Respond)>;

    HttpServer(boost::asio::io_context& context, HttpLimits limits, Handler handler);
    ~HttpServer();

    /// Starts to accept connections on `IP:port`. Returns an error message, or an empty string on success.
    std::string listen(const std::string& address);

    /// The port that the server listens on, after `listen` has succeeded.
    std::uint16_t port() const;

    /// Accepts no further connections and closes those without a complete request; requests that are being handled are still
    /// answered.
    void stopAccepting();

    /// Number of connections with a request whose response is not yet completely written.
    std::size_t busyConnections() const;

    /// Number of connections closed because of the limits on connections and bodies since the start: evicted ones, and new ones
    /// that were not accepted.
    std::uint64_t connectionsClosedAtLimit() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace Lagoonpick
