#pragma once

#include "ContractTests/Support/Process.h"
#include "ContractTests/Support/Relay.h"

#include <atomic>
#include <memory>

namespace Lagoonpick::Soak {

/// Number of processes of each role, and their limits.
struct SoakSize {
    std::size_t entries_ { 3 };
    std::size_t agents_ { 4 };
    /// Number of entries that an agent attaches to: fewer than there are, so that attachments change under faults.
    std::size_t maxEntries_ { 2 };
    /// File descriptors that an entry may have open: the limit of its process, and the one in its settings.
    std::uint64_t entryDescriptors_ { 4096 };
};

/// Runs the programs of the users' platform as separate processes, with stand-ins for the store and the targets. Relays
/// stand in front of each entry's link address, each target and the store. Several threads may signal, kill and start
/// processes, each its own.
class SoakSystem {
public:
    /// The availability zones of the agents, by turns.
    static constexpr auto firstZone = "zone-a";
    static constexpr auto secondZone = "zone-b";

    explicit SoakSystem(SoakSize size);

    const std::string& frontAddress(std::size_t entry) const { return entries_[entry].frontAddress_; }
    const std::string& readyAddress(std::size_t entry) const { return entries_[entry].readyAddress_; }
    const std::string& entryMetricsAddress(std::size_t entry) const { return entries_[entry].metricsAddress_; }
    const std::string& agentMetricsAddress(std::size_t agent) const { return agents_[agent].metricsAddress_; }
    const std::string& controlAddress(std::size_t agent) const { return agents_[agent].controlAddress_; }
    std::size_t entryCount() const { return entries_.size(); }
    std::size_t agentCount() const { return agents_.size(); }
    /// File that the targets record the begins and ends of runs in.
    std::string recordFile() const { return folder_.path() + "/runs"; }
    std::string logFolder() const { return folder_.path(); }

    /// Waits until every entry is ready; false if one of them takes longer than `seconds`.
    bool waitUntilReady(int seconds) const;

    /// Waits until each target has recorded what ended until now.
    void waitForTargets() const;

    /// Writes a version of the configuration into the store.
    void configure(std::uint64_t version) const;
    /// Writes a new version, from any thread.
    void configureAnew() { configure(++configurationVersion_); }

    /// Evacuates an availability zone as operators do, or withdraws the evacuation. From any thread.
    void evacuate(const std::string& zone) const;
    void withdrawEvacuation(const std::string& zone) const;

    /// Sends a signal to the process of an entry or an agent. A process that ends stays down until it is started again.
    void signalEntry(std::size_t entry, int number) const { entries_[entry].process_->sendSignal(number); }
    void signalAgent(std::size_t agent, int number) const { agents_[agent].process_->sendSignal(number); }
    const Contract::Process& entryProcess(std::size_t entry) const { return *entries_[entry].process_; }
    const Contract::Process& agentProcess(std::size_t agent) const { return *agents_[agent].process_; }
    void killEntry(std::size_t entry);
    void startEntry(std::size_t entry);
    void killAgent(std::size_t agent);
    void startAgent(std::size_t agent);
    /// Waits for the exit of a process after SIGTERM; false if the process does not exit with status 0 within `seconds`.
    /// Being ended by the signal also passes if the process has not logged its start: SIGTERM then arrived before the
    /// program handled signals, so before it had done anything.
    bool waitForEntry(std::size_t entry, int seconds);
    bool waitForAgent(std::size_t agent, int seconds);

    /// Relay in front of an entry's link address.
    Contract::Relay& linkRelay(std::size_t entry) { return *entries_[entry].relay_; }
    /// Relay between an agent and its target.
    Contract::Relay& targetRelay(std::size_t agent) { return *agents_[agent].relay_; }
    /// Relay between all processes and the store.
    Contract::Relay& storeRelay() { return *storeRelay_; }
    const std::string& storeAddress() const { return storeAddress_; }
    const std::string& targetAddress(std::size_t agent) const { return agents_[agent].targetAddress_; }

private:
    /// The log file of a process, and the offset in bytes at which the output of its current incarnation begins.
    struct LogFile {
        std::string path_;
        std::size_t incarnationOffset_ { 0 };
    };

    /// Names the agents such that each entry is among the choices of one of them while all entries can be reached.
    void nameAgents();
    bool isEachEntryChosen() const;

    static void markIncarnationStart(LogFile& log);
    static bool waitForCleanExit(Contract::Process& process, const LogFile& log, int seconds);

    struct Entry {
        LogFile log_;
        std::string frontAddress_;
        std::string readyAddress_;
        std::string linkAddress_;
        std::string relayAddress_;
        std::string metricsAddress_;
        std::unique_ptr<Contract::Relay> relay_;
        std::unique_ptr<Contract::Process> process_;
    };

    struct Agent {
        std::string name_;
        LogFile log_;
        std::string controlAddress_;
        std::string metricsAddress_;
        std::string targetAddress_;
        std::string relayAddress_;
        std::unique_ptr<Contract::Relay> relay_;
        std::unique_ptr<Contract::Process> target_;
        std::unique_ptr<Contract::Process> process_;
    };

    Contract::TemporaryFolder folder_;
    std::uint64_t entryDescriptors_;
    std::size_t maxEntries_;
    std::atomic<std::uint64_t> configurationVersion_ { 1 };
    std::string storeAddress_;
    std::string storeRelayAddress_;
    std::unique_ptr<Contract::Process> storeProcess_;
    std::unique_ptr<Contract::Relay> storeRelay_;
    std::vector<Entry> entries_;
    std::vector<Agent> agents_;
};

} // namespace Lagoonpick::Soak
