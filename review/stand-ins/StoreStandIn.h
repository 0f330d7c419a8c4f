#pragma once

#include "Lagoonpick/Transport/HttpServer.h"
#include "StandIns/KeyValueStore.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <list>
#include <map>

namespace Lagoonpick::Review {

/// A sound metadata store of the users' platform, as PROTOCOL.md describes it, with one configuration that an operator wrote
/// before it started. Used on the thread that runs `context`.
class StoreStandIn {
public:
    StoreStandIn(boost::asio::io_context& context, const std::string& configuration);

    /// Starts to accept connections. Returns an error message, empty on success.
    std::string listen(const std::string& address);

private:
    struct Watch {
        std::string prefix_;
        std::int64_t after_;
        std::int64_t answerBy_;
        HttpServer::Respond respond_;
    };

    using Query = std::map<std::string, std::string>;
    static Query parseQuery(const std::string& text);
    void handle(const HttpRequest& request, const HttpServer::Respond& respond);
    boost::json::object toItem(const std::string& key, const StandIns::StoredKey& stored) const;
    HttpResponse readKey(const std::string& key) const;
    HttpResponse readRange(Query query) const;
    HttpResponse write(const boost::json::object& body);
    bool isAsExpected(const boost::json::object& body) const;
    HttpResponse grant(const boost::json::object& body);
    void answerWatches();
    void scheduleTick();

    HttpServer http_;
    StandIns::KeyValueStore store_;
    std::list<Watch> watches_;
    boost::asio::steady_timer timer_;
};

} // namespace Lagoonpick::Review
