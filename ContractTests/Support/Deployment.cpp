#include "ContractTests/Support/Deployment.h"

#include "ContractTests/Support/Caller.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <thread>

namespace Lagoonpick::Contract {

namespace {

constexpr auto entryTimes = "[times]\nlease_ttl_ms = 2000\nhorizon_ms = 4000\nlink_timeout_ms = 1000\nheartbeat_ms = 200\n";
constexpr auto agentTimes = "[times]\nlink_timeout_ms = 1000\nheartbeat_ms = 200\n";
constexpr int connectTimeoutSeconds = 20;

std::vector<std::string> addresses(std::size_t count)
{
    std::vector<std::string> result;
    for (std::size_t i = 0; i < count; ++i)
        result.push_back(findFreeAddress());
    return result;
}

} // namespace

Deployment::Deployment(DeploymentPlan plan)
    : plan_(std::move(plan))
    , platformAddress_(findFreeAddress())
    , callerAddresses_(addresses(plan_.entries_))
    , peerAddresses_(addresses(plan_.entries_))
    , agentAddresses_(addresses(plan_.agents_))
    , relayAddresses_(addresses(plan_.agents_))
    , debugAddresses_(addresses(plan_.agents_))
    , targetAddresses_(addresses(plan_.agents_))
    , agents_(plan_.agents_)
    , entries_(plan_.entries_)
{
    std::vector<std::string> platform { PLATFORM_STANDIN, "--address", platformAddress_ };
    platform_ = std::make_unique<Process>(platform, folder_.path() + "/platform.log");
    waitForStatus(platformAddress_, "/standin/counts", 200);
    for (std::size_t i = 0; i < plan_.agents_; ++i) {
        std::vector<std::string> target { TARGET_STANDIN, "--address", targetAddresses_[i], "--record", folder_.path() + "/starts" };
        targets_.push_back(std::make_unique<Process>(target, folder_.path() + "/targets.log"));
        waitForStatus(targetAddresses_[i], "/standin/mode", 200);
        relays_.push_back(std::make_unique<Relay>(relayAddresses_[i], agentAddresses_[i]));
        startAgent(i);
    }
    for (std::size_t i = 0; i < plan_.entries_; ++i)
        startEntry(i);
}

void Deployment::startEntry(std::size_t i)
{
    auto text = fmt::format("[entry]\nname = entry-{}\navailability_zone = zone-a\ncaller_address = {}\npeer_address = {}\n"
                            "[platform]\naddress = {}\ntimeout_ms = 1000\n{}{}",
        i, callerAddresses_[i], peerAddresses_[i], platformAddress_, plan_.hasDefaultTimes_ ? "" : entryTimes, plan_.extraEntrySettings_);
    auto name = fmt::format("entry-{}", i);
    std::vector<std::string> arguments { ENTRY_PROGRAM, "--config", folder_.write(name + ".ini", text) };
    entries_[i] = std::make_unique<Process>(arguments, folder_.path() + "/" + name + ".log");
}

void Deployment::startAgent(std::size_t i)
{
    auto text = fmt::format("[agent]\ntarget = target-{}\navailability_zone = zone-a\naddress = {}\nadvertised_address = {}\ndebug_address = {}\n"
                            "[target]\naddress = {}\nslots = {}\n[platform]\naddress = {}\ntimeout_ms = 1000\n{}{}",
        i, agentAddresses_[i], plan_.hasDirectLinks_ ? agentAddresses_[i] : relayAddresses_[i], debugAddresses_[i], targetAddresses_[i], plan_.slots_, platformAddress_, plan_.hasDefaultTimes_ ? "" : agentTimes, plan_.extraAgentSettings_);
    auto name = fmt::format("agent-{}", i);
    std::vector<std::string> arguments { AGENT_PROGRAM, "--config", folder_.write(name + ".ini", text) };
    agents_[i] = std::make_unique<Process>(arguments, folder_.path() + "/" + name + ".log");
}

bool Deployment::waitUntilConnected() const
{
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(connectTimeoutSeconds);
    while (std::chrono::steady_clock::now() < end) {
        bool isConnected = std::all_of(callerAddresses_.begin(), callerAddresses_.end(), [&](const std::string& address) {
            auto state = call(address, "GET", "/debug/state", {}, 2);
            std::size_t links = plan_.agents_ + plan_.entries_ - 1;
            return state.member("links") == std::to_string(links);
        });
        if (isConnected)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

void Deployment::setPlatformFault(const std::string& fault) const
{
    call(platformAddress_, "POST", "/standin/fault", fault);
}

void Deployment::setTargetMode(std::size_t agent, const std::string& mode) const
{
    call(targetAddresses_[agent], "POST", "/standin/mode", mode);
}

std::vector<std::string> Deployment::starts() const
{
    std::vector<std::string> lines;
    std::ifstream file(folder_.path() + "/starts");
    for (std::string line; std::getline(file, line);)
        lines.push_back(line);
    return lines;
}

std::string Deployment::log(const std::string& name) const
{
    std::ifstream file(folder_.path() + "/" + name + ".log");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace Lagoonpick::Contract
