#include "ContractTests/Support/Process.h"
#include "Lagoonpick/Transport/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace Lagoonpick;
using namespace Lagoonpick::Contract;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto useTuple = asio::experimental::as_tuple(asio::use_awaitable);
constexpr Duration timeout = std::chrono::milliseconds(300);

/// How a target misbehaves once a connection is there.
enum class Behaviour {
    Answer,
    AnswerAndClose,
    CloseAtOnce,
    CloseAfterRequest,
    CloseInsideHead,
    CloseInsideBody,
    NoHttp,
    Silence,
    HugeBody,
};

std::string responseOf(Behaviour behaviour)
{
    switch (behaviour) {
    case Behaviour::Answer:
    case Behaviour::AnswerAndClose:
        return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    case Behaviour::CloseInsideHead:
        return "HTTP/1.1 200 OK\r\nContent-Le";
    case Behaviour::CloseInsideBody:
        return "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok";
    case Behaviour::NoHttp:
        return "ok\r\n\r\n";
    case Behaviour::HugeBody:
        return "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + std::string(100'000, 'x');
    default:
        return {};
    }
}

/// A target that counts the requests it gets, byte for byte.
class RawTarget {
public:
    RawTarget(asio::io_context& context, Behaviour behaviour)
        : address_(findFreeAddress())
        , acceptor_(context, toEndpoint(address_))
        , behaviour_(behaviour)
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    const std::string& address() const { return address_; }
    int requests() const { return requests_; }
    int connections() const { return connections_; }
    void close() { acceptor_.close(); }

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            auto [error, socket] = co_await acceptor_.async_accept(useTuple);
            if (error)
                co_return;
            ++connections_;
            asio::co_spawn(acceptor_.get_executor(), serve(std::make_shared<tcp::socket>(std::move(socket))), asio::detached);
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        if (behaviour_ == Behaviour::CloseAtOnce)
            co_return;
        std::string received;
        while (true) {
            auto [error, size] = co_await asio::async_read_until(*socket, asio::dynamic_buffer(received), "payload", useTuple);
            if (error)
                co_return;
            received.erase(0, size);
            ++requests_;
            std::string response = responseOf(behaviour_);
            auto result = co_await asio::async_write(*socket, asio::buffer(response), useTuple);
            bool hasFailed = static_cast<bool>(std::get<0>(result));
            if (hasFailed)
                co_return;
            if (behaviour_ != Behaviour::Answer && behaviour_ != Behaviour::Silence)
                co_return;
        }
    }

    std::string address_;
    tcp::acceptor acceptor_;
    Behaviour behaviour_;
    int requests_ { 0 };
    int connections_ { 0 };
};

std::vector<Exchange> exchangeTimes(HttpClient& client, asio::io_context& context, int times)
{
    std::vector<Exchange> exchanges;
    auto run = [&]() -> asio::awaitable<void> {
        for (int i = 0; i < times; ++i) {
            OutgoingRequest request { .path_ = "/", .body_ = "payload" };
            exchanges.push_back(co_await client.exchange(std::move(request), timeout));
        }
        context.stop();
    };
    asio::co_spawn(context, run, asio::detached);
    context.run();
    context.restart();
    return exchanges;
}

} // namespace

TEST_CASE("Whatever a target does, a request is written once and its end is told truly", "[Target]")
{
    struct Row {
        const char* what_;
        Behaviour behaviour_;
        ExchangeStage stage_;
        int requests_;
    };
    auto row = GENERATE(values<Row>({
        { "answers", Behaviour::Answer, ExchangeStage::Answered, 1 },
        { "answers and closes", Behaviour::AnswerAndClose, ExchangeStage::Answered, 1 },
        { "closes without reading", Behaviour::CloseAtOnce, ExchangeStage::Written, 0 },
        { "closes once it has the request", Behaviour::CloseAfterRequest, ExchangeStage::Written, 1 },
        { "closes within the head", Behaviour::CloseInsideHead, ExchangeStage::Written, 1 },
        { "closes within the body", Behaviour::CloseInsideBody, ExchangeStage::Written, 1 },
        { "answers no HTTP", Behaviour::NoHttp, ExchangeStage::Written, 1 },
        { "never answers", Behaviour::Silence, ExchangeStage::Written, 1 },
        { "answers more than is taken", Behaviour::HugeBody, ExchangeStage::Written, 1 },
    }));
    CAPTURE(row.what_);
    asio::io_context context(1);
    RawTarget target(context, row.behaviour_);
    HttpClient client(context, target.address(), 1000);
    auto exchanges = exchangeTimes(client, context, 1);
    CHECK(exchanges[0].stage_ == row.stage_);
    CHECK(target.requests() == row.requests_);
    CHECK(target.connections() == 1);
}

TEST_CASE("A target that nobody listens for gets nothing written", "[Target]")
{
    asio::io_context context(1);
    HttpClient client(context, findFreeAddress(), 1000);
    CHECK(exchangeTimes(client, context, 1)[0].stage_ == ExchangeStage::NotWritten);
}

TEST_CASE("A connection that the target has closed is not used again", "[Target]")
{
    asio::io_context context(1);
    RawTarget target(context, Behaviour::AnswerAndClose);
    HttpClient client(context, target.address(), 1000);
    for (const auto& exchange : exchangeTimes(client, context, 20))
        CHECK(exchange.stage_ == ExchangeStage::Answered);
    CHECK(target.requests() == 20);
}

TEST_CASE("A connection that the target keeps is used again", "[Target]")
{
    asio::io_context context(1);
    RawTarget target(context, Behaviour::Answer);
    HttpClient client(context, target.address(), 1000);
    for (const auto& exchange : exchangeTimes(client, context, 20))
        CHECK(exchange.stage_ == ExchangeStage::Answered);
    CHECK(target.requests() == 20);
    CHECK(target.connections() == 1);
}
