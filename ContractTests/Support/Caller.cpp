#include "ContractTests/Support/Caller.h"

#include "Lagoonpick/Core/SubmissionId.h"
#include "Lagoonpick/Transport/Http.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <random>
#include <thread>
#include <unistd.h>

namespace Lagoonpick::Contract {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// HTTP/1.1, as Beast encodes it.
constexpr int httpVersion = 11;
constexpr std::uint64_t maxBodyBytes = 67'108'864;

/// Starts one asynchronous operation on a stream of `context`, then runs `context` until the operation completes or the
/// stream's deadline passes. Returns the error of the operation.
template <typename Start>
beast::error_code runOperation(asio::io_context& context, Start start)
{
    beast::error_code result = asio::error::would_block;
    start([&](beast::error_code error, auto...) { result = error; });
    context.restart();
    context.run();
    return result;
}

} // namespace

std::string CallerAnswer::member(std::string_view name) const
{
    boost::json::error_code error;
    auto value = boost::json::parse(body_, error);
    if (error || !value.is_object() || !value.get_object().contains(name))
        return {};
    const auto& item = value.at(name);
    return item.is_string() ? std::string(item.get_string()) : boost::json::serialize(item);
}

struct Connection::State {
    asio::io_context context_;
    beast::tcp_stream stream_ { context_ };
    beast::flat_buffer buffer_;
};

Connection::Connection(std::string address)
    : address_(std::move(address))
{
}

Connection::~Connection() = default;

bool Connection::isOpen() const
{
    return state_ != nullptr;
}

CallerAnswer Connection::call(const std::string& method, const std::string& path, const std::string& body, int seconds)
{
    std::unique_ptr<State> state = std::move(state_);
    bool mustConnect = !state;
    if (mustConnect)
        state = std::make_unique<State>();
    beast::tcp_stream& stream = state->stream_;
    stream.expires_after(std::chrono::seconds(seconds));
    if (mustConnect && runOperation(state->context_, [&](auto done) { stream.async_connect(toEndpoint(address_), done); }))
        return {};
    http::request<http::string_body> request;
    request.method_string(method);
    request.target(path);
    request.version(httpVersion);
    request.set(http::field::host, address_);
    request.body() = body;
    request.prepare_payload();
    if (runOperation(state->context_, [&](auto done) { http::async_write(stream, request, done); }))
        return {};
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxBodyBytes);
    if (runOperation(state->context_, [&](auto done) { http::async_read(stream, state->buffer_, parser, done); }))
        return {};
    const auto& response = parser.get();
    if (response.keep_alive())
        state_ = std::move(state);
    return { response.result_int(), std::string(response[http::field::content_type]), std::string(response[http::field::retry_after]), response.body() };
}

CallerAnswer call(const std::string& address, const std::string& method, const std::string& path, const std::string& body, int seconds)
{
    return Connection(address).call(method, path, body, seconds);
}

std::string callRaw(const std::string& address, const std::string& bytes, int seconds)
{
    asio::io_context context;
    beast::tcp_stream stream(context);
    stream.expires_after(std::chrono::seconds(seconds));
    if (runOperation(context, [&](auto done) { stream.async_connect(toEndpoint(address), done); }))
        return {};
    // A failed write is ignored: the server may respond and close before it has read all bytes.
    (void)runOperation(context, [&](auto done) { asio::async_write(stream, asio::buffer(bytes), done); });
    std::string received;
    (void)runOperation(context, [&](auto done) { asio::async_read(stream, asio::dynamic_buffer(received), done); });
    return received;
}

NonReadingCaller::NonReadingCaller(const std::string& address, const std::string& bytes)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.open(asio::ip::tcp::v4());
    constexpr int receiveBufferBytes = 4096;
    socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
    socket.connect(toEndpoint(address));
    asio::write(socket, asio::buffer(bytes));
    socket_ = socket.release();
}

NonReadingCaller::~NonReadingCaller()
{
    ::close(socket_);
}

std::string takeId(const std::string& address)
{
    auto answer = call(address, "POST", "/v1/submissions");
    if (answer.status_ != 200)
        return {};
    auto value = boost::json::parse(answer.body_);
    return std::string(value.at("ids").as_array().at(0).as_string());
}

std::string makeCallerId(std::int64_t aheadMilliseconds)
{
    // One generator per thread: with a shared one, callers on several threads could generate the same id.
    thread_local std::mt19937_64 random(std::random_device {}());
    auto now = std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
    Time createdAt = Time(now) + std::chrono::milliseconds(aheadMilliseconds);
    return SubmissionId::makeCallerId(createdAt, random(), random()).toString();
}

std::string jobBody(std::uint32_t tasks, std::uint32_t workMicroseconds)
{
    std::string task = R"({"payload":")" + std::to_string(workMicroseconds) + R"("})";
    std::string body = R"({"tasks":[)" + task;
    for (std::uint32_t i = 1; i < tasks; ++i)
        body += "," + task;
    return body + "]}";
}

bool waitForStatus(const std::string& address, const std::string& path, std::uint32_t status, int seconds)
{
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    while (std::chrono::steady_clock::now() < end) {
        if (call(address, "GET", path, {}, 2).status_ == status)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

} // namespace Lagoonpick::Contract
