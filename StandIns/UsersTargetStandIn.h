#pragma once

#include "Lagoonpick/Transport/HttpClient.h"
#include "Lagoonpick/Transport/HttpServer.h"
#include "StandIns/LeasedTarget.h"

#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <list>

namespace Lagoonpick::StandIns {

struct UsersTargetSettings {
    std::string address_;
    /// Address that the target sends its heartbeats to.
    std::string controlAddress_;
    std::string id_;
    /// File that each begin and end of a run is appended to, with the time in microseconds of the steady clock.
    std::string recordFile_;
    std::uint32_t milliCores_ { 8000 };
};

/// Stand-in for a target of the users' platform: heartbeats, starts, stops and leases in the platform's formats.
///
/// A task's payload states its run time and its need: `work_ms=50 cpu=1000` (milliseconds and milli-cores). Tests control
/// the target by `POST /standin/drain`, `POST /standin/fail` (body `on` or `off`), `POST /standin/late`: the next
/// start is carried out 2 s later and not answered; `POST /standin/restart`: it starts anew under its id and leaves calls
/// that wait unanswered, so its connections have to be cut then. Used on the thread that runs `context`.
class UsersTargetStandIn {
public:
    UsersTargetStandIn(boost::asio::io_context& context, UsersTargetSettings settings);

    /// Starts to send heartbeats and to accept connections. Returns an error message, empty on success.
    std::string listen();

private:
    /// A lease call whose response is held back until a run ends.
    struct WaitingLease {
        LeaseCall call_;
        /// When the call is answered if no run ends.
        Time answerBy_;
        HttpServer::Respond respond_;
    };

    /// The present time. What the target did meanwhile happens first, at its own time: a run or a lease ends on time also when this
    /// process did not run then.
    Time now();
    void handle(const HttpRequest& request, const HttpServer::Respond& respond);
    /// Handles a request of a test, below /standin/; false if the request is none.
    bool handleControlRequest(const HttpRequest& request, const HttpServer::Respond& respond);
    void restart();
    /// Answers the lease calls that have ends to report or have waited long enough.
    void answerLeases();
    /// Appends a line to the record file.
    void record(const char* what, const RunName& name, std::string_view end);
    boost::asio::awaitable<void> sendHeartbeats();
    void scheduleTick();

    boost::asio::io_context& context_;
    UsersTargetSettings settings_;
    HttpServer http_;
    HttpClient controlClient_;
    /// Payload of each task that was to be started, by task.
    std::map<std::string, std::string> payloads_;
    LeasedTarget target_;
    std::list<WaitingLease> waitingLeases_;
    std::ofstream recordStream_;
    bool isNextStartLate_ { false };
    Time advancedTo_;
    boost::asio::steady_timer timer_;
};

} // namespace Lagoonpick::StandIns
