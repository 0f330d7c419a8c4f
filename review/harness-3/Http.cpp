#include "Http.h"

#include "Clock.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Review {

namespace {

constexpr int backlog = 1024;
constexpr std::int64_t forever = 1'000'000'000;
constexpr std::int64_t connectMs = 2000;

sockaddr_in toSocketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port_));
    inet_pton(AF_INET, address.ip_.c_str(), &result.sin_addr);
    return result;
}

int bindTo(const Address& address)
{
    int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto target = toSocketAddress(address);
    if (bind(handle, reinterpret_cast<sockaddr*>(&target), sizeof(target)) == 0 && listen(handle, backlog) == 0)
        return handle;
    close(handle);
    return -1;
}

enum class ReadEnd {
    Data,
    Closed,
    TimedOut,
};

ReadEnd readSome(int handle, std::string& buffer, std::int64_t deadline)
{
    std::array<char, 65'536> piece {};
    pollfd waiting { handle, POLLIN, 0 };
    auto left = std::max<std::int64_t>(deadline - nowMs(), 0);
    if (poll(&waiting, 1, static_cast<int>(left)) <= 0)
        return ReadEnd::TimedOut;
    auto size = recv(handle, piece.data(), piece.size(), 0);
    if (size <= 0)
        return ReadEnd::Closed;
    buffer.append(piece.data(), static_cast<std::size_t>(size));
    return ReadEnd::Data;
}

bool writeAll(int handle, const std::string& text)
{
    std::size_t done = 0;
    while (done < text.size()) {
        auto size = send(handle, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        done += static_cast<std::size_t>(size);
    }
    return true;
}

struct Message {
    std::string startLine_;
    std::map<std::string, std::string> headers_;
    std::string body_;
};

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

/// Reads one message; what follows it stays in the buffer.
ReadEnd readMessage(int handle, std::string& buffer, Message& message, std::int64_t deadline)
{
    constexpr std::string_view headEnd = "\r\n\r\n";
    std::size_t end = buffer.find(headEnd);
    while (end == std::string::npos) {
        if (auto read = readSome(handle, buffer, deadline); read != ReadEnd::Data)
            return read;
        end = buffer.find(headEnd);
    }
    std::istringstream head(buffer.substr(0, end));
    std::getline(head, message.startLine_);
    for (std::string line; std::getline(head, line);) {
        auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        value.erase(value.find_last_not_of('\r') + 1);
        message.headers_[toLower(line.substr(0, colon))] = value;
    }
    std::size_t length = message.headers_.contains("content-length") ? std::stoul(message.headers_["content-length"]) : 0;
    std::size_t bodyBegin = end + headEnd.size();
    while (buffer.size() < bodyBegin + length) {
        if (auto read = readSome(handle, buffer, deadline); read != ReadEnd::Data)
            return read;
    }
    message.body_ = buffer.substr(bodyBegin, length);
    buffer.erase(0, bodyBegin + length);
    return ReadEnd::Data;
}

std::string decodePercent(const std::string& text)
{
    constexpr int hexBase = 16;
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, hexBase));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

Request toRequest(Message message)
{
    Request request;
    std::string target;
    std::istringstream(message.startLine_) >> request.method_ >> target;
    auto question = target.find('?');
    request.path_ = target.substr(0, question);
    std::istringstream query(question == std::string::npos ? "" : target.substr(question + 1));
    for (std::string pair; std::getline(query, pair, '&');) {
        auto equals = pair.find('=');
        if (equals != std::string::npos)
            request.query_[pair.substr(0, equals)] = decodePercent(pair.substr(equals + 1));
    }
    request.headers_ = std::move(message.headers_);
    request.body_ = std::move(message.body_);
    return request;
}

int connectTo(const Address& address)
{
    int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto target = toSocketAddress(address);
    bool isBegun = connect(handle, reinterpret_cast<sockaddr*>(&target), sizeof(target)) == 0 || errno == EINPROGRESS;
    pollfd waiting { handle, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof(error);
    bool isReady = isBegun && poll(&waiting, 1, connectMs) == 1 && getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && !error;
    if (!isReady) {
        close(handle);
        return -1;
    }
    int on = 1;
    setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return handle;
}

} // namespace

bool isFree(const Address& address)
{
    int handle = bindTo(address);
    if (handle < 0)
        return false;
    close(handle);
    return true;
}

std::string makeRequest(const std::string& method, const std::string& path, const std::string& body, const std::string& headers)
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + hostName + "\r\nContent-Type: application/json\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

ClientConnection::ClientConnection(const Address& address)
    : handle_(connectTo(address))
{
}

ClientConnection::~ClientConnection()
{
    if (isOpen())
        close(handle_);
}

bool ClientConnection::send(const std::string& text) const
{
    return isOpen() && writeAll(handle_, text);
}

Reply ClientConnection::receive(std::int64_t waitMs)
{
    Reply reply { .sentAt_ = nowMs(), .isConnected_ = isOpen() };
    Message message;
    auto end = isOpen() ? readMessage(handle_, buffer_, message, reply.sentAt_ + waitMs) : ReadEnd::Closed;
    if (end == ReadEnd::Data) {
        std::string version;
        std::istringstream(message.startLine_) >> version >> reply.status_;
        reply.body_ = message.body_;
    } else if (end == ReadEnd::TimedOut) {
        reply.status_ = -1;
    }
    reply.endedAt_ = nowMs();
    return reply;
}

void ClientConnection::reset()
{
    linger atOnce { 1, 0 };
    setsockopt(handle_, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
    close(handle_);
    handle_ = -1;
}

Reply call(const Address& address, const std::string& method, const std::string& path, const std::string& body, const std::string& headers, std::int64_t waitMs)
{
    auto sentAt = nowMs();
    ClientConnection connection(address);
    if (!connection.send(makeRequest(method, path, body, headers)))
        return { .sentAt_ = sentAt, .endedAt_ = nowMs(), .isConnected_ = connection.isOpen() };
    auto reply = connection.receive(sentAt + waitMs - nowMs());
    reply.sentAt_ = sentAt;
    return reply;
}

HttpServer::HttpServer(const Address& address, Handler handler)
    : handler_(std::move(handler))
    , socket_(bindTo(address))
{
    if (isListening())
        std::thread([this] { accept(); }).detach();
}

void HttpServer::accept() const
{
    while (true) {
        int connection = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection >= 0)
            std::thread([this, connection] { serve(connection); }).detach();
    }
}

void HttpServer::serve(int connection) const
{
    int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::string buffer;
    bool isOpen = true;
    while (isOpen) {
        Message message;
        isOpen = readMessage(connection, buffer, message, nowMs() + forever) == ReadEnd::Data;
        if (!isOpen)
            break;
        Response response = handler_(toRequest(std::move(message)));
        isOpen = writeAll(connection, "HTTP/1.1 " + std::to_string(response.status_) + " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body_.size()) + "\r\n\r\n" + response.body_);
    }
    close(connection);
}

} // namespace Review
