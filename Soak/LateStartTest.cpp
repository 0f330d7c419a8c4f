#include "ContractTests/Support/Caller.h"
#include "Soak/RunRecord.h"
#include "Soak/SoakSystem.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <thread>

namespace Lagoonpick::Soak {

namespace {

using Contract::Relay;
using std::chrono::milliseconds;

constexpr int timeoutSeconds = 10;
/// The programs' default interval until a caller sends a job again.
constexpr auto resendInterval = milliseconds(1300);

Contract::CallerAnswer submit(const SoakSystem& system, std::size_t entry, const std::string& id, int workMs)
{
    auto body = R"({"spec":"work_ms=)" + std::to_string(workMs) + R"( cpu=1000","steps":[{"count":8,"cpu":1000,"mem_mb":1,"estimate_ms":1000}],"best_effort":true})";
    return Contract::call(system.frontAddress(entry), "POST", "/queue/" + id, body, timeoutSeconds);
}

/// Sends jobs until one is done: an entry may be ready before its agents are.
bool hasServed(const SoakSystem& system, std::size_t entry)
{
    constexpr int maxJobs = 100;
    for (int i = 0; i < maxJobs; ++i) {
        if (submit(system, entry, fmt::format("{:08x}{:08x}", entry, i), 20).member("state") == "done")
            return true;
        std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
}

} // namespace

TEST_CASE("Starts that arrive late begin no second runs beside those of the job that was sent again")
{
    constexpr int workMs = 1200;
    // Tasks that both entries place on the same target can't run there twice, so one round may show nothing.
    auto round = GENERATE(1, 2, 3);
    INFO("round " << round);
    SoakSystem system({ .entries_ = 2, .agents_ = 4, .maxEntries_ = 2 });
    REQUIRE(system.waitUntilReady(timeoutSeconds));
    REQUIRE(hasServed(system, 0));
    REQUIRE(hasServed(system, 1));
    // The entry's messages get later and later, so none of its agents takes it for silent; then theirs are lost.
    Relay& link = system.linkRelay(0);
    link.setLatency(Relay::Way::Down, milliseconds(2000), milliseconds(2500));
    std::this_thread::sleep_for(milliseconds(1800));
    link.setSilent(Relay::Way::Up, true);
    std::thread first([&] { submit(system, 0, "00000000000000b0", workMs); });
    std::this_thread::sleep_for(resendInterval);
    submit(system, 1, "00000000000000b0", workMs);
    first.join();
    link.setLatency(Relay::Way::Down, milliseconds(0));
    link.setSilent(Relay::Way::Up, false);
    std::this_thread::sleep_for(milliseconds(workMs));
    system.waitForTargets();
    auto violations = checkRuns(system.recordFile(), CallerRecord());
    for (const auto& text : violations)
        UNSCOPED_INFO(text);
    CHECK(violations.empty());
}

} // namespace Lagoonpick::Soak
