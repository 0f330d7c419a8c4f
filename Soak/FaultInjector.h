#pragma once

#include "Soak/SoakSystem.h"

#include <chrono>
#include <functional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace Lagoonpick::Soak {

/// Injects faults into the system, one after the other, and undoes each before the next. Several of them run at a time, each
/// in its own thread and with its own processes, so that faults overlap but no process is killed by two at once.
class FaultInjector {
public:
    enum class Side {
        EntriesAndStore,
        AgentsAndTargets,
    };

    /// Which of a side's processes an injector uses: those whose index leaves the rest `index_` when divided by `count_`.
    struct Share {
        std::size_t index_ { 0 };
        std::size_t count_ { 1 };
    };

    FaultInjector(SoakSystem& system, Side side, Share share, std::uint64_t seed);

    void run(std::chrono::steady_clock::time_point until);

    /// Names of the injected faults, in order.
    const std::string& trace() const { return trace_; }
    const std::vector<std::string>& violations() const { return violations_; }

private:
    using NamedFault = std::pair<const char*, void (FaultInjector::*)()>;
    using Signal = void (SoakSystem::*)(std::size_t, int) const;

    void injectFault();
    void injectOneOf(std::span<const NamedFault> faults);
    /// A fault that starts and ends no process.
    void injectPassiveFault();

    /// Index of a random process of this injector's, of `total`.
    std::size_t choose(std::size_t total);
    std::size_t entry() { return choose(system_.entryCount()); }
    std::size_t agent() { return choose(system_.agentCount()); }
    /// The relay in front of a random entry, whoever uses its process.
    Contract::Relay& link() { return system_.linkRelay(random_() % system_.entryCount()); }
    int between(int min, int max) { return min + static_cast<int>(random_() % (max - min)); }
    void pause(int minMs, int maxMs);

    void killEntry();
    void suspendEntry();
    void shutDownEntry();
    void suspendEntryAtShutdown();
    void reloadEntry();
    void starveEntries();
    void injectStoreFault();
    void evacuateZone();
    void configure() { system_.configureAnew(); }

    void killAgent() { killAgent(agent()); }
    void killAgent(std::size_t victim);
    void suspendAgent();
    void shutDownAgent();
    void killAgentAtShutdown();
    void reloadAgent();
    void starveAgents();
    void silenceTarget() { silence(system_.targetRelay(agent()), between(0, 1500)); }
    void injectTargetFault();
    void restartTarget();

    void silenceLink() { silence(link(), between(0, 1500)); }
    void cutLink() { link().cut(); }
    void slowLink();
    void narrowLink();
    void loseWayUp();

    /// Silences a relay for `span` milliseconds.
    static void silence(Contract::Relay& relay, int span);
    /// Gives some of the processes little processor time for a while, with other faults meanwhile.
    void starve(std::size_t total, Signal signal);
    std::vector<std::size_t> chooseSome(std::size_t total);
    std::vector<Contract::Relay::Way> chooseWays();

    SoakSystem& system_;
    Side side_;
    Share share_;
    std::mt19937_64 random_;
    std::vector<std::string> violations_;
    std::string trace_;
};

} // namespace Lagoonpick::Soak
