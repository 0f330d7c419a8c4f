#pragma once

#include "Lagoonpick/Transport/HttpClient.h"
#include "Lagoonpick/Transport/HttpServer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <fstream>
#include <list>
#include <map>

namespace Lagoonpick::Review {

struct WorkerSettings {
    std::string address_;
    /// Address that the worker sends its heartbeats to.
    std::string controlAddress_;
    std::string id_;
    std::string service_;
    /// Labels, separated by commas.
    std::string labels_;
    /// File that each begin and end of a run is appended to.
    std::string recordFile_;
    std::uint32_t milliCores_ { 64'000 };
    std::uint32_t memoryMegabytes_ { 131'072 };
    std::uint32_t heartbeatMs_ { 1500 };
    /// The worker crashes, without an answer, as soon as it has begun a task whose spec holds this text; empty for never.
    std::string crashText_;
};

/// A sound worker of the users' platform, as PROTOCOL.md describes it: it guards its capacity, fences, enforces leases by its
/// own steady clock and answers every call at once.
///
/// A task's `spec` states what it needs and how long it takes, for example `ms=300 cpu=4000 mem=64`. Used on the thread that
/// runs `context`.
class WorkerStandIn {
public:
    WorkerStandIn(boost::asio::io_context& context, WorkerSettings settings);

    /// Starts to send heartbeats and to accept connections. Returns an error message, empty on success.
    std::string listen();

private:
    using RunName = std::pair<std::string, std::uint64_t>;
    struct Run {
        std::string spec_;
        std::chrono::steady_clock::time_point startedAt_;
        std::chrono::milliseconds length_ {};
        std::uint32_t milliCores_ { 0 };
        std::uint32_t memoryMegabytes_ { 0 };
        /// When a stop that was accepted takes effect.
        std::optional<std::chrono::steady_clock::time_point> stopsAt_;
    };
    struct WaitingHold {
        std::uint64_t acknowledged_;
        std::chrono::steady_clock::time_point answerBy_;
        HttpServer::Respond respond_;
    };

    std::int64_t clock() const;
    void handle(const HttpRequest& request, const HttpServer::Respond& respond);
    void start(const boost::json::object& body, const HttpServer::Respond& respond);
    void stop(const boost::json::object& body, const HttpServer::Respond& respond);
    void hold(const boost::json::object& body, const HttpServer::Respond& respond);
    /// Returns true if the call has a lower fencing token than an earlier one.
    bool isFenced(const boost::json::object& body);
    void extendLease(const boost::json::object& body);
    void answerHolds();
    /// Ends the runs that are done, stopped or without a lease.
    void advance();
    void finish(const RunName& name, const char* how);
    void record(const char* what, const RunName& name, const std::string& detail);
    void respondWith(const HttpServer::Respond& respond, std::uint32_t status, boost::json::object body) const;
    std::string makeHeartbeat();
    boost::asio::awaitable<void> sendHeartbeats();
    void scheduleTick();

    boost::asio::io_context& context_;
    WorkerSettings settings_;
    HttpServer http_;
    HttpClient control_;
    std::ofstream record_;
    boost::asio::steady_timer timer_;
    std::chrono::steady_clock::time_point startedAt_;
    std::int64_t born_;
    std::uint64_t sequence_ { 0 };
    std::uint64_t fencingToken_ { 0 };
    std::int64_t leaseUntil_ { 0 };
    std::map<RunName, Run> running_;
    /// Highest number of a run that was started or stopped here, by task.
    std::map<std::string, std::uint64_t> highestRuns_;
    boost::json::array ended_;
    std::uint64_t lastEnd_ { 0 };
    std::list<WaitingHold> waitingHolds_;
};

} // namespace Lagoonpick::Review
