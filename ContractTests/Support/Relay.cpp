#include "ContractTests/Support/Relay.h"

#include "Lagoonpick/Transport/Http.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/experimental/channel.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <thread>

namespace Lagoonpick::Contract {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto useTuple = asio::experimental::as_tuple(asio::use_awaitable);
constexpr std::size_t bufferBytes = 65'536;
/// Chunks of a connection that wait to be delivered one way; beyond it, nothing more is read.
constexpr std::size_t maxWaitingChunks = 1024;
/// How far a limited rate may lag behind before nothing more is read.
constexpr auto maxLag = std::chrono::seconds(1);
constexpr auto silencePollInterval = std::chrono::milliseconds(20);

using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// What one read returned; empty for the close.
struct Chunk {
    std::string bytes_;
    Time due_;
};

using Chunks = asio::experimental::channel<void(boost::system::error_code, Chunk)>;

/// One way through the relay.
class Path {
public:
    void setLatency(Duration latency, Duration rampTime)
    {
        rampBegin_ = std::chrono::steady_clock::now();
        firstLatency_ = latencyAt(rampBegin_);
        lastLatency_ = latency;
        rampEnd_ = rampBegin_ + rampTime;
    }

    void setRate(std::uint64_t bytesPerSecond) { bytesPerSecond_ = bytesPerSecond; }

    /// When data that is sent now arrives.
    Time reserve(std::size_t bytes)
    {
        Time now = std::chrono::steady_clock::now();
        sentAt_ = std::max(sentAt_, now);
        if (bytesPerSecond_)
            sentAt_ += Duration(std::chrono::seconds(1)) * bytes / bytesPerSecond_;
        return sentAt_ + latencyAt(now);
    }

    /// When the next data may be read.
    Time nextRead() const { return sentAt_ - maxLag; }

    bool isSilent_ { false };

private:
    Duration latencyAt(Time time) const
    {
        if (time >= rampEnd_)
            return lastLatency_;
        double share = std::chrono::duration<double>(time - rampBegin_) / std::chrono::duration<double>(rampEnd_ - rampBegin_);
        return firstLatency_ + std::chrono::duration_cast<Duration>((lastLatency_ - firstLatency_) * share);
    }

    Time rampBegin_;
    Time rampEnd_;
    Duration firstLatency_ {};
    Duration lastLatency_ {};
    std::uint64_t bytesPerSecond_ { 0 };
    /// When the last byte so far has left the sender.
    Time sentAt_;
};

} // namespace

struct Relay::State {
    using Socket = std::shared_ptr<tcp::socket>;

    State(const std::string& from, const std::string& to)
        : acceptor_(context_, toEndpoint(from))
        , destination_(toEndpoint(to))
    {
    }

    asio::awaitable<void> acceptConnections()
    {
        while (true) {
            auto [error, socket] = co_await acceptor_.async_accept(useTuple);
            if (error)
                co_return;
            auto incoming = std::make_shared<tcp::socket>(std::move(socket));
            asio::co_spawn(context_, connectToDestination(incoming), asio::detached);
        }
    }

    asio::awaitable<void> connectToDestination(Socket incoming)
    {
        sockets_.push_back(incoming);
        // Opening a connection takes as long as data does.
        co_await waitUntil(path(Way::Up).reserve(0));
        while (path(Way::Up).isSilent_ || path(Way::Down).isSilent_)
            co_await waitUntil(std::chrono::steady_clock::now() + silencePollInterval);
        auto outgoing = std::make_shared<tcp::socket>(context_);
        auto [error] = co_await outgoing->async_connect(destination_, useTuple);
        if (error)
            co_return;
        if (!incoming->is_open())
            co_return;
        incoming->set_option(tcp::no_delay(true));
        outgoing->set_option(tcp::no_delay(true));
        sockets_.push_back(outgoing);
        forward(incoming, outgoing, path(Way::Up));
        forward(outgoing, incoming, path(Way::Down));
    }

    void forward(const Socket& from, const Socket& to, Path& path)
    {
        auto chunks = std::make_shared<Chunks>(context_, maxWaitingChunks);
        asio::co_spawn(context_, read(from, path, chunks), asio::detached);
        asio::co_spawn(context_, deliver(from, to, path, chunks), asio::detached);
    }

    asio::awaitable<void> waitUntil(Time time)
    {
        asio::steady_timer timer(context_, time);
        co_await timer.async_wait(useTuple);
    }

    asio::awaitable<void> read(Socket from, Path& path, std::shared_ptr<Chunks> chunks)
    {
        std::array<char, bufferBytes> buffer {};
        boost::system::error_code error;
        while (!error) {
            co_await waitUntil(path.nextRead());
            std::size_t size = 0;
            std::tie(error, size) = co_await from->async_read_some(asio::buffer(buffer), useTuple);
            Chunk chunk { std::string(buffer.data(), size), path.reserve(size) };
            co_await chunks->async_send(boost::system::error_code(), std::move(chunk), useTuple);
        }
    }

    asio::awaitable<void> deliver(Socket from, Socket to, Path& path, std::shared_ptr<Chunks> chunks)
    {
        Time last;
        while (true) {
            auto [error, chunk] = co_await chunks->async_receive(useTuple);
            // A latency that shrinks doesn't let later data overtake.
            last = std::max(last, chunk.due_);
            co_await waitUntil(last);
            while (path.isSilent_)
                co_await waitUntil(std::chrono::steady_clock::now() + silencePollInterval);
            if (chunk.bytes_.empty())
                break;
            // After an error the bytes are lost; the other way delivers the close.
            co_await asio::async_write(*to, asio::buffer(chunk.bytes_), useTuple);
        }
        close(*from);
        close(*to);
    }

    Path& path(Way way) { return paths_[static_cast<std::size_t>(way)]; }

    static void close(tcp::socket& socket)
    {
        boost::system::error_code ignored;
        socket.shutdown(tcp::socket::shutdown_both, ignored);
        socket.close(ignored);
    }

    void cut()
    {
        for (auto& socket : sockets_)
            close(*socket);
        sockets_.clear();
    }

    asio::io_context context_ { 1 };
    tcp::acceptor acceptor_;
    tcp::endpoint destination_;
    std::list<Socket> sockets_;
    std::array<Path, 2> paths_;
    std::thread thread_;
};

Relay::Relay(const std::string& from, const std::string& to)
    : state_(std::make_unique<State>(from, to))
{
    asio::co_spawn(state_->context_, state_->acceptConnections(), asio::detached);
    state_->thread_ = std::thread([this] { state_->context_.run(); });
}

Relay::~Relay()
{
    state_->context_.stop();
    state_->thread_.join();
}

void Relay::cut()
{
    asio::post(state_->context_, [this] { state_->cut(); });
}

void Relay::setSilent(bool isSilent)
{
    setSilent(Way::Up, isSilent);
    setSilent(Way::Down, isSilent);
}

void Relay::setSilent(Way way, bool isSilent)
{
    asio::post(state_->context_, [this, way, isSilent] { state_->path(way).isSilent_ = isSilent; });
}

void Relay::setLatency(Way way, std::chrono::milliseconds latency, std::chrono::milliseconds rampTime)
{
    asio::post(state_->context_, [this, way, latency, rampTime] { state_->path(way).setLatency(latency, rampTime); });
}

void Relay::setRate(Way way, std::uint64_t bytesPerSecond)
{
    asio::post(state_->context_, [this, way, bytesPerSecond] { state_->path(way).setRate(bytesPerSecond); });
}

} // namespace Lagoonpick::Contract
