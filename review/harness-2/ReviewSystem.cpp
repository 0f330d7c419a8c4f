#include "ReviewSystem.h"

#include "Client.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <thread>

namespace Lagoonpick::Review2 {

using Contract::findFreeAddress;
using Contract::Process;

namespace {

/// The limit on descriptors of an entry's instance.
constexpr std::uint64_t entryDescriptors = 4100;

/// Built by `review/build-2.sh`.
constexpr auto standIn = "target/review-2/lagoonpick-users-standin";

/// The parts of the templates that are the same for both programs.
std::string commonSettings(const std::string& storeAddress)
{
    return fmt::format("[store]\naddress = {}\n[times]\nshutdown_grace_s = 6\nmax_lease_ms = 1000\nstop_timeout_ms = 50\nresend_ms = 1300\n", storeAddress);
}

constexpr auto configuration = R"({"version":1,"routes":[{"name":"queue","host":"127.0.0.1","prefix":"/queue/","service":"service","priority":0,"max_attempts":3,"slack_factor":1.6,"target_completion_ms":60}],"services":[],"limits":{}})";

} // namespace

ReviewSystem::ReviewSystem(Record& record, std::size_t entries, std::size_t agents)
    : record_(record)
    , storeAddress_(findFreeAddress())
    , entries_(entries)
    , agents_(agents)
{
    startStore();
    for (std::size_t i = 0; i < entries; ++i)
        startEntry(i);
    for (std::size_t i = 0; i < agents; ++i)
        startAgent(i);
}

void ReviewSystem::startStore()
{
    store_ = std::make_unique<Process>(std::vector<std::string> { standIn, "--address", storeAddress_ }, folder_.path() + "/store.log");
    constexpr int attempts = 100;
    for (int i = 0; i < attempts; ++i) {
        if (send({ .address_ = storeAddress_, .method_ = "POST", .path_ = "/standin/put?key=op%2Fconfig", .body_ = configuration }).isSuccess())
            return;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
}

std::unique_ptr<Process> ReviewSystem::startProgram(const std::string& program, const std::string& name, const std::string& settings) const
{
    auto file = folder_.write(name + ".ini", settings);
    ::setenv("LAGOONPICK_CONFIG", file.c_str(), 1);
    return std::make_unique<Process>(std::vector<std::string> { program }, folder_.path() + "/" + name + ".log");
}

void ReviewSystem::startEntry(std::size_t number)
{
    Entry& entry = entries_[number];
    entry.frontAddress_ = findFreeAddress();
    entry.readyAddress_ = findFreeAddress();
    auto settings = fmt::format("[entry]\nname = edge-{}\navailability_zone = zone-a\nfront_address = {}\nready_address = {}\nlink_address = {}\nmetrics_address = {}\nseeds = -\n{}"
                                "[jobs]\nremote_factor = 1.5\n[limits]\ndescriptors = {}\nmemory_mb = 260\n",
        number, entry.frontAddress_, entry.readyAddress_, findFreeAddress(), findFreeAddress(), commonSettings(storeAddress_), entryDescriptors);
    entry.process_ = startProgram("target/JobEntry/lagoonpick-job-entry", fmt::format("entry-{}", number), settings);
    entry.process_->limitDescriptors(entryDescriptors);
}

void ReviewSystem::startAgent(std::size_t number)
{
    Agent& agent = agents_[number];
    auto controlAddress = findFreeAddress();
    auto targetAddress = findFreeAddress();
    std::vector<std::string> arguments { standIn, "--address", targetAddress, "--control", controlAddress, "--id", fmt::format("target-{}", number), "--record", folder_.path() + "/runs" };
    agent.target_ = std::make_unique<Process>(arguments, folder_.path() + "/targets.log");
    auto settings = fmt::format("[agent]\nname = side-{}\navailability_zone = zone-a\ncontrol_address = {}\nmetrics_address = {}\nentry_link_address = 127.0.0.1:1\nseeds = -\n"
                                "[target]\naddress = {}\n{}",
        number, controlAddress, findFreeAddress(), targetAddress, commonSettings(storeAddress_));
    agent.process_ = startProgram("target/RunAgent/lagoonpick-run-agent", fmt::format("agent-{}", number), settings);
}

bool ReviewSystem::isReady(std::size_t entry) const
{
    return send({ .address_ = entries_[entry].readyAddress_, .method_ = "GET", .path_ = "/lagoonpick/ready", .body_ = {} }).isSuccess();
}

bool ReviewSystem::waitUntilReady() const
{
    constexpr std::int64_t timeoutMs = 20'000;
    auto end = record_.now() + timeoutMs;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        while (!isReady(i)) {
            if (record_.now() > end)
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
    }
    // The last agents attach.
    std::this_thread::sleep_for(std::chrono::seconds(1));
    return true;
}

bool ReviewSystem::isRunning(std::size_t entry)
{
    return entries_[entry].process_->waitForExit(1) == -1;
}

std::vector<RunEvent> ReviewSystem::runEvents() const
{
    std::vector<RunEvent> events;
    std::ifstream file(folder_.path() + "/runs");
    std::int64_t microseconds = 0;
    RunEvent event;
    while (file >> microseconds >> event.what_ >> event.task_ >> event.number_ >> event.how_ >> event.target_) {
        event.atMs_ = record_.fromSteadyMicroseconds(microseconds);
        events.push_back(event);
    }
    std::stable_sort(events.begin(), events.end(), [](const auto& left, const auto& right) { return left.atMs_ < right.atMs_; });
    return events;
}

} // namespace Lagoonpick::Review2
