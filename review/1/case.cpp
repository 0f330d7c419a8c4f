#include "review/harness/Deployment.h"

#include <algorithm>
#include <fmt/format.h>
#include <stdexcept>
#include <thread>

/// One heartbeat of another writer, with fields missing, reaches one agent while tasks run on its worker.
namespace Lagoonpick::Review {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t clientCount = 8;
constexpr auto trafficTime = std::chrono::seconds(10);
constexpr auto disruptionAfter = std::chrono::seconds(4);
constexpr auto resendInterval = milliseconds(1300);
constexpr int maxAttempts = 3;

/// Hands jobs in one after the other; a job without a final answer is sent again to another edge.
void sendJobs(Deployment& deployment, std::size_t client, steady_clock::time_point until)
{
    std::size_t edge = client;
    while (steady_clock::now() < until) {
        Job job { .id_ = makeJobId(), .tasks_ = 4, .milliseconds_ = 900 };
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            auto status = deployment.submit(deployment.frontAddress(edge++ % deployment.edgeCount()), job).status_;
            if (status && status != 502 && status != 504)
                break;
            std::this_thread::sleep_for(resendInterval);
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
}

/// True if a task began on the worker within the last 0.2 s, so that most of its 0.9 s is left.
bool hasFreshRun(const std::string& recordFile, const std::string& worker)
{
    constexpr double maxAge = 0.2;
    auto events = readRunEvents(recordFile);
    return std::any_of(events.begin(), events.end(), [&](const auto& event) { return event.what_ == "begin" && event.worker_ == worker && nowSeconds() - event.at_ < maxAge; });
}

void sendStrayHeartbeat(Deployment& deployment, std::size_t worker)
{
    // `address`, `zone`, `version`, `labels` and `clock_ms` are missing, and no configuration names the service.
    auto born = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    auto body = fmt::format(R"({{"service":"other-desk","slots":8,"state":"ready","capacity":{{"cpu":16000}},"seq":4,"born":{}}})", born);
    auto answer = callHttp(deployment.controlAddress(worker), "POST", "/lagoonpick/instances/i-5742ab0c11/heartbeat", body, {}, milliseconds(1000));
    deployment.record(fmt::format("stray heartbeat of i-5742ab0c11 to the agent beside {}: answer {}; {}", deployment.workerId(worker), answer.status_, body));
}

std::vector<std::string> play(const std::string& recordFile)
{
    DeploymentSettings settings { .recordFile_ = recordFile };
    for (int i = 0; i < 11; ++i)
        settings.workers_.push_back({ fmt::format("a,r1-{}", i / 3 + 1), {} });
    Deployment deployment(settings);
    if (!deployment.waitUntilReady())
        throw std::runtime_error("the edges did not become ready");
    auto begin = steady_clock::now();
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < clientCount; ++i)
        clients.emplace_back([&deployment, i, begin] { sendJobs(deployment, i, begin + trafficTime); });
    std::this_thread::sleep_until(begin + disruptionAfter);
    if (hasTrouble()) {
        while (!hasFreshRun(recordFile, deployment.workerId(0)) && steady_clock::now() < begin + trafficTime)
            std::this_thread::sleep_for(milliseconds(10));
        sendStrayHeartbeat(deployment, 0);
    }
    for (auto& client : clients)
        client.join();
    if (readRunEvents(recordFile).empty())
        throw std::runtime_error("no task ran");
    return findOverlaps(recordFile);
}

} // namespace

} // namespace Lagoonpick::Review

int main(int argc, char** argv)
{
    return Lagoonpick::Review::runCase(argc, argv, Lagoonpick::Review::play);
}
