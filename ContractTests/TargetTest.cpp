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

/// How a target in these tests handles a connection.
enum class Behaviour {
    Answer,
    AnswerAndClose,
    CloseAtOnce,
    CloseAfterRequest,
    CloseInsideHead,
    CloseInsideBody,
    NotHttp,
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
    case Behaviour::NotHttp:
        return "ok\r\n\r\n";
    case Behaviour::HugeBody:
        return "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + std::string(100'000, 'x');
    default:
        return {};
    }
}

/// A TCP server in place of a target, which counts connections and requests. A request ends with the word `payload`.
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
    int requestCount() const { return requestCount_; }
    int connectionCount() const { return connectionCount_; }
    void close() { acceptor_.close(); }

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            auto [error, socket] = co_await acceptor_.async_accept(useTuple);
            if (error)
                co_return;
            ++connectionCount_;
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
            ++requestCount_;
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
    int requestCount_ { 0 };
    int connectionCount_ { 0 };
};

std::vector<Exchange> exchangeRepeatedly(HttpClient& client, asio::io_context& context, int count)
{
    std::vector<Exchange> exchanges;
    auto run = [&]() -> asio::awaitable<void> {
        for (int i = 0; i < count; ++i) {
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

TEST_CASE("Whatever a target does, a request is written once and its stage is reported correctly", "[Target]")
{
    struct Row {
        const char* description_;
        Behaviour behaviour_;
        ExchangeStage stage_;
        int requestCount_;
    };
    auto row = GENERATE(values<Row>({
        { "answers", Behaviour::Answer, ExchangeStage::Answered, 1 },
        { "answers and closes", Behaviour::AnswerAndClose, ExchangeStage::Answered, 1 },
        { "closes without reading", Behaviour::CloseAtOnce, ExchangeStage::Written, 0 },
        { "closes after the request", Behaviour::CloseAfterRequest, ExchangeStage::Written, 1 },
        { "closes within the header", Behaviour::CloseInsideHead, ExchangeStage::Written, 1 },
        { "closes within the body", Behaviour::CloseInsideBody, ExchangeStage::Written, 1 },
        { "answers without HTTP", Behaviour::NotHttp, ExchangeStage::Written, 1 },
        { "never answers", Behaviour::Silence, ExchangeStage::Written, 1 },
        { "answers with a body over the limit", Behaviour::HugeBody, ExchangeStage::Written, 1 },
    }));
    CAPTURE(row.description_);
    asio::io_context context(1);
    RawTarget target(context, row.behaviour_);
    HttpClient client(context, target.address(), 1000);
    auto exchanges = exchangeRepeatedly(client, context, 1);
    CHECK(exchanges[0].stage_ == row.stage_);
    CHECK(target.requestCount() == row.requestCount_);
    CHECK(target.connectionCount() == 1);
}

TEST_CASE("Nothing is written if no target listens", "[Target]")
{
    asio::io_context context(1);
    HttpClient client(context, findFreeAddress(), 1000);
    CHECK(exchangeRepeatedly(client, context, 1)[0].stage_ == ExchangeStage::NotWritten);
}

TEST_CASE("A connection that the target has closed is not reused", "[Target]")
{
    asio::io_context context(1);
    RawTarget target(context, Behaviour::AnswerAndClose);
    HttpClient client(context, target.address(), 1000);
    for (const auto& exchange : exchangeRepeatedly(client, context, 20))
        CHECK(exchange.stage_ == ExchangeStage::Answered);
    CHECK(target.requestCount() == 20);
}

TEST_CASE("A connection that the target keeps open is reused", "[Target]")
{
    asio::io_context context(1);
    RawTarget target(context, Behaviour::Answer);
    HttpClient client(context, target.address(), 1000);
    for (const auto& exchange : exchangeRepeatedly(client, context, 20))
        CHECK(exchange.stage_ == ExchangeStage::Answered);
    CHECK(target.requestCount() == 20);
    CHECK(target.connectionCount() == 1);
}
