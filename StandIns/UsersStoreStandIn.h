#pragma once

#include "Lagoonpick/Transport/HttpServer.h"
#include "StandIns/KeyValueStore.h"
#include "StandIns/PlatformStandIn.h"

#include <boost/asio/steady_timer.hpp>
#include <list>

namespace Lagoonpick::StandIns {

/// Stand-in for the store of the users' platform: the calls that the system makes there. `POST /standin/fault` sets a
/// `PlatformFault`, and `POST /standin/put?key=K` writes a key as an operator would, and `POST
/// /standin/remove?key=K` removes one. Used on the thread that runs
/// `context`.
class UsersStoreStandIn {
public:
    explicit UsersStoreStandIn(boost::asio::io_context& context);

    /// Starts to accept connections. Returns an error message, empty on success.
    std::string listen(const std::string& address);

private:
    /// A watch call that waits for its response.
    struct Watch {
        std::string prefix_;
        /// Changes with a higher revision are reported.
        std::int64_t after_;
        /// When the call is answered without any change, in milliseconds of the steady clock.
        std::int64_t answerBy_;
        HttpServer::Respond respond_;
    };

    void handle(const HttpRequest& request, const HttpServer::Respond& respond);
    void answer(const HttpRequest& request, const HttpServer::Respond& respond);
    /// Handles a request of a test, below /standin/; false if the request is none.
    bool handleControlRequest(const HttpRequest& request, const HttpServer::Respond& respond);
    HttpResponse readKey(const std::string& key) const;
    /// The first page of the keys with this prefix that come after `after`.
    HttpResponse readRange(const std::string& prefix, const std::string& after) const;
    HttpResponse write(const std::string& body);
    HttpResponse grant(const std::string& body);
    /// Answers the watches that have changes to report or have waited long enough.
    void answerWatches();
    void scheduleTick();

    boost::asio::io_context& context_;
    HttpServer http_;
    KeyValueStore store_;
    PlatformFault fault_ { PlatformFault::None };
    std::list<Watch> watches_;
    boost::asio::steady_timer timer_;
};

} // namespace Lagoonpick::StandIns
