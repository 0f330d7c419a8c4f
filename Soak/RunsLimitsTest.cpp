#include "ContractTests/Support/Caller.h"
#include "Lagoonpick/Transport/HttpServer.h"
#include "Soak/SoakSystem.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <list>
#include <sys/resource.h>
#include <thread>

namespace Lagoonpick::Soak {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int timeoutSeconds = 10;
/// Memory of the instance that an entry runs on.
constexpr std::uint64_t entryMemoryMegabytes = 260;

/// Connections that each send the first part of a request and then neither send nor read anything.
class IncompleteRequests {
public:
    IncompleteRequests(const std::string& address, std::size_t count, const std::string& path, std::size_t sentBytes)
    {
        const auto endpoint = toEndpoint(address);
        const std::string text = fmt::format("POST {} HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: {}\r\n\r\n{}", path, sentBytes + 1, std::string(sentBytes, '{'));
        for (std::size_t i = 0; i < count; ++i) {
            tcp::socket& socket = sockets_.emplace_back(context_);
            boost::system::error_code error;
            socket.connect(endpoint, error);
            socket.non_blocking(true, error);
            // Bytes that don't fit into the socket buffers are left out: the process at the other end does not read them.
            socket.write_some(asio::buffer(text), error);
        }
    }

private:
    asio::io_context context_;
    std::list<tcp::socket> sockets_;
};

/// Connections that each send some requests and never read a response.
class NonReadingClients {
public:
    NonReadingClients(const std::string& address, std::size_t count, const std::string& request, std::size_t requests)
    {
        const auto endpoint = toEndpoint(address);
        std::string text;
        for (std::size_t i = 0; i < requests; ++i)
            text += request;
        for (std::size_t i = 0; i < count; ++i) {
            tcp::socket& socket = sockets_.emplace_back(context_, tcp::v4());
            boost::system::error_code error;
            // A small receive buffer makes the responses back up at the other end early.
            socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), error);
            socket.connect(endpoint, error);
            connectedCount_ += error ? 0 : 1;
            socket.non_blocking(true, error);
            socket.write_some(asio::buffer(text), error);
        }
    }

    std::size_t connectedCount() const { return connectedCount_; }

private:
    static constexpr int receiveBufferBytes = 1024;
    asio::io_context context_;
    std::list<tcp::socket> sockets_;
    std::size_t connectedCount_ { 0 };
};

/// Samples the resident memory of a process for `span`; returns the largest value in megabytes.
std::uint64_t measurePeakMegabytes(const Contract::Process& process, std::chrono::milliseconds span)
{
    constexpr std::chrono::milliseconds step { 50 };
    std::uint64_t peak = 0;
    for (std::chrono::milliseconds passed {}; passed < span; passed += step) {
        peak = std::max(peak, process.residentKilobytes() / 1024);
        std::this_thread::sleep_for(step);
    }
    return peak;
}

/// Raises this process's limit on open descriptors to the hard limit: the usual limit is below the number of callers
/// that a test simulates.
void raiseDescriptorLimit()
{
    rlimit limit {};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &limit) == 0);
    limit.rlim_cur = limit.rlim_max;
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
}

/// Checks that a job submitted now is completed.
void checkJobIsCompleted(const SoakSystem& system)
{
    auto answer = Contract::call(system.frontAddress(0), "POST", "/queue/00000000000000a2", R"({"spec":"work_ms=20 cpu=1000","steps":[{"count":1,"cpu":1000,"mem_mb":1,"estimate_ms":100}],"best_effort":true})", timeoutSeconds);
    INFO(answer.status_ << " " << answer.body_);
    CHECK(answer.member("state") == "done");
}

} // namespace

TEST_CASE("Incomplete requests exhaust neither an entry's memory nor its capacity for complete requests", "[RunsLimits]")
{
    raiseDescriptorLimit();
    constexpr std::size_t clients = 1500;
    constexpr std::size_t bodyBytes = 240'000;
    SoakSystem system({ 1, 1 });
    REQUIRE(system.waitUntilReady(timeoutSeconds));
    IncompleteRequests incompleteRequests(system.frontAddress(0), clients, "/queue/00000000000000a1", bodyBytes);
    CHECK(measurePeakMegabytes(system.entryProcess(0), std::chrono::seconds(2)) < entryMemoryMegabytes / 2);
    checkJobIsCompleted(system);
}

TEST_CASE("Callers that never read and outnumber an entry's descriptors exhaust neither its memory nor its capacity for callers that read", "[RunsLimits]")
{
    raiseDescriptorLimit();
    constexpr std::size_t clients = 4100;
    constexpr std::size_t requests = 5;
    auto descriptors = GENERATE(values<std::uint64_t>({ 4096, 3075, 1100 }));
    INFO(descriptors << " descriptors");
    SoakSystem system({ .entries_ = 1, .agents_ = 1, .entryDescriptors_ = descriptors });
    REQUIRE(system.waitUntilReady(timeoutSeconds));
    NonReadingClients nonReading(system.frontAddress(0), clients, "GET /queue/ HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", requests);
    CHECK(nonReading.connectedCount() == clients);
    CHECK(measurePeakMegabytes(system.entryProcess(0), std::chrono::seconds(3)) < entryMemoryMegabytes / 2);
    checkJobIsCompleted(system);
}

TEST_CASE("Incomplete heartbeats don't exhaust an agent's memory", "[RunsLimits]")
{
    constexpr std::uint64_t agentMemoryMegabytes = 128;
    constexpr std::size_t clients = 60;
    constexpr std::size_t bodyBytes = 4'000'000;
    SoakSystem system({ 1, 1 });
    REQUIRE(system.waitUntilReady(timeoutSeconds));
    IncompleteRequests incompleteRequests(system.controlAddress(0), clients, "/lagoonpick/instances/other/heartbeat", bodyBytes);
    CHECK(measurePeakMegabytes(system.agentProcess(0), std::chrono::seconds(2)) < agentMemoryMegabytes / 2);
}

} // namespace Lagoonpick::Soak
