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
    /// Where it sends its heartbeats.
    std::string controlAddress_;
    std::string id_;
    /// Each begin and end of a run is appended to this file, with the steady clock's microseconds.
    std::string recordFile_;
    std::uint32_t milliCores_ { 8000 };
};

/// Stands in for a target of the users' platform: heartbeats, starts, stops and leases as its pages tell them.
///
/// A task's payload says how long it takes and what it needs: `work_ms=50 cpu=1000`. Orders: `POST /standin/drain`,
/// `POST /standin/fail` (body `on` or `off`), and `POST /standin/late`: the next start is carried out 2 s later and not
/// answered.
class UsersTargetStandIn {
public:
    UsersTargetStandIn(boost::asio::io_context& context, UsersTargetSettings settings);

    /// Returns what went wrong, or nothing.
    std::string listen();

private:
    struct WaitingLease {
        LeaseCall call_;
        Time until_;
        HttpServer::Respond respond_;
    };

    Time now() const;
    void handle(const HttpRequest& request, const HttpServer::Respond& respond);
    bool handleOrder(const HttpRequest& request, const HttpServer::Respond& respond);
    void answerLeases();
    void record(const char* what, const RunName& name, std::string_view end);
    boost::asio::awaitable<void> beat();
    void waitForTimer();

    boost::asio::io_context& context_;
    UsersTargetSettings settings_;
    HttpServer http_;
    HttpClient control_;
    std::map<std::string, std::string> payloads_;
    LeasedTarget target_;
    std::list<WaitingLease> leases_;
    std::ofstream record_;
    bool isNextStartLate_ { false };
    boost::asio::steady_timer timer_;
};

} // namespace Lagoonpick::StandIns
