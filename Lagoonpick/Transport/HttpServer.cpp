#include "Lagoonpick/Transport/HttpServer.h"

#include "Lagoonpick/Transport/Spawn.h"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <optional>

namespace Lagoonpick {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto useTuple = asio::experimental::as_tuple(asio::use_awaitable);

HttpRequest toRequest(http::request<http::string_body>&& message)
{
    std::string target(message.target());
    auto question = target.find('?');
    HttpRequest request { .method_ = std::string(message.method_string()), .path_ = target.substr(0, question), .query_ = {}, .idempotencyKey_ = std::string(message["Idempotency-Key"]), .body_ = std::move(message.body()), .headers_ = {}, .callerConnection_ = std::make_shared<CallerConnection>() };
    if (question != std::string::npos)
        request.query_ = target.substr(question + 1);
    for (const auto& field : message)
        request.headers_.push_back({ std::string(field.name_string()), std::string(field.value()) });
    return request;
}

template <typename Message>
void setHead(Message& message, const HttpResponse& response, bool keepAlive)
{
    message.result(response.status_);
    message.set(http::field::content_type, response.contentType_);
    if (response.retryAfterSeconds_)
        message.set(http::field::retry_after, std::to_string(response.retryAfterSeconds_));
    message.keep_alive(keepAlive);
}

HttpResponse problemForReadError(const beast::error_code& error)
{
    bool isTooLarge = error == http::error::body_limit || error == http::error::header_limit;
    HttpResponse response { .status_ = isTooLarge ? 413U : 400U, .contentType_ = "application/problem+json", .body_ = {}, .stream_ = {} };
    response.body_ = isTooLarge
        ? R"({"type":"urn:lagoonpick:problem:request-too-large","title":"request-too-large","status":413,"run":"no","submission_run":"unknown"})"
        : R"({"type":"urn:lagoonpick:problem:malformed-request","title":"malformed-request","status":400,"run":"no","submission_run":"unknown"})";
    return response;
}

HttpResponse problemForFullServer()
{
    constexpr std::uint32_t statusUnavailable = 503;
    HttpResponse response { .status_ = statusUnavailable, .contentType_ = "application/problem+json", .body_ = R"({"type":"urn:lagoonpick:problem:overloaded","title":"overloaded","status":503,"run":"no","submission_run":"unknown"})", .stream_ = {} };
    response.retryAfterSeconds_ = 1;
    return response;
}

/// True if the peer has closed or reset the connection, as far as this end has been notified.
bool isClosedByPeer(tcp::socket& socket)
{
    char byte = 0;
    beast::error_code error;
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error && error != asio::error::would_block;
}

bool isProtocolError(const beast::error_code& error)
{
    return error.category() == http::make_error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
}

} // namespace

tcp::endpoint toEndpoint(const std::string& address)
{
    auto colon = address.rfind(':');
    std::string host = address.substr(0, colon);
    if (!host.empty() && host.front() == '[')
        host = host.substr(1, host.size() - 2);
    return { asio::ip::make_address(host), static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))) };
}

void HttpStream::push(std::string_view chunk)
{
    pending_ += chunk;
    if (onData_)
        onData_();
}

void HttpStream::close()
{
    isClosed_ = true;
    if (onData_)
        onData_();
}

std::string_view findHeader(const std::vector<HttpHeader>& headers, std::string_view name)
{
    for (const auto& header : headers) {
        if (beast::iequals(header.name_, name))
            return header.value_;
    }
    return {};
}

