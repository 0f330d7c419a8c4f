#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <thread>

/// As much HTTP/1.1 over blocking sockets as the stand-ins and clients need.
namespace Review {

/// The host of the queues, and of all requests.
inline const std::string hostName = "nony24.example";

struct Request {
    std::string method_;
    std::string path_;
    /// The query's values, decoded.
    std::map<std::string, std::string> query_;
    /// By lower-case name.
    std::map<std::string, std::string> headers_;
    std::string body_;
};

struct Response {
    int status_ { 200 };
    std::string body_ { "{}" };
};

/// What a client saw of its request.
struct Reply {
    /// The status of a complete answer; 0 if the connection ended before, or could not be opened; -1 if time ran out.
    int status_ { 0 };
    std::string body_;
    std::int64_t sentAt_ { 0 };
    std::int64_t endedAt_ { 0 };
    bool isConnected_ { false };
};

struct Address {
    std::string ip_;
    int port_ { 0 };
    std::string text() const { return ip_ + ":" + std::to_string(port_); }
};

/// Sends a request over a connection of its own and waits for the answer at most `waitMs`, then closes the connection.
Reply call(const Address& address, const std::string& method, const std::string& path, const std::string& body, const std::string& headers, std::int64_t waitMs);

/// The text of a request.
std::string makeRequest(const std::string& method, const std::string& path, const std::string& body, const std::string& headers);

/// A client's connection that it uses by hand.
class ClientConnection {
public:
    explicit ClientConnection(const Address& address);
    ~ClientConnection();
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    bool isOpen() const { return handle_ >= 0; }
    bool send(const std::string& text) const;
    /// Waits for the next answer.
    Reply receive(std::int64_t waitMs);
    /// Resets the connection at both ends.
    void reset();

private:
    int handle_ { -1 };
    std::string buffer_;
};

/// True if the port can be bound.
bool isFree(const Address& address);

/// A server with a thread for each connection. Its handler may block.
class HttpServer {
public:
    using Handler = std::function<Response(const Request&)>;

    HttpServer(const Address& address, Handler handler);
    bool isListening() const { return socket_ >= 0; }

private:
    void accept() const;
    void serve(int connection) const;

    Handler handler_;
    int socket_ { -1 };
};

} // namespace Review
