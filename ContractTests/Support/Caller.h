#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace Lagoonpick::Contract {

/// The HTTP response that a caller received.
struct CallerAnswer {
    /// HTTP status; 0 if no complete response arrived.
    std::uint32_t status_ { 0 };
    std::string contentType_;
    std::string retryAfter_;
    std::string body_;

    /// Returns a member of the JSON object in the body as text; empty if the body is no object or lacks the member.
    std::string member(std::string_view name) const;
};

/// A keep-alive connection of a caller. A call that fails or whose response closes the connection drops it; the next call
/// connects again. Not thread-safe.
class Connection {
public:
    explicit Connection(std::string address);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /// Sends one HTTP request and waits for its response, up to `seconds`. Connects first if it is not connected.
    /// Returns status 0 if no complete response arrives in time.
    CallerAnswer call(const std::string& method, const std::string& path, const std::string& body = {}, int seconds = 30);

    /// Whether the last call left the connection open: false before the first call, after a call without a complete
    /// response and after a response that closes the connection.
    bool isOpen() const;

private:
    struct State;
    std::string address_;
    std::unique_ptr<State> state_;
};

/// Sends one HTTP request on a connection of its own and waits for its response, up to `seconds`. Returns status 0 if no
/// complete response arrives in time.
CallerAnswer call(const std::string& address, const std::string& method, const std::string& path, const std::string& body = {}, int seconds = 30);

/// Sends `bytes` unchanged and returns what it receives until the server closes the connection or `seconds` have passed.
std::string callRaw(const std::string& address, const std::string& bytes, int seconds = 5);

/// A caller that sends `bytes` and never reads the response. The destructor closes the connection.
class NonReadingCaller {
public:
    NonReadingCaller(const std::string& address, const std::string& bytes);
    ~NonReadingCaller();
    NonReadingCaller(const NonReadingCaller&) = delete;
    NonReadingCaller& operator=(const NonReadingCaller&) = delete;

private:
    int socket_ { -1 };
};

/// Requests a submission id from the entry at `address`; returns an empty string if the entry issues none.
std::string takeId(const std::string& address);

/// Returns a new UUIDv7 whose timestamp lies `aheadMilliseconds` ahead of now.
std::string makeCallerId(std::int64_t aheadMilliseconds = 0);

/// Returns the body of a job of `tasks` tasks that take `workMicroseconds` each.
std::string jobBody(std::uint32_t tasks, std::uint32_t workMicroseconds);

/// Polls `path` until the response has `status`; returns false if that does not happen within `seconds`.
bool waitForStatus(const std::string& address, const std::string& path, std::uint32_t status, int seconds = 20);

} // namespace Lagoonpick::Contract
