#include "ContractTests/Support/Caller.h"
#include "ContractTests/Support/Process.h"
#include "Lagoonpick/Transport/Http.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <fmt/format.h>
#include <iostream>
#include <list>
#include <optional>
#include <sys/resource.h>
#include <thread>

// Starts the programs of the users' platform with lowered limits, has a small crowd of hostile peers send a bounded number of bytes, and
// checks only what does not depend on speed: the process is alive, its memory and descriptors stay under a bound, and an ordinary
// request is answered afterwards.

namespace Lagoonpick::Contract {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Sizes of crowds and bounds were fixed before the product was changed.
constexpr std::uint64_t entryMemoryMegabytes = 64;
constexpr std::uint64_t agentMemoryMegabytes = 64;
constexpr std::uint64_t maxDescriptors = 1000;
constexpr std::uint64_t kilobytesPerMegabyte = 1024;
constexpr std::size_t largeBytes = 40'000'000;
constexpr std::size_t silentClients = 1100;
constexpr auto crowdTime = seconds(4);
/// How long a crowd stays before the process is examined, also if all has been sent.
constexpr auto settlingTime = seconds(1);
constexpr int answerSeconds = 10;

/// What each peer of a crowd sends: a beginning, then one piece again and again, up to a number of bytes in all.
struct Stream {
    std::string beginning_;
    std::string piece_;
    std::size_t maxBytes_ { 0 };
    /// Pause after each round of pieces.
    milliseconds pause_ {};
};

enum class Port {
    Front,
    Link,
    Metrics,
};

struct Kind {
    const char* description_;
    Port port_;
    std::size_t clients_;
    Stream stream_;
};

const std::string chunkedHead = "POST /queue/00000000000000a1 HTTP/1.1\r\nHost: 127.0.0.1\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string heartbeatHead = "POST /lagoonpick/instances/other/heartbeat HTTP/1.1\r\nHost: 127.0.0.1\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string trailerLine = "X-Trailer: " + std::string(1000, 't') + "\r\n";
const std::string upgradeHead = "GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                                "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n";

/// The head of a masked frame with the mask 0, so that its payload is sent as it is.
std::string frameHead(unsigned char firstByte, std::uint64_t payloadBytes)
{
    constexpr unsigned char maskedWithLongLength = 0xff;
    constexpr int bitsPerByte = 8;
    std::string head { static_cast<char>(firstByte), static_cast<char>(maskedWithLongLength) };
    for (int shift = 56; shift >= 0; shift -= bitsPerByte)
        head += static_cast<char>(payloadBytes >> shift & 0xff);
    return head + std::string(4, '\0');
}

std::string smallFrame(unsigned char firstByte, std::size_t payloadBytes)
{
    constexpr unsigned char maskBit = 0x80;
    return std::string { static_cast<char>(firstByte), static_cast<char>(maskBit | payloadBytes) } + std::string(4 + payloadBytes, '\0');
}

constexpr unsigned char binaryFrame = 0x82;
constexpr unsigned char firstFragment = 0x02;
constexpr unsigned char nextFragment = 0x00;

/// Sends the stream to each socket until all have sent it, the peers have closed, or the time is over.
class Crowd {
public:
    Crowd(Stream stream, std::size_t maxClients)
        : stream_(std::move(stream))
        , maxClients_(maxClients)
    {
    }

    void connect(const std::string& address)
    {
        const auto endpoint = toEndpoint(address);
        for (std::size_t i = 0; i < maxClients_; ++i) {
            tcp::socket socket(context_);
            boost::system::error_code error;
            socket.connect(endpoint, error);
            if (!error)
                add(std::move(socket));
        }
    }

    /// Listens, and treats each connection that is accepted while the crowd runs as one more peer.
    void listen(const std::string& address)
    {
        acceptor_.emplace(context_, toEndpoint(address));
        acceptor_->non_blocking(true);
    }

    void run()
    {
        const auto end = std::chrono::steady_clock::now() + crowdTime;
        while (std::chrono::steady_clock::now() < end && (acceptor_ || isAnyActive())) {
            acceptOne();
            bool hasSent = false;
            for (auto& client : clients_)
                hasSent = sendSome(client) || hasSent;
            if (!hasSent || stream_.pause_.count())
                std::this_thread::sleep_for(std::max(stream_.pause_, milliseconds(1)));
        }
        std::this_thread::sleep_for(settlingTime);
    }

    std::uint64_t sentBytes() const { return sentBytes_; }

private:
    struct Client {
        tcp::socket socket_;
        std::string pending_;
        std::size_t offset_ { 0 };
        std::size_t sent_ { 0 };
        bool isActive_ { true };
    };

    void add(tcp::socket socket)
    {
        boost::system::error_code ignored;
        socket.non_blocking(true, ignored);
        clients_.push_back({ .socket_ = std::move(socket), .pending_ = stream_.beginning_ });
    }

