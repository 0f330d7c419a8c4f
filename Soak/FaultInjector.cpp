#include "Soak/FaultInjector.h"

#include "ContractTests/Support/Caller.h"

#include <array>
#include <csignal>
#include <thread>

namespace Lagoonpick::Soak {

using Contract::Relay;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Longest silence of a relay that ends without a cut. After a longer silence, either end may have given up the
/// connection, so the relay is cut: no byte is delivered after a reset.
constexpr auto maxSilenceWithoutCut = milliseconds(300);
/// Time that a process has to exit after SIGTERM.
constexpr int graceSeconds = 7;

/// Stops a process again and again, each time for less than counts as a suspension.
void pulse(const std::function<void(int)>& signal, std::uint64_t seed, steady_clock::time_point until)
{
    std::mt19937_64 random(seed);
    while (steady_clock::now() < until) {
        signal(SIGSTOP);
        std::this_thread::sleep_for(milliseconds(100 + random() % 290));
        signal(SIGCONT);
        std::this_thread::sleep_for(milliseconds(5 + random() % 60));
    }
}

} // namespace

FaultInjector::FaultInjector(SoakSystem& system, Side side, Share share, std::uint64_t seed)
    : system_(system)
    , side_(side)
    , share_(share)
    , random_(seed)
{
}

void FaultInjector::run(steady_clock::time_point until)
{
    while (steady_clock::now() < until) {
        injectFault();
        pause(20, 400);
    }
}

void FaultInjector::injectFault()
{
    static constexpr std::array<NamedFault, 13> entryFaults { { { "entry-kill", &FaultInjector::killEntry }, { "entry-freeze", &FaultInjector::suspendEntry }, { "entry-term", &FaultInjector::shutDownEntry },
        { "link-silence", &FaultInjector::silenceLink }, { "store", &FaultInjector::injectStoreFault }, { "configure", &FaultInjector::configure },
        { "entry-term-freeze", &FaultInjector::suspendEntryAtShutdown }, { "entry-hups", &FaultInjector::reloadEntry },
        { "entry-starved", &FaultInjector::starveEntries }, { "link-slow", &FaultInjector::slowLink }, { "link-narrow", &FaultInjector::narrowLink }, { "link-one-way", &FaultInjector::loseWayUp }, { "evacuate", &FaultInjector::evacuateZone } } };
    static constexpr std::array<NamedFault, 12> agentFaults { { { "agent-kill", &FaultInjector::killAgent }, { "agent-freeze", &FaultInjector::suspendAgent }, { "agent-term", &FaultInjector::shutDownAgent },
        { "target-silence", &FaultInjector::silenceTarget }, { "target", &FaultInjector::injectTargetFault }, { "target-restart", &FaultInjector::restartTarget }, { "link-cut", &FaultInjector::cutLink },
        { "agent-term-kill", &FaultInjector::killAgentAtShutdown }, { "agent-hups", &FaultInjector::reloadAgent },
        { "agent-starved", &FaultInjector::starveAgents }, { "link-slow", &FaultInjector::slowLink }, { "link-one-way", &FaultInjector::loseWayUp } } };
    if (side_ == Side::EntriesAndStore)
        injectOneOf(entryFaults);
    else
        injectOneOf(agentFaults);
}

void FaultInjector::injectPassiveFault()
{
    static constexpr std::array<NamedFault, 6> faults { { { "link-cut", &FaultInjector::cutLink }, { "link-silence", &FaultInjector::silenceLink }, { "target", &FaultInjector::injectTargetFault }, { "target-restart", &FaultInjector::restartTarget }, { "link-slow", &FaultInjector::slowLink }, { "link-one-way", &FaultInjector::loseWayUp } } };
    injectOneOf(faults);
}

void FaultInjector::injectOneOf(std::span<const NamedFault> faults)
{
    auto [name, inject] = faults[random_() % faults.size()];
    trace_ += std::string(name) + " ";
    (this->*inject)();
}

