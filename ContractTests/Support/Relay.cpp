#include "ContractTests/Support/Relay.h"

#include "Lagoonpick/Transport/Http.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
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
constexpr auto silencePollInterval = std::chrono::milliseconds(20);

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
        auto outgoing = std::make_shared<tcp::socket>(context_);
        auto [error] = co_await outgoing->async_connect(destination_, useTuple);
        if (error)
            co_return;
        incoming->set_option(tcp::no_delay(true));
        outgoing->set_option(tcp::no_delay(true));
        sockets_.push_back(incoming);
        sockets_.push_back(outgoing);
        asio::co_spawn(context_, forward(incoming, outgoing), asio::detached);
        asio::co_spawn(context_, forward(outgoing, incoming), asio::detached);
    }

    asio::awaitable<void> forward(Socket from, Socket to)
    {
        std::array<char, bufferBytes> buffer {};
        asio::steady_timer timer(context_);
        while (true) {
            auto [error, size] = co_await from->async_read_some(asio::buffer(buffer), useTuple);
            while (isSilent_) {
                timer.expires_after(silencePollInterval);
                co_await timer.async_wait(useTuple);
            }
            if (error)
                break;
            auto [writeError, written] = co_await asio::async_write(*to, asio::buffer(buffer.data(), size), useTuple);
            if (writeError)
                break;
        }
        close(*from);
        close(*to);
    }

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
    std::atomic<bool> isSilent_ { false };
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
    state_->isSilent_ = isSilent;
}

} // namespace Lagoonpick::Contract
