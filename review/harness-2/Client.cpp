#include "Client.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Lagoonpick::Review2 {

using Clock = std::chrono::steady_clock;

namespace {

/// A socket that is closed at the end.
class Socket {
public:
    Socket()
        : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
    }
    ~Socket() { ::close(descriptor_); }
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;
    int get() const { return descriptor_; }

private:
    int descriptor_;
};

bool connectTo(int descriptor, const std::string& address)
{
    auto colon = address.rfind(':');
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    return ::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0;
}

bool sendAll(int descriptor, std::string_view text)
{
    while (!text.empty()) {
        auto count = ::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        text.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

/// The length of the body by the header; empty while the header is not complete.
std::optional<std::size_t> findMessageSize(const std::string& received)
{
    constexpr std::string_view lengthField = "\r\nContent-Length: ";
    auto end = received.find("\r\n\r\n");
    if (end == std::string::npos)
        return std::nullopt;
    auto field = received.find(lengthField);
    std::size_t length = 0;
    if (field < end)
        std::from_chars(received.data() + field + lengthField.size(), received.data() + end, length);
    return end + 4 + length;
}

ClientAnswer toAnswer(const std::string& received)
{
    constexpr std::size_t statusOffset = 9;
    constexpr std::size_t statusDigits = 3;
    ClientAnswer answer { .end_ = ClientAnswer::End::Answered };
    if (received.size() > statusOffset + statusDigits)
        std::from_chars(received.data() + statusOffset, received.data() + statusOffset + statusDigits, answer.status_);
    answer.body_ = received.substr(received.find("\r\n\r\n") + 4);
    return answer;
}

ClientAnswer receive(int descriptor, Clock::time_point until, ClientAnswer::End whenOver)
{
    std::string received;
    while (true) {
        auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now());
        if (left.count() <= 0)
            return { .end_ = whenOver };
        pollfd readable { descriptor, POLLIN, 0 };
        if (::poll(&readable, 1, static_cast<int>(left.count())) <= 0)
            continue;
        std::array<char, 4096> piece {};
        auto count = ::recv(descriptor, piece.data(), piece.size(), 0);
        if (count <= 0)
            return { .end_ = ClientAnswer::End::Broken };
        received.append(piece.data(), static_cast<std::size_t>(count));
        auto size = findMessageSize(received);
        if (size && received.size() >= *size)
            return toAnswer(received);
    }
}

} // namespace

std::string ClientAnswer::describe() const
{
    switch (end_) {
    case End::Answered:
        return fmt::format("answered {} {}", status_, body_);
    case End::Broken:
        return "connection broken by the server without an answer";
    case End::TimedOut:
        return "no answer until the deadline";
    case End::Left:
        return "left";
    }
    return {};
}

ClientAnswer send(const ClientRequest& request)
{
    auto begun = Clock::now();
    Socket socket;
    if (!connectTo(socket.get(), request.address_))
        return { .end_ = ClientAnswer::End::Broken };
    auto text = fmt::format("{} {} HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Type: application/json\r\nLagoonpick-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{}",
        request.method_, request.path_, request.deadline_.count(), request.body_.size(), request.body_);
    if (!sendAll(socket.get(), text))
        return { .end_ = ClientAnswer::End::Broken };
    if (request.leaveAfter_)
        return receive(socket.get(), begun + *request.leaveAfter_, ClientAnswer::End::Left);
    return receive(socket.get(), begun + request.deadline_, ClientAnswer::End::TimedOut);
}

std::string makeJob(int tasks, int workMs, int milliCores)
{
    return fmt::format(R"({{"spec":"work_ms={0} cpu={1}","steps":[{{"count":{2},"cpu":{1},"mem_mb":1,"estimate_ms":{0}}}],"best_effort":true}})", workMs, milliCores, tasks);
}

std::string jobPath(std::uint64_t number)
{
    return fmt::format("/queue/{:016x}", number);
}

} // namespace Lagoonpick::Review2
