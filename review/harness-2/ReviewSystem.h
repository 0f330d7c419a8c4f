#pragma once

#include "ContractTests/Support/Process.h"
#include "Record.h"

#include <memory>
#include <vector>

namespace Lagoonpick::Review2 {

/// A begin or an end of a run, as a target recorded it.
struct RunEvent {
    std::int64_t atMs_ { 0 };
    /// `began` or `ended`.
    std::string what_;
    std::string task_;
    std::uint32_t number_ { 0 };
    /// How the run ended; `-` for a begin.
    std::string how_;
    std::string target_;
};

/// A small deployment on loopback addresses: the programs of the deploy file with the settings that its templates give on the site,
/// the project's stand-in for the store, and one for each agent's target.
class ReviewSystem {
public:
    /// Starts all processes from the repository's root.
    ReviewSystem(Record& record, std::size_t entries, std::size_t agents);

    /// Waits until all entries are ready; false if that takes longer than 20 s.
    bool waitUntilReady() const;
    bool isReady(std::size_t entry) const;
    /// False if the process has ended by itself.
    bool isRunning(std::size_t entry);

    const std::string& frontAddress(std::size_t entry) const { return entries_[entry].frontAddress_; }
    const Contract::Process& entryProcess(std::size_t entry) const { return *entries_[entry].process_; }

    /// What ran on the targets so far, in the order of time.
    std::vector<RunEvent> runEvents() const;

private:
    struct Entry {
        std::string frontAddress_;
        std::string readyAddress_;
        std::unique_ptr<Contract::Process> process_;
    };
    struct Agent {
        std::unique_ptr<Contract::Process> target_;
        std::unique_ptr<Contract::Process> process_;
    };

    void startStore();
    void startEntry(std::size_t number);
    void startAgent(std::size_t number);
    /// Starts a program of the deploy file with these settings.
    std::unique_ptr<Contract::Process> startProgram(const std::string& program, const std::string& name, const std::string& settings) const;

    Record& record_;
    Contract::TemporaryFolder folder_;
    std::string storeAddress_;
    std::unique_ptr<Contract::Process> store_;
    std::vector<Entry> entries_;
    std::vector<Agent> agents_;
};

} // namespace Lagoonpick::Review2
