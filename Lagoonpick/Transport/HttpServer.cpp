#include "Lagoonpick/Transport/HttpServer.h"

#include "Lagoonpick/Transport/MessageReader.h"
#include "Lagoonpick/Transport/Spawn.h"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <fmt/format.h>
#include <list>
#include <optional>

namespace Lagoonpick {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto useTuple = asio::experimental::as_tuple(asio::use_awaitable);

/// What a connection that holds nothing counts for when one has to be closed: its session, coroutine and socket.
constexpr double idleConnectionBytes = 16'384;
/// Size of the buffer that all connections of a server share for the further pieces of requests.
constexpr std::size_t sharedBufferBytes = 16'384;
/// Pieces that are read from one connection before others have their turn.
constexpr int maxPiecesAtOnce = 8;
/// How long a connection that the server ends waits for its peer to close it, so that the peer receives the last response rather than a
/// reset: many round trips.
constexpr std::chrono::milliseconds lingerTime { 500 };

HttpRequest toRequest(RequestReader& reader)
{
    const auto& message = reader.message();
    std::string target(message.target());
    auto question = target.find('?');
    HttpRequest request { .method_ = std::string(message.method_string()), .path_ = target.substr(0, question), .query_ = {}, .idempotencyKey_ = std::string(message["Idempotency-Key"]), .body_ = reader.takeBody(), .headers_ = {}, .callerConnection_ = std::make_shared<CallerConnection>() };
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

HttpResponse makeProblem(std::uint32_t status, std::string_view title)
{
    HttpResponse response { .status_ = status, .contentType_ = "application/problem+json", .body_ = {}, .stream_ = {} };
    response.body_ = fmt::format(R"({{"type":"urn:lagoonpick:problem:{0}","title":"{0}","status":{1},"run":"no","submission_run":"unknown"}})", title, status);
    return response;
}

/// The refusal of a request that was not read completely, so that nothing of it has begun.
HttpResponse makeRefusal(PeerFault fault)
{
    constexpr std::uint32_t statusBadRequest = 400;
    constexpr std::uint32_t statusRequestTimeout = 408;
    constexpr std::uint32_t statusContentTooLarge = 413;
    constexpr std::uint32_t statusHeaderTooLarge = 431;
    constexpr std::uint32_t statusUnavailable = 503;
    switch (fault) {
    case PeerFault::HeaderTooLarge:
    case PeerFault::TrailerTooLarge:
        return makeProblem(statusHeaderTooLarge, "header-too-large");
    case PeerFault::BodyTooLarge:
        return makeProblem(statusContentTooLarge, "request-too-large");
    case PeerFault::TooSlow:
        return makeProblem(statusRequestTimeout, "request-too-slow");
    case PeerFault::MemoryLimit: {
        auto response = makeProblem(statusUnavailable, "overloaded");
        response.retryAfterSeconds_ = 1;
        return response;
    }
    default:
        return makeProblem(statusBadRequest, "malformed-request");
    }
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

std::string addressOf(const tcp::socket& socket)
{
    beast::error_code error;
    auto endpoint = socket.remote_endpoint(error);
    return error ? std::string() : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

/// How a reading ended.
enum class ReadEnd : std::uint8_t {
    Complete,
    Closed,
    Faulty,
};

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
            , readTimer_(stream_.get_executor())
        {
        }
        beast::tcp_stream stream_;
        /// Ends the reading of a request at its deadline. Not the stream's own timeout, which closes the socket, so that no refusal
        /// could be sent.
        asio::steady_timer readTimer_;
        /// The first piece of a request; most requests are no longer.
        std::array<char, 1024> input_ {};
        /// What was received behind the last request.
        std::string pipelined_;
        bool isBusy_ { false };
        bool isReading_ { false };
        bool isTooSlow_ { false };
        /// Closed to make room for other connections; its coroutine has yet to end.
        bool isEvicted_ { false };
        /// Since when the server has waited for the peer to send a request or to read a response; empty while a request is handled.
        std::optional<std::chrono::steady_clock::time_point> waitingForPeerSince_ { std::chrono::steady_clock::now() };
        /// Bytes that are held for the connection.
        std::uint64_t heldBytes_ { 0 };
        /// Since when any bytes are held.
        std::chrono::steady_clock::time_point heldSince_;
    };

    State(asio::io_context& context, HttpLimits limits, Handler handler)
        : context_(context)
        , acceptor_(context)
        , limits_(std::move(limits))
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
                // Most likely out of file descriptors: make room, and wait 20 ms for some to be closed.
                if (error == asio::error::no_descriptors)
                    evict(PeerFault::ConnectionLimit);
                asio::steady_timer pause(context_, std::chrono::milliseconds(20));
                co_await pause.async_wait(useTuple);
                continue;
            }
            if (sessions_.size() - evictedCount_ >= limits_.maxConnections_ && !evict(PeerFault::ConnectionLimit)) {
                faults_.add(PeerFault::ConnectionLimit, addressOf(socket));
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
        co_await linger(*session);
        evictedCount_ -= session->isEvicted_ ? 1 : 0;
        sessions_.erase(position);
    }

    /// Closes a connection from this end, and drops what the peer still sends until it closes its own or the time is over.
    asio::awaitable<void> linger(Session& session)
    {
        session.waitingForPeerSince_ = std::chrono::steady_clock::now();
        beast::error_code ignored;
        session.stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
        // Closes the socket.
        session.stream_.expires_after(lingerTime);
        bool isOpen = !session.isEvicted_ && !isStopping_;
        while (isOpen) {
            auto [error, size] = co_await session.stream_.async_read_some(asio::buffer(session.input_), useTuple);
            isOpen = !error;
        }
        session.stream_.close();
    }

    /// Closes the connection that has held most for longest while it waited for its peer; for memory, among those that hold any.
    /// Returns false if there is none, or if it is `requester` itself, which is left open so that it can be answered.
    bool evict(PeerFault fault, const Session* requester = nullptr)
    {
        std::shared_ptr<Session> chosen;
        double highestCost = -1;
        auto now = std::chrono::steady_clock::now();
        for (const auto& session : sessions_) {
            bool isForMemory = fault == PeerFault::MemoryLimit;
            if (!session->waitingForPeerSince_ || session->isEvicted_ || (isForMemory && !session->heldBytes_))
                continue;
            // A connection that was idle for long has not held its new request for long.
            std::chrono::duration<double> age = now - (isForMemory ? session->heldSince_ : *session->waitingForPeerSince_);
            double cost = ((isForMemory ? 0 : idleConnectionBytes) + static_cast<double>(session->heldBytes_)) * age.count();
            if (cost > highestCost) {
                highestCost = cost;
                chosen = session;
            }
        }
        if (!chosen || chosen.get() == requester)
            return false;
        chosen->isEvicted_ = true;
        ++evictedCount_;
        faults_.add(fault, addressOf(chosen->stream_.socket()));
        release(*chosen);
        // Not `cancel`: a composed write that is between two of its operations would continue.
        chosen->stream_.close();
        return true;
    }

    /// Accounts for what is held for a connection, closing others if there is not enough room. Returns false if there is none for this
    /// connection: it is the one that would have to be closed, or requests that are being handled hold the rest.
    bool hold(Session& session, std::uint64_t bytes)
    {
        // A connection that takes no more than before has no part in a shortage.
        const bool hasGrown = bytes > session.heldBytes_;
        if (!session.heldBytes_)
            session.heldSince_ = std::chrono::steady_clock::now();
        heldBytes_ += bytes - session.heldBytes_;
        session.heldBytes_ = bytes;
        while (hasGrown && heldBytes_ > limits_.maxHeldBytes_) {
            if (!evict(PeerFault::MemoryLimit, &session))
                return false;
        }
        return true;
    }

    void release(Session& session)
    {
        heldBytes_ -= std::exchange(session.heldBytes_, 0);
    }

    asio::awaitable<bool> serveOne(const std::shared_ptr<Session>& shared)
    {
        Session& session = *shared;
        RequestReader reader({ .maxHeaderBytes_ = limits_.maxHeaderBytes_, .maxHeaderFields_ = limits_.maxHeaderFields_, .maxBodyBytes_ = limits_.maxBodyBytes_ });
        PeerFault fault = PeerFault::None;
        session.isReading_ = true;
        ReadEnd end = co_await read(shared, reader, fault);
        session.isReading_ = false;
        if (end == ReadEnd::Faulty)
            co_await refuse(session, fault);
        if (end != ReadEnd::Complete)
            co_return false;
        session.isBusy_ = true;
        session.waitingForPeerSince_.reset();
        bool keepAlive = reader.isConnectionKept();
        // After a suspension of this process, queued requests may come from callers that have disconnected since.
        if (isClosedByPeer(session.stream_.socket()))
            co_return false;
        HttpRequest request = toRequest(reader);
        auto callerConnection = request.callerConnection_;
        watchCallerConnection(shared, callerConnection);
        HttpResponse response = co_await respond(std::move(request));
        callerConnection->onDisconnected_ = {};
        keepAlive = keepAlive && !isStopping_ && !response.mustClose_;
        bool isWritten = !response.isDropped_ && co_await write(session, std::move(response), keepAlive);
        session.isBusy_ = false;
        co_return isWritten&& keepAlive;
    }

    /// Reads a request until it is complete. The connection is closed or refused without its request having begun in all other cases.
    asio::awaitable<ReadEnd> read(const std::shared_ptr<Session>& shared, RequestReader& reader, PeerFault& fault)
    {
        Session& session = *shared;
        session.waitingForPeerSince_ = std::chrono::steady_clock::now();
        auto deadline = *session.waitingForPeerSince_ + limits_.readTimeout_;
        limitReading(shared, deadline);
        bool isHeld = putPipelined(session, reader);
        std::optional<std::chrono::steady_clock::time_point> begunAt;
        bool isCallerTimeKnown = false;
        while (true) {
            if (session.isEvicted_)
                co_return ReadEnd::Closed;
            fault = isHeld ? reader.fault() : PeerFault::MemoryLimit;
            if (fault == PeerFault::None && reader.isComplete())
                co_return ReadEnd::Complete;
            if (fault == PeerFault::None && session.isTooSlow_ && reader.hasBegun())
                fault = PeerFault::TooSlow;
            if (fault != PeerFault::None)
                co_return ReadEnd::Faulty;
            if (session.isTooSlow_ || isStopping_)
                co_return ReadEnd::Closed;
            if (reader.hasBegun() && !begunAt)
                begunAt = std::chrono::steady_clock::now();
            if (reader.isHeadComplete() && !std::exchange(isCallerTimeKnown, true))
                limitReading(shared, std::min(deadline, *begunAt + callerTime(reader)));
            auto [error, size] = co_await session.stream_.async_read_some(asio::buffer(session.input_), useTuple);
            if (session.isEvicted_ || (error && !session.isTooSlow_))
                co_return ReadEnd::Closed;
            isHeld = put(session, reader, { session.input_.data(), size }) && readAvailable(session, reader);
        }
    }

    /// Ends the reading of a connection's request at `deadline`.
    void limitReading(const std::shared_ptr<Session>& session, std::chrono::steady_clock::time_point deadline)
    {
        std::weak_ptr<Session> weak = session;
        session->readTimer_.expires_at(deadline);
        session->readTimer_.async_wait([weak](const beast::error_code& error) {
            auto expired = weak.lock();
            // The timer may have been set anew after this call was queued.
            if (error || !expired || !expired->isReading_ || expired->readTimer_.expiry() > std::chrono::steady_clock::now())
                return;
            expired->isTooSlow_ = true;
            expired->stream_.cancel();
        });
    }

    /// How long a request may take to arrive from its first byte on, by what its caller says.
    Duration callerTime(const RequestReader& reader) const
    {
        if (limits_.callerTimeField_.empty())
            return limits_.readTimeout_;
        auto text = reader.message()[limits_.callerTimeField_];
        std::uint32_t milliseconds = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
        bool isNumber = error == std::errc() && end == text.data() + text.size();
        return isNumber ? std::min<Duration>(std::chrono::milliseconds(milliseconds), limits_.readTimeout_) : limits_.readTimeout_;
    }

    /// Returns false if there is no room for what is held after the piece.
    bool put(Session& session, RequestReader& reader, std::string_view piece)
    {
        auto used = reader.put(piece);
        if (reader.isComplete())
            session.pipelined_ = piece.substr(used);
        return hold(session, reader.heldBytes() + allocatedBytes(session.pipelined_));
    }

    /// Reads what was received behind the last request.
    bool putPipelined(Session& session, RequestReader& reader)
    {
        const std::string pipelined = std::exchange(session.pipelined_, {});
        return put(session, reader, pipelined);
    }

    /// Reads what has already arrived, without waiting.
    bool readAvailable(Session& session, RequestReader& reader)
    {
        beast::error_code error;
        auto& socket = session.stream_.socket();
        socket.non_blocking(true, error);
        for (int i = 0; i < maxPiecesAtOnce && !error && !reader.isComplete() && reader.fault() == PeerFault::None; ++i) {
            auto size = socket.read_some(asio::buffer(sharedBuffer_), error);
            if (!put(session, reader, { sharedBuffer_.data(), size }))
                return false;
        }
        return true;
    }

    /// Answers a request that was not read completely, before its connection is closed.
    asio::awaitable<void> refuse(Session& session, PeerFault fault)
    {
        release(session);
        faults_.add(fault, addressOf(session.stream_.socket()));
        if (fault != PeerFault::MemoryLimit || limits_.answersWhenFull_)
            co_await write(session, makeRefusal(fault), false);
    }

    /// Waits for the connection to become readable while its request is handled: end of stream or an error means that the caller
    /// has disconnected.
    void watchCallerConnection(const std::shared_ptr<Session>& session, const std::weak_ptr<CallerConnection>& callerConnection)
    {
        std::weak_ptr<Session> weak = session;
        session->stream_.socket().async_wait(tcp::socket::wait_read, [weak, callerConnection](const beast::error_code& waitError) {
            auto watched = weak.lock();
            auto caller = callerConnection.lock();
            if (waitError == asio::error::operation_aborted || !watched || !caller || !caller->onDisconnected_)
                return;
            if (isClosedByPeer(watched->stream_.socket()))
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
        http::response<http::string_body> message;
        setHead(message, response, keepAlive);
        message.body() = std::move(response.body_);
        message.prepare_payload();
        // Makes room before the connection can be chosen itself: its request may have run.
        session.waitingForPeerSince_.reset();
        hold(session, allocatedBytes(message.body()) + allocatedBytes(session.pipelined_));
        session.waitingForPeerSince_ = std::chrono::steady_clock::now();
        session.stream_.expires_after(limits_.writeTimeout_);
        auto [error, size] = co_await http::async_write(session.stream_, message, useTuple);
        session.stream_.expires_never();
        if (error == beast::error::timeout)
            faults_.add(PeerFault::NotReading, {});
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
    std::array<char, sharedBufferBytes> sharedBuffer_ {};
    PeerFaults faults_;
    bool isStopping_ { false };
};

HttpServer::HttpServer(asio::io_context& context, HttpLimits limits, Handler handler)
    : state_(std::make_shared<State>(context, std::move(limits), std::move(handler)))
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
    return state_->faults_.count(PeerFault::ConnectionLimit) + state_->faults_.count(PeerFault::MemoryLimit);
}

PeerFaults& HttpServer::faults()
{
    return state_->faults_;
}

const PeerFaults& HttpServer::faults() const
{
    return state_->faults_;
}

std::uint64_t HttpServer::heldBytes() const
{
    return state_->heldBytes_;
}

} // namespace Lagoonpick