    void acceptOne()
    {
        if (!acceptor_ || clients_.size() >= maxClients_)
            return;
        boost::system::error_code error;
        tcp::socket socket(context_);
        acceptor_->accept(socket, error);
        if (!error)
            add(std::move(socket));
    }

    bool isAnyActive() const
    {
        return std::any_of(clients_.begin(), clients_.end(), [](const Client& client) { return client.isActive_; });
    }

    /// Returns whether the socket took any bytes.
    bool sendSome(Client& client)
    {
        if (!client.isActive_)
            return false;
        if (client.offset_ == client.pending_.size()) {
            client.pending_ = stream_.piece_;
            client.offset_ = 0;
        }
        client.isActive_ = client.sent_ < stream_.maxBytes_ && !client.pending_.empty();
        if (!client.isActive_)
            return false;
        boost::system::error_code error;
        auto count = client.socket_.write_some(asio::buffer(client.pending_) + client.offset_, error);
        client.isActive_ = !error || error == asio::error::would_block;
        client.offset_ += count;
        client.sent_ += count;
        sentBytes_ += count;
        return count > 0;
    }

    asio::io_context context_;
    Stream stream_;
    std::size_t maxClients_;
    std::optional<tcp::acceptor> acceptor_;
    std::list<Client> clients_;
    std::uint64_t sentBytes_ { 0 };
};

/// Raises this process's limit on open descriptors: the usual limit may be below the number of silent clients.
void raiseDescriptorLimit()
{
    rlimit limit {};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &limit) == 0);
    limit.rlim_cur = limit.rlim_max;
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
}

struct Entry {
    explicit Entry(const std::string& storeAddress = findFreeAddress())
    {
        auto text = fmt::format("[entry]\nname = entry\navailability_zone = zone-a\nfront_address = {}\nready_address = {}\nlink_address = {}\nmetrics_address = {}\n"
                                "seeds = -\n[store]\naddress = {}\n[limits]\ndescriptors = {}\nmemory_mb = {}\n",
            front_, ready_, link_, metrics_, storeAddress, maxDescriptors, entryMemoryMegabytes);
        process_.emplace(std::vector<std::string> { JOB_ENTRY_PROGRAM, "--config", folder_.write("entry.ini", text) }, folder_.path() + "/entry.log");
        process_->limitDescriptors(maxDescriptors);
        REQUIRE(waitForStatus(ready_, "/lagoonpick/ready", 503));
    }

    const std::string& address(Port port) const { return port == Port::Front ? front_ : port == Port::Link ? link_
                                                                                                           : metrics_; }

    TemporaryFolder folder_;
    std::string front_ { findFreeAddress() };
    std::string ready_ { findFreeAddress() };
    std::string link_ { findFreeAddress() };
    std::string metrics_ { findFreeAddress() };
    std::optional<Process> process_;
};

/// Checks the process's memory and descriptors, with the crowd still connected.
void checkBounds(const char* description, const Process& process, std::uint64_t maxMegabytes, const Crowd& crowd)
{
    auto peakMegabytes = process.peakResidentKilobytes() / kilobytesPerMegabyte;
    auto descriptors = process.openDescriptors();
    std::cout << description << ": peak " << peakMegabytes << " MB, " << descriptors << " descriptors, " << crowd.sentBytes() << " bytes sent" << std::endl;
    CHECK(process.residentKilobytes() > 0);
    CHECK(peakMegabytes < maxMegabytes);
    CHECK(descriptors <= maxDescriptors);
}

/// Checks that a job is answered: not served, because the entry has no configuration.
void checkAnswers(const Entry& entry)
{
    auto answer = call(entry.front_, "POST", "/queue/00000000000000a2", R"({"spec":"","steps":[{"count":1}],"best_effort":true})", answerSeconds);
    INFO(answer.body_);
    CHECK(answer.status_ == 503);
    CHECK(call(entry.ready_, "GET", "/lagoonpick/ready", {}, answerSeconds).status_ == 503);
}

} // namespace

