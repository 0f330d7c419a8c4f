#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace Lagoonpick::Contract {

/// What a caller got back.
struct CallerAnswer {
    /// 0 if there was no whole response.
    std::uint32_t status_ { 0 };
    std::string contentType_;
    std::string retryAfter_;
    std::string body_;

    /// A member of the JSON body as text; empty if there is none.
    std::string member(std::string_view name) const;
};

/// A connection that a caller goes on using until the other side closes it.
class Connection {
public:
    explicit Connection(std::string address);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /// Sends one HTTP request and waits for its response, up to `seconds`. Connects first if it is not connected.
    CallerAnswer call(const std::string& method, const std::string& path, const std::string& body = {}, int seconds = 30);

    /// False before the first call, and once the other side has closed or a call has got no response.
    bool isOpen() const;

private:
    struct State;
    std::string address_;
    std::unique_ptr<State> state_;
};

/// Sends one HTTP request and waits for its response, up to `seconds`.
CallerAnswer call(const std::string& address, const std::string& method, const std::string& path, const std::string& body = {}, int seconds = 30);

/// Sends bytes as they are and returns what comes back until the other side closes or `seconds` have passed.
std::string callRaw(const std::string& address, const std::string& bytes, int seconds = 5);

/// A caller that sends bytes and never reads what comes back, until this object goes.
class SlowReader {
public:
    SlowReader(const std::string& address, const std::string& bytes);
    ~SlowReader();
    SlowReader(const SlowReader&) = delete;
    SlowReader& operator=(const SlowReader&) = delete;

private:
    int socket_ { -1 };
};

/// An id issued by the entry; empty if it gave none.
std::string takeId(const std::string& address);

/// A fresh UUIDv7, made `aheadMilliseconds` ahead of now.
std::string makeCallerId(std::int64_t aheadMilliseconds = 0);

/// A job body with `tasks` tasks that take `workMicroseconds` each.
std::string jobBody(std::uint32_t tasks, std::uint32_t workMicroseconds);

/// Calls `path` until it answers with `status`; false if it doesn't within `seconds`.
bool waitForStatus(const std::string& address, const std::string& path, std::uint32_t status, int seconds = 20);

} // namespace Lagoonpick::Contract
