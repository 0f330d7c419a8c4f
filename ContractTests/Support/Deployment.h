#pragma once

#include "ContractTests/Support/Process.h"
#include "ContractTests/Support/Relay.h"

#include <memory>
#include <string>
#include <vector>

namespace Lagoonpick::Contract {

/// The size and settings of a deployment.
struct DeploymentPlan {
    std::size_t entries_ { 2 };
    std::size_t agents_ { 2 };
    /// Slots of each target.
    std::uint32_t slots_ { 4 };
    /// Entries connect to agents without a relay; for benchmarks.
    bool hasDirectLinks_ { false };
    /// Keeps the programs' default times instead of the short ones for tests; for benchmarks.
    bool hasDefaultTimes_ { false };
    /// Appended to the settings file of every entry.
    std::string extraEntrySettings_;
    /// Appended to the settings file of every agent.
    std::string extraAgentSettings_;
};

/// A small system on loopback, each part a process: stand-ins for the platform and the targets, entries and agents. Entries
/// connect to each agent through a relay. Leases and timeouts are short, so that the effects of faults show within seconds.
/// Const functions may be called from any thread, the others only from one thread at a time.
class Deployment {
public:
    explicit Deployment(DeploymentPlan plan);

    /// Waits until every entry has its links to all agents and all other entries; returns false if that takes over 20 s.
    bool waitUntilConnected() const;

    void startEntry(std::size_t entry);
    void startAgent(std::size_t agent);

    /// Kills the stand-in of a target (SIGKILL).
    void killTarget(std::size_t agent) { targets_[agent]->kill(); }

    Process& entry(std::size_t entry) { return *entries_[entry]; }
    Process& agent(std::size_t agent) { return *agents_[agent]; }
    Relay& relay(std::size_t agent) { return *relays_[agent]; }
    const std::string& callerAddress(std::size_t entry) const { return callerAddresses_[entry]; }
    const std::string& peerAddress(std::size_t entry) const { return peerAddresses_[entry]; }
    const std::string& agentAddress(std::size_t agent) const { return agentAddresses_[agent]; }
    const std::string& agentDebugAddress(std::size_t agent) const { return debugAddresses_[agent]; }
    const std::string& targetAddress(std::size_t agent) const { return targetAddresses_[agent]; }
    const std::string& platformAddress() const { return platformAddress_; }

    /// Sets the fault that the platform's stand-in simulates: `outage`, `slow`, `lose_answers` or `none`.
    void setPlatformFault(const std::string& fault) const;

    /// Sets how the stand-in of a target responds to starts: `work`, `fail` or `stall`.
    void setTargetMode(std::size_t agent, const std::string& mode) const;

    /// Returns the idempotency keys ("submission/task") of all starts that the targets have recorded, in order.
    std::vector<std::string> starts() const;

    /// Returns the log of one process so far, e.g. of "entry-0" or "agent-1".
    std::string log(const std::string& name) const;

private:
    DeploymentPlan plan_;
    TemporaryFolder folder_;
    std::string platformAddress_;
    std::vector<std::string> callerAddresses_;
    std::vector<std::string> peerAddresses_;
    std::vector<std::string> agentAddresses_;
    std::vector<std::string> relayAddresses_;
    std::vector<std::string> debugAddresses_;
    std::vector<std::string> targetAddresses_;
    std::unique_ptr<Process> platform_;
    std::vector<std::unique_ptr<Process>> targets_;
    std::vector<std::unique_ptr<Relay>> relays_;
    std::vector<std::unique_ptr<Process>> agents_;
    std::vector<std::unique_ptr<Process>> entries_;
};

} // namespace Lagoonpick::Contract
