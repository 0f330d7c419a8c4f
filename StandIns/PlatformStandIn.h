#pragma once

#include "Lagoonpick/Transport/HttpServer.h"
#include "StandIns/KeyValueStore.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/fwd.hpp>
#include <list>
#include <map>
#include <string_view>

namespace Lagoonpick::StandIns {

/// A fault that the stand-in plays, until another is set.
enum class PlatformFault : std::uint8_t {
    None,
    /// Calls and watches are cut without an answer; nothing takes effect.
    Outage,
    /// Calls are answered late.
    Slow,
    /// Calls take effect, and are cut without an answer.
    LoseAnswers,
};

/// Reads a fault's name as it is ordered; `None` if it is not known.
PlatformFault parsePlatformFault(std::string_view name);

/// Stands in for the platform's key-value service: the part of the etcd v3 HTTP/JSON gateway that the system uses,
/// with faults to order (`POST /standin/fault`, body `outage`, `slow`, `lose_answers` or `none`) and a count of
/// calls by path (`GET /standin/counts`). A test tool: keeps everything in memory, and its history for ever.
class PlatformStandIn {
public:
    explicit PlatformStandIn(boost::asio::io_context& context);

    /// Returns what went wrong, or nothing.
    std::string listen(const std::string& address);

    void setFault(PlatformFault fault);

private:
    struct Watch {
        std::string first_;
        std::string end_;
        std::int64_t next_;
        std::shared_ptr<HttpStream> stream_;
    };

    void handle(const HttpRequest& request, const HttpServer::Respond& respond);
    void answer(const HttpRequest& request, const HttpServer::Respond& respond);
    bool handleOrder(const HttpRequest& request, const HttpServer::Respond& respond);
    boost::json::object call(const std::string& path, const boost::json::object& body);
    boost::json::object range(const boost::json::object& body) const;
    boost::json::object txn(const boost::json::object& body);
    void watch(const boost::json::object& body, const HttpServer::Respond& respond);
    void feedWatches();
    void feed(Watch& watch) const;
    boost::json::object header() const;
    void waitForTimer();

    boost::asio::io_context& context_;
    HttpServer http_;
    KeyValueStore store_;
    PlatformFault fault_ { PlatformFault::None };
    std::list<Watch> watches_;
    std::map<std::string, std::uint64_t> counts_;
    boost::asio::steady_timer timer_;
};

} // namespace Lagoonpick::StandIns
