#pragma once

#include "Lagoonpick/Transport/HttpServer.h"
#include "StandIns/KeyValueStore.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/fwd.hpp>
#include <list>
#include <map>
#include <string_view>

namespace Lagoonpick::StandIns {

/// A fault that a stand-in simulates until another one is set.
enum class PlatformFault : std::uint8_t {
    None,
    /// Calls are dropped without a response and have no effect. `PlatformStandIn` closes its watches, too.
    Outage,
    /// Calls are carried out and answered after a delay.
    Slow,
    /// Calls take effect, but are dropped without a response; in `UsersStoreStandIn` only those other than GET.
    LoseAnswers,
};

/// Parses the name of a fault as `POST /standin/fault` has it; `None` if the name is unknown.
PlatformFault parsePlatformFault(std::string_view name);

/// Stand-in for the platform's key-value service: the part of the etcd v3 HTTP/JSON gateway that the system uses.
/// `POST /standin/fault` with the body `outage`, `slow`, `lose_answers` or `none` sets a fault, and
/// `GET /standin/counts` returns the number of calls by path. A test tool: keeps all data in memory and never discards
/// its history. Used on the thread that runs `context`.
class PlatformStandIn {
public:
    explicit PlatformStandIn(boost::asio::io_context& context);

    /// Starts to accept connections. Returns an error message, empty on success.
    std::string listen(const std::string& address);

    void setFault(PlatformFault fault);

private:
    struct Watch {
        /// Covers the keys from `firstKey_` up to, but not including, `endKey_`; if that is empty, only `firstKey_`.
        std::string firstKey_;
        std::string endKey_;
        /// The first revision that the watch has not been sent.
        std::int64_t nextRevision_;
        std::shared_ptr<HttpStream> stream_;
    };

    void handle(const HttpRequest& request, const HttpServer::Respond& respond);
    void answer(const HttpRequest& request, const HttpServer::Respond& respond);
    /// Handles a request of a test, below /standin/; false if the request is none.
    bool handleControlRequest(const HttpRequest& request, const HttpServer::Respond& respond);
    /// Carries out a call other than a watch; returns the body of its response.
    boost::json::object call(const std::string& path, const boost::json::object& body);
    boost::json::object range(const boost::json::object& body) const;
    boost::json::object txn(const boost::json::object& body);
    void watch(const boost::json::object& body, const HttpServer::Respond& respond);
    /// Sends each watch the changes that it has not been sent.
    void sendChangesToWatches();
    void sendChanges(Watch& watch) const;
    boost::json::object header() const;
    void scheduleTick();

    boost::asio::io_context& context_;
    HttpServer http_;
    KeyValueStore store_;
    PlatformFault fault_ { PlatformFault::None };
    std::list<Watch> watches_;
    std::map<std::string, std::uint64_t> counts_;
    boost::asio::steady_timer timer_;
};

} // namespace Lagoonpick::StandIns
