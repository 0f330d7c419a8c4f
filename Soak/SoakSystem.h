#pragma once

#include "ContractTests/Support/Process.h"
#include "ContractTests/Support/Relay.h"

#include <memory>
#include <random>

namespace Lagoonpick::Soak {

/// How many of each there are.
struct SoakSize {
    std::size_t entries_ { 3 };
    std::size_t agents_ { 4 };
    /// How many descriptors an entry may have open, which its settings tell it.
    std::uint64_t entryDescriptors_ { 4096 };
};

/// The programs of the users' platform as separate processes, with stand-ins for its store and its targets, and a
/// relay on each link and on the way to the store.
class SoakSystem {
public:
    explicit SoakSystem(SoakSize size);

    const std::string& front(std::size_t entry) const { return entries_[entry].front_; }
    const std::string& ready(std::size_t entry) const { return entries_[entry].ready_; }
    const std::string& entryMetrics(std::size_t entry) const { return entries_[entry].metrics_; }
    const std::string& agentMetrics(std::size_t agent) const { return agents_[agent].metrics_; }
    const std::string& control(std::size_t agent) const { return agents_[agent].control_; }
    std::size_t entryCount() const { return entries_.size(); }
    std::size_t agentCount() const { return agents_.size(); }
    std::string recordFile() const { return folder_.path() + "/runs"; }
    std::string logs() const { return folder_.path(); }

    /// True once every entry is ready.
    bool waitUntilReady(int seconds) const;

    /// Writes a version of the configuration into the store.
    void configure(std::uint64_t version) const;

    /// Sends a signal to an entry's or agent's process; one that ends is started again after a pause.
    void signalEntry(std::size_t entry, int number) const { entries_[entry].process_->sendSignal(number); }
    void signalAgent(std::size_t agent, int number) const { agents_[agent].process_->sendSignal(number); }
    const Contract::Process& entryProcess(std::size_t entry) const { return *entries_[entry].process_; }
    const Contract::Process& agentProcess(std::size_t agent) const { return *agents_[agent].process_; }
    void killEntry(std::size_t entry);
    void startEntry(std::size_t entry);
    void killAgent(std::size_t agent);
    void startAgent(std::size_t agent);
    /// Waits for a process that was told to shut down; false if it did not end in time, or not by itself. One that SIGTERM
    /// met before the program had set up its handling of signals, so before it had done anything, may end by the signal.
    bool waitForEntry(std::size_t entry, int seconds);
    bool waitForAgent(std::size_t agent, int seconds);

    Contract::Relay& linkRelay(std::size_t entry) { return *entries_[entry].relay_; }
    Contract::Relay& targetRelay(std::size_t agent) { return *agents_[agent].relay_; }
    Contract::Relay& storeRelay() { return *storeRelay_; }
    const std::string& store() const { return storeAddress_; }
    const std::string& target(std::size_t agent) const { return agents_[agent].targetAddress_; }

private:
    /// The log of one process, and where its present life begins in it.
    struct Log {
        std::string file_;
        std::size_t lifeBegin_ { 0 };
    };

    static void beginLife(Log& log);
    static bool hasEndedWell(Contract::Process& process, const Log& log, int seconds);

    struct Entry {
        Log log_;
        std::string front_;
        std::string ready_;
        std::string link_;
        std::string relayAddress_;
        std::string metrics_;
        std::unique_ptr<Contract::Relay> relay_;
        std::unique_ptr<Contract::Process> process_;
    };

    struct Agent {
        Log log_;
        std::string control_;
        std::string metrics_;
        std::string targetAddress_;
        std::string relayAddress_;
        std::unique_ptr<Contract::Relay> relay_;
        std::unique_ptr<Contract::Process> target_;
        std::unique_ptr<Contract::Process> process_;
    };

    Contract::TemporaryFolder folder_;
    std::uint64_t entryDescriptors_;
    std::string storeAddress_;
    std::string storeRelayAddress_;
    std::unique_ptr<Contract::Process> storeProcess_;
    std::unique_ptr<Contract::Relay> storeRelay_;
    std::vector<Entry> entries_;
    std::vector<Agent> agents_;
};

} // namespace Lagoonpick::Soak