std::string HttpStream::take()
{
    return std::exchange(pending_, {});
}

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
    struct Session {
        explicit Session(tcp::socket socket)
            : stream_(std::move(socket))
        {
        }
        beast::tcp_stream stream_;
        beast::flat_buffer buffer_;
        bool isBusy_ { false };
        /// Closed to make room for other connections; its coroutine has yet to end.
        bool isEvicted_ { false };
        /// Since when the server has waited for the peer to send a request or to read a response; empty while a request is handled.
        std::optional<std::chrono::steady_clock::time_point> waitingForPeerSince_ { std::chrono::steady_clock::now() };
        /// Bytes reserved for the body of its request.
        std::uint64_t heldBytes_ { 0 };
    };

    State(asio::io_context& context, HttpLimits limits, Handler handler)
        : context_(context)
        , acceptor_(context)
        , limits_(limits)
        , handler_(std::move(handler))
    {
    }

    asio::awaitable<void> accept()
    {
        auto self = shared_from_this();
        while (acceptor_.is_open()) {
            auto [error, socket] = co_await acceptor_.async_accept(useTuple);
            if (error == asio::error::operation_aborted)
                co_return;
            if (error) {
                // Most likely out of file descriptors: wait 20 ms for some to be closed.
                asio::steady_timer pause(context_, std::chrono::milliseconds(20));
                co_await pause.async_wait(useTuple);
                continue;
            }
            if (sessions_.size() - evictedCount_ >= limits_.maxConnections_ && !evictLongestWaiting(0)) {
                ++closedAtLimit_;
                continue;
            }
            beast::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            auto session = std::make_shared<Session>(std::move(socket));
            spawn(context_, serve(session), "HTTP connection");
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<Session> session)
    {
        auto self = shared_from_this();
        auto position = sessions_.insert(sessions_.end(), session);
        bool isKeptOpen = true;
        while (isKeptOpen) {
            isKeptOpen = co_await serveOne(session);
            release(*session);
        }
        beast::error_code ignored;
        session->stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
        evictedCount_ -= session->isEvicted_ ? 1 : 0;
        sessions_.erase(position);
    }

    /// Closes the connection that has waited longest for its peer, among those that hold at least `minHeldBytes` for a body.
    /// Returns false if there is none.
    bool evictLongestWaiting(std::uint64_t minHeldBytes)
    {
        std::shared_ptr<Session> longestWaiting;
        for (const auto& session : sessions_) {
            bool isCandidate = session->waitingForPeerSince_ && !session->isEvicted_ && session->heldBytes_ >= minHeldBytes;
            if (isCandidate && (!longestWaiting || *session->waitingForPeerSince_ < *longestWaiting->waitingForPeerSince_))
                longestWaiting = session;
        }
        if (!longestWaiting)
            return false;
        longestWaiting->isEvicted_ = true;
        ++evictedCount_;
        ++closedAtLimit_;
        release(*longestWaiting);
        // Not `cancel`: a composed read or write that is between two of its operations would continue.
        longestWaiting->stream_.close();
        return true;
    }

    /// Reserves room for the body of a request, evicting other connections if needed. Returns false if there is not enough room,
    /// because requests that are being handled hold the rest.
    bool hold(Session& session, std::uint64_t bytes)
    {
        while (heldBytes_ + bytes > limits_.maxHeldBytes_) {
            if (!evictLongestWaiting(1))
                return false;
        }
        session.heldBytes_ = bytes;
        heldBytes_ += bytes;
        return true;
    }

    void release(Session& session)
    {
        heldBytes_ -= std::exchange(session.heldBytes_, 0);
    }

    asio::awaitable<bool> serveOne(const std::shared_ptr<Session>& shared)
    {
        Session& session = *shared;
        http::request_parser<http::string_body> parser;
        parser.header_limit(limits_.maxHeaderBytes_);
        parser.body_limit(limits_.maxBodyBytes_);
        session.stream_.expires_after(limits_.readTimeout_);
        session.waitingForPeerSince_ = std::chrono::steady_clock::now();
        auto [error, size] = co_await http::async_read_header(session.stream_, session.buffer_, parser, useTuple);
        if (!error && !session.isEvicted_ && !parser.is_done()) {
            if (!hold(session, parser.content_length().value_or(limits_.maxBodyBytes_))) {
                co_await write(session, problemForFullServer(), false);
                co_return false;
            }
            std::tie(error, size) = co_await http::async_read(session.stream_, session.buffer_, parser, useTuple);
        }
        if (error || session.isEvicted_) {
            if (isProtocolError(error))
                co_await write(session, problemForReadError(error), false);
            co_return false;
        }
        session.isBusy_ = true;
        session.waitingForPeerSince_.reset();
        session.stream_.expires_never();
        auto message = parser.release();
        bool keepAlive = message.keep_alive();
        // After a suspension of this process, queued requests may come from callers that have disconnected since.
        if (isClosedByPeer(session.stream_.socket()))
            co_return false;
        HttpRequest request = toRequest(std::move(message));
        auto callerConnection = request.callerConnection_;
        watchCallerConnection(shared, callerConnection);
        HttpResponse response = co_await respond(std::move(request));
        callerConnection->onDisconnected_ = {};
        keepAlive = keepAlive && !isStopping_ && !response.mustClose_;
        bool isWritten = !response.isDropped_ && co_await write(session, std::move(response), keepAlive);
        session.isBusy_ = false;
        co_return isWritten&& keepAlive;
    }

    /// Waits for the connection to become readable while its request is handled: end of stream or an error means that the caller
    /// has disconnected.
    void watchCallerConnection(const std::shared_ptr<Session>& session, const std::weak_ptr<CallerConnection>& callerConnection)
    {
        session->stream_.socket().async_wait(tcp::socket::wait_read, [session, callerConnection](const beast::error_code& waitError) {
            auto& socket = session->stream_.socket();
            auto caller = callerConnection.lock();
            if (waitError == asio::error::operation_aborted || !caller || !caller->onDisconnected_)
                return;
            if (isClosedByPeer(socket))
                std::exchange(caller->onDisconnected_, {})();
        });
    }

    asio::awaitable<HttpResponse> respond(HttpRequest request)
    {
        co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(HttpResponse)>(
            [this, &request](auto completion) {
                auto shared = std::make_shared<decltype(completion)>(std::move(completion));
                // Resumes the coroutine by a post, so that the code that calls `Respond` does not re-enter the handler with the
                // next request.
                handler_(std::move(request), [this, shared](HttpResponse response) {
                    asio::post(context_, [shared, response = std::move(response)]() mutable { std::move (*shared)(std::move(response)); });
                });
            },
            asio::use_awaitable);
    }

    asio::awaitable<bool> write(Session& session, HttpResponse response, bool keepAlive)
    {
        if (response.stream_)
            co_return co_await writeStream(session, response);
        session.waitingForPeerSince_ = std::chrono::steady_clock::now();
        http::response<http::string_body> message;
        setHead(message, response, keepAlive);
        message.body() = std::move(response.body_);
        message.prepare_payload();
        session.stream_.expires_after(limits_.writeTimeout_);
        auto [error, size] = co_await http::async_write(session.stream_, message, useTuple);
        co_return !error && !session.isEvicted_;
    }

    asio::awaitable<bool> writeStream(Session& session, HttpResponse response)
    {
        http::response<http::empty_body> head;
        setHead(head, response, false);
        head.chunked(true);
        http::response_serializer<http::empty_body> serializer(head);
        session.stream_.expires_after(limits_.writeTimeout_);
        auto [headError, headSize] = co_await http::async_write_header(session.stream_, serializer, useTuple);
        auto stream = response.stream_;
        asio::steady_timer wake(context_);
        stream->onData_ = [&wake] { wake.cancel(); };
        bool hasFailed = static_cast<bool>(headError);
        while (!hasFailed && !(stream->isClosed() && !stream->hasData())) {
            if (!stream->hasData()) {
                wake.expires_at(asio::steady_timer::time_point::max());
                co_await wake.async_wait(useTuple);
                continue;
            }
            std::string chunk = stream->take();
            session.stream_.expires_after(limits_.writeTimeout_);
            auto [error, size] = co_await asio::async_write(session.stream_, http::make_chunk(asio::buffer(chunk)), useTuple);
            hasFailed = static_cast<bool>(error);
        }
        stream->onData_ = {};
        stream->close();
        co_return false;
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    HttpLimits limits_;
    Handler handler_;
    std::list<std::shared_ptr<Session>> sessions_;
    std::size_t evictedCount_ { 0 };
    std::uint64_t heldBytes_ { 0 };
    std::uint64_t closedAtLimit_ { 0 };
    bool isStopping_ { false };
};

HttpServer::HttpServer(asio::io_context& context, HttpLimits limits, Handler handler)
    : state_(std::make_shared<State>(context, limits, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    stopAccepting();
}

std::string HttpServer::listen(const std::string& address)
{
    auto endpoint = toEndpoint(address);
    boost::system::error_code error;
    state_->acceptor_.open(endpoint.protocol(), error);
    if (!error)
        state_->acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        state_->acceptor_.bind(endpoint, error);
    if (!error)
        state_->acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return "can't listen on " + address + ": " + error.message();
    spawn(state_->context_, state_->accept(), "HTTP server");
    return {};
}

std::uint16_t HttpServer::port() const
{
    boost::system::error_code error;
    return state_->acceptor_.local_endpoint(error).port();
}

void HttpServer::stopAccepting()
{
    state_->isStopping_ = true;
    boost::system::error_code ignored;
    state_->acceptor_.close(ignored);
    for (const auto& session : state_->sessions_) {
        if (!session->isBusy_)
            session->stream_.cancel();
    }
}

std::size_t HttpServer::busyConnections() const
{
    return std::count_if(state_->sessions_.begin(), state_->sessions_.end(), [](const auto& session) { return session->isBusy_; });
}

std::uint64_t HttpServer::connectionsClosedAtLimit() const
{
    return state_->closedAtLimit_;
}

} // namespace Lagoonpick