// Guards against: a peer made the process hold whatever it sent outside of a body that was announced.
TEST_CASE("Hostile callers and links exhaust neither an entry's memory nor its descriptors", "[PeerLimits]")
{
    raiseDescriptorLimit();
    auto kind = GENERATE(values<Kind>({
        { "trailers without end", Port::Front, 4, { chunkedHead + "0\r\n", trailerLine, largeBytes } },
        { "chunk extensions without end", Port::Front, 4, { chunkedHead + "5;", std::string(1000, 'e'), largeBytes } },
        { "pipelined requests whose answers are not read", Port::Front, 50, { "", "GET /queue/ HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", 1'000'000 } },
        { "a header a byte at a time", Port::Front, 300, { "GET / HTTP/1.1\r\nX: ", "x", 10'000, milliseconds(5) } },
        { "a header without end", Port::Front, 50, { "GET / HTTP/1.1\r\nX: ", std::string(1000, 'x'), 1'000'000 } },
        { "bodies announced and never sent", Port::Front, 390, { "POST /queue/00000000000000a1 HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 260000\r\n\r\n", "", 1000 } },
        { "bodies a part of which is sent", Port::Front, 390, { "POST /queue/00000000000000a1 HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 260000\r\n\r\n", std::string(1000, '{'), 250'000 } },
        { "headers a part of which is sent", Port::Front, 390, { "GET / HTTP/1.1\r\nX: " + std::string(15'000, 'x'), "", 16'000 } },
        { "chunks of a byte", Port::Front, 4, { chunkedHead, "1\r\nx\r\n", 10'000'000 } },
        { "connections that send nothing", Port::Front, silentClients, {} },
        { "metrics that are not read", Port::Metrics, 60, { "", "GET /metrics HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", 200'000 } },
        { "links that send nothing", Port::Link, silentClients, {} },
        { "handshakes without end", Port::Link, 20, { upgradeHead, trailerLine, 10'000'000 } },
        { "handshakes with a body", Port::Link, 8, { upgradeHead + "Content-Length: 31000000\r\n\r\n", std::string(10'000, 'b'), 30'000'000 } },
        { "frames of which the end is missing", Port::Link, 8, { upgradeHead + "\r\n" + frameHead(binaryFrame, 16'000'000), std::string(10'000, 'f'), 15'900'000 } },
        { "frames above the limit", Port::Link, 8, { upgradeHead + "\r\n" + frameHead(binaryFrame, 1'000'000'000'000), std::string(10'000, 'f'), largeBytes } },
        { "messages of many small frames", Port::Link, 8, { upgradeHead + "\r\n" + smallFrame(firstFragment, 100), smallFrame(nextFragment, 100), 15'000'000 } },
    }));
    INFO(kind.description_);
    Entry entry;
    Crowd crowd(kind.stream_, kind.clients_);
    crowd.connect(entry.address(kind.port_));
    crowd.run();
    checkBounds(kind.description_, *entry.process_, entryMemoryMegabytes, crowd);
    checkAnswers(entry);
}

// Guards against: the client kept every byte of an answer's trailers, chunk extensions and interim answers.
TEST_CASE("A hostile store does not exhaust an entry's memory", "[PeerLimits]")
{
    const std::string chunkedAnswer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    auto kind = GENERATE_COPY(values<std::pair<const char*, Stream>>({
        { "a store's header without end", { "HTTP/1.1 200 OK\r\nX: ", std::string(1000, 'x'), largeBytes } },
        { "a store's trailers without end", { chunkedAnswer + "0\r\n", trailerLine, largeBytes } },
        { "a store's chunk extensions without end", { chunkedAnswer + "5;", std::string(1000, 'e'), largeBytes } },
        { "a store's interim answers without end", { "", "HTTP/1.1 100 Continue\r\n\r\n", largeBytes } },
        { "a store's body without end", { chunkedAnswer, "64\r\n" + std::string(100, 'b') + "\r\n", largeBytes } },
    }));
    INFO(kind.first);
    constexpr std::size_t maxClients = 8;
    Crowd crowd(kind.second, maxClients);
    std::string storeAddress = findFreeAddress();
    crowd.listen(storeAddress);
    Entry entry(storeAddress);
    crowd.run();
    checkBounds(kind.first, *entry.process_, entryMemoryMegabytes, crowd);
    checkAnswers(entry);
}

// Guards against: the agent's server for its target kept all trailers.
TEST_CASE("Hostile callers do not exhaust an agent's memory", "[PeerLimits]")
{
    auto kind = GENERATE(values<std::pair<const char*, Stream>>({
        { "an agent's trailers without end", { heartbeatHead + "0\r\n", trailerLine, largeBytes } },
        { "an agent's chunk extensions without end", { heartbeatHead + "5;", std::string(1000, 'e'), largeBytes } },
    }));
    INFO(kind.first);
    constexpr std::size_t clients = 4;
    TemporaryFolder folder;
    std::string control = findFreeAddress();
    std::string metrics = findFreeAddress();
    auto text = fmt::format("[agent]\nname = agent\navailability_zone = zone-a\ncontrol_address = {}\nmetrics_address = {}\nentry_link_address = 127.0.0.1:1\n"
                            "seeds = -\n[target]\naddress = {}\n[store]\naddress = {}\n",
        control, metrics, findFreeAddress(), findFreeAddress());
    Process process({ RUN_AGENT_PROGRAM, "--config", folder.write("agent.ini", text) }, folder.path() + "/agent.log");
    REQUIRE(waitForStatus(metrics, "/metrics", 200));
    Crowd crowd(kind.second, clients);
    crowd.connect(control);
    crowd.run();
    checkBounds(kind.first, process, agentMemoryMegabytes, crowd);
    CHECK(call(control, "POST", "/unknown", "{}", answerSeconds).status_ == 404);
    CHECK(call(metrics, "GET", "/metrics", {}, answerSeconds).status_ == 200);
}

} // namespace Lagoonpick::Contract
