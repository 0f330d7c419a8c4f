#include "Soak/SoakSystem.h"

#include "ContractTests/Support/Caller.h"
#include "Lagoonpick/Configuration/CommandLine.h"
#include "Lagoonpick/Run/EntrySelection.h"

#include <csignal>
#include <fmt/format.h>
#include <iostream>

namespace Lagoonpick::Soak {

using Contract::findFreeAddress;
using Contract::Process;
using Contract::Relay;

namespace {

constexpr auto configuration = R"({{"version":{},"routes":[{{"name":"queue","host":"127.0.0.1","prefix":"/queue/","service":"service","max_attempts":3,"slack_factor":1.6,"target_completion_ms":60}}]}})";

} // namespace

SoakSystem::SoakSystem(SoakSize size)
    : entryDescriptors_(size.entryDescriptors_)
    , maxEntries_(size.maxEntries_)
    , storeAddress_(findFreeAddress())
    , storeRelayAddress_(findFreeAddress())
    , entries_(size.entries_)
    , agents_(size.agents_)
{
    storeProcess_ = std::make_unique<Process>(std::vector<std::string> { USERS_STANDIN, "--address", storeAddress_ }, folder_.path() + "/store.log");
    Contract::waitForStatus(storeAddress_, "/standin/put?key=unused", 200);
    storeRelay_ = std::make_unique<Relay>(storeRelayAddress_, storeAddress_);
    configure(1);
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        Entry& entry = entries_[i];
        for (auto* address : { &entry.frontAddress_, &entry.readyAddress_, &entry.linkAddress_, &entry.relayAddress_, &entry.metricsAddress_ })
            *address = findFreeAddress();
        entry.relay_ = std::make_unique<Relay>(entry.relayAddress_, entry.linkAddress_);
        startEntry(i);
    }
    nameAgents();
    for (std::size_t i = 0; i < agents_.size(); ++i) {
        Agent& agent = agents_[i];
        for (auto* address : { &agent.controlAddress_, &agent.metricsAddress_, &agent.targetAddress_, &agent.relayAddress_ })
            *address = findFreeAddress();
        agent.relay_ = std::make_unique<Relay>(agent.relayAddress_, agent.targetAddress_);
        std::vector<std::string> arguments { USERS_STANDIN, "--address", agent.targetAddress_, "--control", agent.controlAddress_, "--id", fmt::format("target-{}", i), "--record", recordFile() };
        agent.target_ = std::make_unique<Process>(arguments, folder_.path() + "/targets.log");
        startAgent(i);
    }
}

void SoakSystem::nameAgents()
{
    // The choices depend on the names and on the addresses, which differ from run to run. With few agents for many entries no
    // names may do.
    constexpr int maxRounds = 1000;
    int round = 0;
    do {
        for (std::size_t i = 0; i < agents_.size(); ++i)
            agents_[i].name_ = fmt::format("agent-{}-{}", i, round);
        ++round;
    } while (round < maxRounds && !isEachEntryChosen());
}

bool SoakSystem::isEachEntryChosen() const
{
    std::set<std::string> addresses;
    for (const auto& entry : entries_)
        addresses.insert(entry.relayAddress_);
    std::set<std::string> chosen;
    for (const auto& agent : agents_)
        chosen.merge(EntrySelection(agent.name_, maxEntries_).choose(addresses, {}, Time()));
    return chosen == addresses;
}

void SoakSystem::configure(std::uint64_t version) const
{
    Contract::call(storeAddress_, "POST", "/standin/put?key=op%2Fconfig", fmt::format(configuration, version));
}

void SoakSystem::evacuate(const std::string& zone) const
{
    Contract::call(storeAddress_, "POST", "/standin/put?key=op%2Fevacuate%2F" + zone, "");
}

void SoakSystem::withdrawEvacuation(const std::string& zone) const
{
    Contract::call(storeAddress_, "POST", "/standin/remove?key=op%2Fevacuate%2F" + zone, "");
}

bool SoakSystem::waitUntilReady(int seconds) const
{
    for (const auto& entry : entries_) {
        if (!Contract::waitForStatus(entry.readyAddress_, "/lagoonpick/ready", 200, seconds))
            return false;
    }
    return true;
}

void SoakSystem::waitForTargets() const
{
    for (const auto& agent : agents_)
        Contract::call(agent.targetAddress_, "POST", "/standin/fail", "off");
}

void SoakSystem::startEntry(std::size_t i)
{
    Entry& entry = entries_[i];
    auto text = fmt::format("[entry]\nname = entry-{}\navailability_zone = zone-a\nfront_address = {}\nready_address = {}\nlink_address = {}\n"
                            "advertised_link_address = {}\nmetrics_address = {}\nseeds = -\n[store]\naddress = {}\n[limits]\ndescriptors = {}\n",
        i, entry.frontAddress_, entry.readyAddress_, entry.linkAddress_, entry.relayAddress_, entry.metricsAddress_, storeRelayAddress_, entryDescriptors_);
    auto file = folder_.write(fmt::format("entry-{}.ini", i), text);
    entry.log_.path_ = fmt::format("{}/entry-{}.log", folder_.path(), i);
    markIncarnationStart(entry.log_);
    entry.process_ = std::make_unique<Process>(std::vector<std::string> { JOB_ENTRY_PROGRAM, "--config", file }, entry.log_.path_);
    entry.process_->limitDescriptors(entryDescriptors_);
}

void SoakSystem::startAgent(std::size_t i)
{
    Agent& agent = agents_[i];
    auto text = fmt::format("[agent]\nname = {}\nmax_entries = {}\navailability_zone = {}\ncontrol_address = {}\nmetrics_address = {}\n"
                            "entry_link_address = 127.0.0.1:1\nseeds = -\n[target]\naddress = {}\n[store]\naddress = {}\n",
        agent.name_, maxEntries_, i % 2 ? secondZone : firstZone, agent.controlAddress_, agent.metricsAddress_, agent.relayAddress_, storeRelayAddress_);
    auto file = folder_.write(fmt::format("agent-{}.ini", i), text);
    agent.log_.path_ = fmt::format("{}/agent-{}.log", folder_.path(), i);
    markIncarnationStart(agent.log_);
    agent.process_ = std::make_unique<Process>(std::vector<std::string> { RUN_AGENT_PROGRAM, "--config", file }, agent.log_.path_);
}

void SoakSystem::markIncarnationStart(LogFile& log)
{
    log.incarnationOffset_ = readFile(log.path_).value_or("").size();
}

bool SoakSystem::waitForCleanExit(Process& process, const LogFile& log, int seconds)
{
    constexpr int endedBySigterm = 128 + SIGTERM;
    int status = process.waitForExit(seconds);
    bool hasStarted = readFile(log.path_).value_or("").find("\"started\"", log.incarnationOffset_) != std::string::npos;
    if (status)
        std::cout << "a process exited with status " << status << (hasStarted ? " after" : " before") << " it had logged its start" << std::endl;
    return !status || (status == endedBySigterm && !hasStarted);
}

bool SoakSystem::waitForEntry(std::size_t entry, int seconds)
{
    return waitForCleanExit(*entries_[entry].process_, entries_[entry].log_, seconds);
}

bool SoakSystem::waitForAgent(std::size_t agent, int seconds)
{
    return waitForCleanExit(*agents_[agent].process_, agents_[agent].log_, seconds);
}

void SoakSystem::killEntry(std::size_t entry)
{
    entries_[entry].process_->kill();
}

void SoakSystem::killAgent(std::size_t agent)
{
    agents_[agent].process_->kill();
}

} // namespace Lagoonpick::Soak
