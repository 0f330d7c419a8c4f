#pragma once

#include "Lagoonpick/Transport/Http.h"
#include "Lagoonpick/Transport/PeerFault.h"

namespace Lagoonpick {

/// Limits and timeouts of an HTTP server.
struct HttpLimits {
    std::uint32_t maxConnections_ { 4096 };
    /// Also the limit of chunk lines between two bytes of a body, and of trailers.
    std::uint32_t maxHeaderBytes_ { 16'384 };
    std::uint32_t maxHeaderFields_ { 100 };
    std::uint64_t maxBodyBytes_ { 8'388'608 };
    /// What all connections together may have the server hold: of requests that are being received or handled, of bytes that follow a
    /// request, and of responses that are being written.
    std::uint64_t maxHeldBytes_ { 268'435'456 };
    /// Whether a request that there is no room for is answered with 503. If a repeated request may be for a job that has begun, 503 would not
    /// be true of that job, and the connection is closed without an answer.
    bool answersWhenFull_ { true };
    /// Maximum time from the opening of a connection, or from the last response, until the next request has arrived completely.
    Duration readTimeout_ { std::chrono::seconds(60) };
    /// Header field in which a caller says for how many milliseconds it waits; a request that has not arrived completely by then is
    /// refused. Empty: there is none.
    std::string callerTimeField_ {};
    /// Maximum time for writing a response, or a chunk of a streamed one.
    Duration writeTimeout_ { std::chrono::seconds(20) };
};

/// An HTTP/1.1 server on one address. Requests of one connection are handled one after the other.
///
/// When the number of connections, of descriptors or of held bytes reaches its limit, the server makes room by closing the connection
/// that has held most for longest (bytes times time) while it waited for its peer to send a request or to read a response. A request
/// that is being handled is never dropped.
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

    /// Number of connections closed because of the limits on connections and held bytes since the start: evicted ones, and new ones
    /// that were not accepted.
    std::uint64_t connectionsClosedAtLimit() const;

    /// Refused requests and closed connections by kind. Its handler may be set.
    PeerFaults& faults();
    const PeerFaults& faults() const;

    /// Bytes held at present.
    std::uint64_t heldBytes() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace Lagoonpick
