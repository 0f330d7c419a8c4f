#pragma once

#include "Lagoonpick/Transport/HttpServer.h"

#include <cstdint>
#include <string>

namespace Lagoonpick::StandIns {

/// How the stand-in responds to tasks until another mode is set.
enum class TargetMode : std::uint8_t {
    /// Responds after the task's run time.
    Work,
    /// Responds with status 500 at once.
    Fail,
    /// Records the start and never responds.
    Stall,
};

/// Stand-in for a target: an HTTP service whose tasks take the number of microseconds that their payload begins with,
/// divided by the target's speed. Records each start, by idempotency key, before working on the task.
/// `POST /standin/mode` with the body `work`, `fail` or `stall` sets the mode.
class TargetStandIn {
public:
    /// Starts are appended to `recordFile`, one line each, unless the name is empty.
    TargetStandIn(boost::asio::io_context& context, double speed, const std::string& recordFile);
    ~TargetStandIn();
    TargetStandIn(const TargetStandIn&) = delete;
    TargetStandIn& operator=(const TargetStandIn&) = delete;

    /// Starts to accept connections. Returns an error message, empty on success.
    std::string listen(const std::string& address);

private:
    void handle(const HttpRequest& request, const HttpServer::Respond& respond);
    void record(const std::string& idempotencyKey);

    boost::asio::io_context& context_;
    HttpServer http_;
    double speed_;
    int recordDescriptor_ { -1 };
    TargetMode mode_ { TargetMode::Work };
};

} // namespace Lagoonpick::StandIns
