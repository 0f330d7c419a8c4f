#include "ContractTests/Support/Process.h"
#include "platform/TargetCodec.h"
#include "StandIns/UsersTargetStandIn.h"

#include <catch2/catch.hpp>

namespace Lagoonpick {

// Guards against: the stand-in's heartbeats ended after the first, so that no entry of the soak became ready on arm64.
TEST_CASE("A target whose control address refuses the first calls is heard of later, by whole heartbeats")
{
    constexpr std::size_t heartbeatCount = 3;
    boost::asio::io_context context(1);
    StandIns::UsersTargetSettings settings { .address_ = Contract::findFreeAddress(), .controlAddress_ = Contract::findFreeAddress(), .id_ = "target", .recordFile_ = "/dev/null" };
    StandIns::UsersTargetStandIn target(context, settings);
    REQUIRE(target.listen().empty());
    context.run_for(std::chrono::milliseconds(700));
    std::vector<Outcome<TargetHeartbeat>> heartbeats;
    HttpServer control(context, {}, [&](const HttpRequest& request, const HttpServer::Respond& respond) {
        heartbeats.push_back(UsersPlatform::decodeHeartbeat("target", request.body_));
        respond({ .body_ = "{}", .stream_ = {} });
    });
    REQUIRE(control.listen(settings.controlAddress_).empty());
    for (int step = 0; step < 50 && heartbeats.size() < heartbeatCount; ++step)
        context.run_for(std::chrono::milliseconds(100));
    REQUIRE(heartbeats.size() >= heartbeatCount);
    for (const auto& heartbeat : heartbeats) {
        REQUIRE(heartbeat.has_value());
        CHECK(heartbeat.value().labels_ == std::vector<std::string> { "a", "rack-1" });
    }
}

} // namespace Lagoonpick