std::size_t FaultInjector::choose(std::size_t total)
{
    std::size_t own = (total - share_.index_ + share_.count_ - 1) / share_.count_;
    return share_.index_ + share_.count_ * (random_() % own);
}

void FaultInjector::pause(int minMs, int maxMs)
{
    std::this_thread::sleep_for(milliseconds(between(minMs, maxMs)));
}

void FaultInjector::evacuateZone()
{
    system_.evacuate(SoakSystem::secondZone);
    pause(100, 2500);
    system_.withdrawEvacuation(SoakSystem::secondZone);
}

void FaultInjector::killEntry()
{
    auto victim = entry();
    system_.killEntry(victim);
    pause(50, 500);
    system_.startEntry(victim);
}

void FaultInjector::killAgent(std::size_t victim)
{
    system_.killAgent(victim);
    pause(20, 800);
    system_.startAgent(victim);
}

void FaultInjector::suspendEntry()
{
    auto victim = entry();
    system_.signalEntry(victim, SIGSTOP);
    pause(100, 2500);
    system_.signalEntry(victim, SIGCONT);
}

void FaultInjector::suspendAgent()
{
    auto victim = agent();
    system_.signalAgent(victim, SIGSTOP);
    pause(100, 2000);
    system_.signalAgent(victim, SIGCONT);
}

/// Shuts an entry down gracefully and starts it again, as for an update.
void FaultInjector::shutDownEntry()
{
    auto victim = entry();
    system_.signalEntry(victim, SIGTERM);
    if (!system_.waitForEntry(victim, graceSeconds))
        violations_.push_back("an entry did not exit cleanly in time after SIGTERM");
    system_.startEntry(victim);
}

void FaultInjector::shutDownAgent()
{
    auto victim = agent();
    system_.signalAgent(victim, SIGTERM);
    if (!system_.waitForAgent(victim, graceSeconds))
        violations_.push_back("an agent did not exit cleanly in time after SIGTERM");
    system_.startAgent(victim);
}

/// Suspends an entry during its graceful shutdown, for a part of the time allowed for the shutdown.
void FaultInjector::suspendEntryAtShutdown()
{
    auto victim = entry();
    system_.signalEntry(victim, SIGTERM);
    pause(20, 1000);
    system_.signalEntry(victim, SIGSTOP);
    pause(50, 800);
    system_.signalEntry(victim, SIGCONT);
    system_.signalEntry(victim, SIGTERM);
    if (!system_.waitForEntry(victim, graceSeconds))
        violations_.push_back("an entry suspended during its shutdown did not exit cleanly in time");
    system_.startEntry(victim);
}

/// Kills an agent soon after the start of its graceful shutdown.
void FaultInjector::killAgentAtShutdown()
{
    auto victim = agent();
    system_.signalAgent(victim, SIGTERM);
    pause(5, 300);
    killAgent(victim);
}

/// Requests several reloads in a row, with a dump of the state between them.
void FaultInjector::reloadEntry()
{
    auto victim = entry();
    for (int number : { SIGHUP, SIGUSR1, SIGHUP, SIGHUP })
        system_.signalEntry(victim, number);
}

void FaultInjector::reloadAgent()
{
    auto victim = agent();
    for (int number : { SIGHUP, SIGUSR1, SIGHUP, SIGHUP })
        system_.signalAgent(victim, number);
}

void FaultInjector::starveEntries()
{
    starve(system_.entryCount(), &SoakSystem::signalEntry);
}

void FaultInjector::starveAgents()
{
    starve(system_.agentCount(), &SoakSystem::signalAgent);
}

void FaultInjector::starve(std::size_t total, Signal signal)
{
    auto until = steady_clock::now() + milliseconds(between(1000, 3000));
    std::vector<std::thread> pulses;
    for (auto victim : chooseSome(total))
        pulses.emplace_back(
            pulse, [this, signal, victim](int number) { (system_.*signal)(victim, number); }, random_(), until);
    while (steady_clock::now() < until) {
        pause(20, 400);
        injectPassiveFault();
    }
    for (auto& thread : pulses)
        thread.join();
}

