#pragma once

#include "Lagoonpick/Transport/Http.h"

namespace Lagoonpick {

/// What an HTTP server allows.
struct HttpLimits {
    std::uint32_t maxConnections_ { 4096 };
    std::uint32_t maxHeaderBytes_ { 16'384 };
    std::uint64_t maxBodyBytes_ { 8'388'608 };
    /// The bodies of all requests that arrive or are handled at one time.
    std::uint64_t maxHeldBytes_ { 268'435'456 };
    /// How long a request may take to arrive, from its connection's opening or the last response.
    Duration readTimeout_ { std::chrono::seconds(60) };
    /// How long a response may take to be read by the other side.
    Duration writeTimeout_ { std::chrono::seconds(20) };
};

/// An HTTP/1.1 server on one address. Requests of one connection are handled one after the other.
///
/// When connections or bodies reach their limit, the connection whose other end has been awaited longest, to send a request or to
/// read an answer, is closed for the sake of the new one; a request that is handled is never dropped.
///
/// Lives on one `io_context` that one thread runs. Not for streaming request bodies.
class HttpServer {
public:
    using Respond = std::function<void(HttpResponse)>;
    /// Called with each whole request; must call `Respond` exactly once, then or later.
    using Handler = std::function<void(HttpRequest, Respond)>;

    HttpServer(boost::asio::io_context& context, HttpLimits limits, Handler handler);
    ~HttpServer();

    /// Starts to accept; fails with a message if the address can't be had.
    std::string listen(const std::string& address);

    /// The port that is listened on, once `listen` has succeeded.
    std::uint16_t port() const;

    /// Accepts no further connection and closes idle ones; requests under way are answered.
    void stopAccepting();

    /// How many connections have a request that is not wholly answered.
    std::size_t busyConnections() const;

    /// How many connections were closed since the start, new ones or those whose other end was awaited, because there was no
    /// room for more.
    std::uint64_t connectionsClosedForRoom() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace Lagoonpick
