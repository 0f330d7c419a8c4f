#include "ContractTests/Support/Relay.h"
#include "ContractTests/Support/Process.h"
#include "Lagoonpick/Transport/HttpServer.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

namespace Lagoonpick::Soak {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Contract::Relay;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// A connection through a relay: `up_` is the end that connects, `down_` the one that accepts.
struct RelayedConnection {
    RelayedConnection()
    {
        up_.connect(toEndpoint(from_));
        down_ = acceptor_.accept();
    }

    std::string from_ = Contract::findFreeAddress();
    std::string to_ = Contract::findFreeAddress();
    asio::io_context context_;
    tcp::acceptor acceptor_ { context_, toEndpoint(to_) };
    Relay relay_ { from_, to_ };
    tcp::socket up_ { context_ };
    tcp::socket down_ { context_ };
};

milliseconds since(steady_clock::time_point begin)
{
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - begin);
}

} // namespace

TEST_CASE("A relay delivers late what was sent before a close, whole and in order, also while its latency shrinks")
{
    constexpr auto latency = milliseconds(200);
    RelayedConnection connection;
    connection.relay_.setLatency(Relay::Way::Up, latency);
    std::this_thread::sleep_for(milliseconds(20));
    auto begin = steady_clock::now();
    asio::write(connection.up_, asio::buffer(std::string("first ")));
    connection.relay_.setLatency(Relay::Way::Up, milliseconds(0), milliseconds(40));
    std::this_thread::sleep_for(milliseconds(60));
    asio::write(connection.up_, asio::buffer(std::string("second")));
    connection.up_.close();
    std::string received;
    boost::system::error_code error;
    asio::read(connection.down_, asio::dynamic_buffer(received), error);
    CHECK(received == "first second");
    CHECK(error == asio::error::eof);
    CHECK(since(begin) >= latency * 9 / 10);
}

TEST_CASE("A relay that is slow, narrow or silent one way delivers the other way at once")
{
    auto isUp = GENERATE(true, false);
    auto fault = GENERATE(0, 1, 2);
    RelayedConnection connection;
    auto way = isUp ? Relay::Way::Up : Relay::Way::Down;
    auto& slow = isUp ? connection.up_ : connection.down_;
    auto& fast = isUp ? connection.down_ : connection.up_;
    if (fault == 0)
        connection.relay_.setLatency(way, milliseconds(300));
    else if (fault == 1)
        connection.relay_.setRate(way, 10);
    else
        connection.relay_.setSilent(way, true);
    std::this_thread::sleep_for(milliseconds(20));
    std::array<char, 5> received {};
    auto begin = steady_clock::now();
    asio::write(slow, asio::buffer("12345", 5));
    asio::write(fast, asio::buffer("12345", 5));
    asio::read(slow, asio::buffer(received));
    CHECK(since(begin) < milliseconds(200));
    std::this_thread::sleep_for(milliseconds(200));
    CHECK(fast.available() == 0);
    connection.relay_.setSilent(way, false);
    asio::read(fast, asio::buffer(received));
    CHECK(std::string_view(received.data(), received.size()) == "12345");
}

} // namespace Lagoonpick::Soak