std::vector<std::size_t> FaultInjector::chooseSome(std::size_t total)
{
    std::vector<std::size_t> chosen;
    for (std::size_t i = share_.index_; i < total; i += share_.count_) {
        if (random_() % 2)
            chosen.push_back(i);
    }
    if (chosen.empty())
        chosen.push_back(choose(total));
    return chosen;
}

std::vector<Relay::Way> FaultInjector::chooseWays()
{
    std::vector<Relay::Way> ways { Relay::Way::Up, Relay::Way::Down };
    if (auto only = random_() % 3; only < ways.size())
        ways = { ways[only] };
    return ways;
}

/// Makes a link slow little by little, then fast again; the connections stay.
void FaultInjector::slowLink()
{
    constexpr std::array peaks { milliseconds(300), milliseconds(600), milliseconds(2000) };
    Relay& relay = link();
    auto ways = chooseWays();
    auto peak = peaks[random_() % peaks.size()];
    milliseconds span(between(1000, 3000));
    for (auto way : ways)
        relay.setLatency(way, peak, span);
    std::this_thread::sleep_for(span);
    for (auto way : ways)
        relay.setLatency(way, milliseconds(0), span / 2);
    std::this_thread::sleep_for(span / 2);
}

/// Limits a link to less than its messages need.
void FaultInjector::narrowLink()
{
    Relay& relay = link();
    auto ways = chooseWays();
    for (auto way : ways)
        relay.setRate(way, between(2000, 20'000));
    pause(1000, 3000);
    for (auto way : ways)
        relay.setRate(way, 0);
}

/// Loses the way to an entry while the way back gets slow: the entry gives its agents up, and they learn it late.
void FaultInjector::loseWayUp()
{
    constexpr auto recovery = milliseconds(300);
    constexpr std::array peaks { milliseconds(300), milliseconds(600), milliseconds(2000) };
    Relay& relay = link();
    milliseconds span(between(1000, 3000));
    relay.setLatency(Relay::Way::Down, peaks[random_() % peaks.size()], span);
    pause(20, 500);
    relay.setSilent(Relay::Way::Up, true);
    std::this_thread::sleep_for(span);
    relay.setLatency(Relay::Way::Down, milliseconds(0), recovery);
    relay.setSilent(Relay::Way::Up, false);
}

void FaultInjector::silence(Relay& relay, int span)
{
    relay.setSilent(true);
    std::this_thread::sleep_for(milliseconds(span));
    if (milliseconds(span) > maxSilenceWithoutCut)
        relay.cut();
    relay.setSilent(false);
}

void FaultInjector::injectStoreFault()
{
    constexpr std::array<const char*, 3> faults { "outage", "slow", "lose_answers" };
    Contract::call(system_.storeAddress(), "POST", "/standin/fault", faults[random_() % faults.size()]);
    pause(300, 2000);
    Contract::call(system_.storeAddress(), "POST", "/standin/fault", "none");
    if (random_() % 2)
        silence(system_.storeRelay(), 800);
}

void FaultInjector::injectTargetFault()
{
    auto victim = random_() % system_.agentCount();
    if (random_() % 2) {
        Contract::call(system_.targetAddress(victim), "POST", "/standin/late");
        return;
    }
    Contract::call(system_.targetAddress(victim), "POST", "/standin/fail", "on");
    pause(200, 1000);
    Contract::call(system_.targetAddress(victim), "POST", "/standin/fail", "off");
}

/// Starts a target anew under its id. What was on its way to the former one is lost.
void FaultInjector::restartTarget()
{
    auto victim = random_() % system_.agentCount();
    Relay& relay = system_.targetRelay(victim);
    relay.setSilent(true);
    Contract::call(system_.targetAddress(victim), "POST", "/standin/restart");
    relay.cut();
    relay.setSilent(false);
}

} // namespace Lagoonpick::Soak
