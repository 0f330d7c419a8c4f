#include "ContractTests/Support/Caller.h"
#include "Soak/RunRecord.h"
#include "Soak/SoakSystem.h"
#include "UnitTests/Support/Environment.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <iostream>
#include <thread>

namespace Lagoonpick::Soak {

namespace {

using std::chrono::milliseconds;

constexpr int callerCount = 8;
constexpr int maxAttempts = 3;
/// Delay until a caller resubmits a job that got no final answer; the programs' default resend interval.
constexpr auto resendInterval = milliseconds(1300);
/// Longest silence of a relay that ends without a cut. After a longer silence, either end may have given up the
/// connection, so the relay is cut: no byte is delivered after a reset.
constexpr auto maxSilenceWithoutCut = milliseconds(300);

/// A caller with one connection at a time. With an odd seed the caller uses a connection as long as the entry keeps it
/// open, with an even one for a single request. Each new connection goes to a random entry.
class Caller {
public:
    Caller(const SoakSystem& system, std::uint64_t seed)
        : system_(system)
        , random_(seed)
        , reusesConnections_(seed % 2)
    {
    }

    Contract::CallerAnswer submit(const std::string& id, const std::string& body)
    {
        if (!reusesConnections_ || !connection_ || !connection_->isOpen())
            connection_ = std::make_unique<Contract::Connection>(system_.frontAddress(random_() % system_.entryCount()));
        return connection_->call("POST", "/queue/" + id, body, timeoutSeconds);
    }

private:
    static constexpr int timeoutSeconds = 3;

    const SoakSystem& system_;
    std::mt19937_64 random_;
    bool reusesConnections_;
    std::unique_ptr<Contract::Connection> connection_;
};

/// Submits jobs until `isOver` is set. Resubmits a job without a final answer, possibly to another entry, up to
/// `maxAttempts` submissions in all.
void submitJobs(const SoakSystem& system, CallerRecord& record, std::uint64_t seed, const std::atomic<bool>& isOver)
{
    std::mt19937_64 random(seed);
    Caller caller(system, seed);
    while (!isOver) {
        std::string id = fmt::format("{:016x}", random());
        auto tasks = static_cast<std::uint32_t>(1 + random() % 5);
        auto body = fmt::format(R"({{"spec":"work_ms={} cpu=1000","steps":[{{"count":{},"cpu":1000,"mem_mb":1,"estimate_ms":100}}],"best_effort":true}})", 20 + random() % 200, tasks);
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            auto answer = caller.submit(id, body);
            record.recordAnswer(id, tasks, answer.status_, answer.member("state"));
            bool isFinal = answer.status_ && answer.status_ != 502 && answer.status_ != 504;
            if (isFinal)
                break;
            std::this_thread::sleep_for(resendInterval);
        }
        std::this_thread::sleep_for(milliseconds(random() % 40));
    }
}

/// Injects faults into the system, one after the other, and undoes each before the next. Two of them run at a time, each
/// in its own thread and for its own side, so that faults overlap but no process is killed by both at once.
class FaultInjector {
public:
    enum class Side {
        EntriesAndStore,
        AgentsAndTargets,
    };

    FaultInjector(SoakSystem& system, Side side, std::uint64_t seed)
        : system_(system)
        , side_(side)
        , random_(seed)
    {
    }

    void run(std::chrono::steady_clock::time_point until)
    {
        while (std::chrono::steady_clock::now() < until) {
            injectFault();
            pause(20, 400);
        }
    }

    /// Names of the injected faults, in order.
    const std::string& trace() const { return trace_; }
    const std::vector<std::string>& violations() const { return violations_; }

private:
    void injectFault()
    {
        using NamedFault = std::pair<const char*, void (FaultInjector::*)()>;
        constexpr std::array<NamedFault, 8> entryFaults { { { "entry-kill", &FaultInjector::killEntry }, { "entry-freeze", &FaultInjector::suspendEntry }, { "entry-term", &FaultInjector::shutDownEntry },
            { "link-silence", &FaultInjector::silenceLink }, { "store", &FaultInjector::injectStoreFault }, { "configure", &FaultInjector::configure },
            { "entry-term-freeze", &FaultInjector::suspendEntryAtShutdown }, { "entry-hups", &FaultInjector::reloadEntry } } };
        constexpr std::array<NamedFault, 8> agentFaults { { { "agent-kill", &FaultInjector::killAgent }, { "agent-freeze", &FaultInjector::suspendAgent }, { "agent-term", &FaultInjector::shutDownAgent },
            { "target-silence", &FaultInjector::silenceTarget }, { "target", &FaultInjector::injectTargetFault }, { "link-cut", &FaultInjector::cutLink },
            { "agent-term-kill", &FaultInjector::killAgentAtShutdown }, { "agent-hups", &FaultInjector::reloadAgent } } };
        const auto& namedFaults = side_ == Side::EntriesAndStore ? entryFaults : agentFaults;
        auto [name, inject] = namedFaults[random_() % namedFaults.size()];
        trace_ += std::string(name) + " ";
        (this->*inject)();
    }

    /// Index of a random entry.
    std::size_t entry() { return random_() % system_.entryCount(); }
    /// Index of a random agent.
    std::size_t agent() { return random_() % system_.agentCount(); }
    void pause(int minMs, int maxMs) { std::this_thread::sleep_for(milliseconds(minMs + random_() % (maxMs - minMs))); }

    void killEntry()
    {
        auto victim = entry();
        system_.killEntry(victim);
        pause(50, 500);
        system_.startEntry(victim);
    }

    void killAgent() { killAgent(agent()); }

    void killAgent(std::size_t victim)
    {
        system_.killAgent(victim);
        pause(20, 800);
        system_.startAgent(victim);
    }

    void suspendEntry()
    {
        auto victim = entry();
        system_.signalEntry(victim, SIGSTOP);
        pause(100, 2500);
        system_.signalEntry(victim, SIGCONT);
    }

    void suspendAgent()
    {
        auto victim = agent();
        system_.signalAgent(victim, SIGSTOP);
        pause(100, 2000);
        system_.signalAgent(victim, SIGCONT);
    }

    /// Shuts an entry down gracefully and starts it again, as for an update.
    void shutDownEntry()
    {
        auto victim = entry();
        system_.signalEntry(victim, SIGTERM);
        if (!system_.waitForEntry(victim, graceSeconds))
            violations_.push_back("an entry did not exit cleanly in time after SIGTERM");
        system_.startEntry(victim);
    }

    void shutDownAgent()
    {
        auto victim = agent();
        system_.signalAgent(victim, SIGTERM);
        if (!system_.waitForAgent(victim, graceSeconds))
            violations_.push_back("an agent did not exit cleanly in time after SIGTERM");
        system_.startAgent(victim);
    }

    /// Suspends an entry during its graceful shutdown, for a part of the time allowed for the shutdown.
    void suspendEntryAtShutdown()
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
    void killAgentAtShutdown()
    {
        auto victim = agent();
        system_.signalAgent(victim, SIGTERM);
        pause(5, 300);
        killAgent(victim);
    }

    /// Requests several reloads in a row, with a dump of the state between them.
    void reloadEntry()
    {
        auto victim = entry();
        for (int number : { SIGHUP, SIGUSR1, SIGHUP, SIGHUP })
            system_.signalEntry(victim, number);
    }

    void reloadAgent()
    {
        auto victim = agent();
        for (int number : { SIGHUP, SIGUSR1, SIGHUP, SIGHUP })
            system_.signalAgent(victim, number);
    }

    void silenceLink() { silence(system_.linkRelay(entry()), static_cast<int>(random_() % 1500)); }
    void silenceTarget() { silence(system_.targetRelay(agent()), static_cast<int>(random_() % 1500)); }
    void cutLink() { system_.linkRelay(entry()).cut(); }

    /// Silences a relay for `span` milliseconds.
    void silence(Contract::Relay& relay, int span)
    {
        relay.setSilent(true);
        std::this_thread::sleep_for(milliseconds(span));
        if (milliseconds(span) > maxSilenceWithoutCut)
            relay.cut();
        relay.setSilent(false);
    }

    void injectStoreFault()
    {
        constexpr std::array<const char*, 3> faults { "outage", "slow", "lose_answers" };
        Contract::call(system_.storeAddress(), "POST", "/standin/fault", faults[random_() % faults.size()]);
        pause(300, 2000);
        Contract::call(system_.storeAddress(), "POST", "/standin/fault", "none");
        if (random_() % 2)
            silence(system_.storeRelay(), 800);
    }

    void injectTargetFault()
    {
        auto victim = agent();
        if (random_() % 2) {
            Contract::call(system_.targetAddress(victim), "POST", "/standin/late");
            return;
        }
        Contract::call(system_.targetAddress(victim), "POST", "/standin/fail", "on");
        pause(200, 1000);
        Contract::call(system_.targetAddress(victim), "POST", "/standin/fail", "off");
    }

    void configure() { system_.configure(++version_); }

    /// Time that a process has to exit after SIGTERM.
    static constexpr int graceSeconds = 7;

    SoakSystem& system_;
    Side side_;
    std::mt19937_64 random_;
    std::vector<std::string> violations_;
    std::uint64_t version_ { 1 };
    std::string trace_;
};

void copyLogs(const SoakSystem& system, const std::string& folder)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    std::filesystem::copy(system.logFolder(), folder, std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing, error);
    if (error)
        std::cout << "  can't copy the logs: " << error.message() << std::endl;
}

/// Runs the system and its callers under the faults of one seed for `span`; returns the violations.
std::vector<std::string> runSeed(std::uint64_t seed, SoakSize size, std::chrono::seconds span)
{
    SoakSystem system(size);
    if (!system.waitUntilReady(20))
        return { "the entries did not become ready within 20 s" };
    CallerRecord record;
    std::atomic<bool> isOver { false };
    std::vector<std::thread> callers;
    callers.reserve(callerCount);
    for (int i = 0; i < callerCount; ++i)
        callers.emplace_back([&, i] { submitJobs(system, record, seed * callerCount + i, isOver); });
    auto end = std::chrono::steady_clock::now() + span;
    FaultInjector first(system, FaultInjector::Side::EntriesAndStore, seed);
    FaultInjector second(system, FaultInjector::Side::AgentsAndTargets, seed + 1'000'000);
    std::thread other([&] { second.run(end); });
    first.run(end);
    other.join();
    // All faults are undone: the system must complete jobs again.
    bool isReady = system.waitUntilReady(10);
    std::size_t doneBefore = record.doneCount();
    std::this_thread::sleep_for(std::chrono::seconds(2));
    isOver = true;
    for (auto& caller : callers)
        caller.join();
    auto violations = checkRuns(system.recordFile(), record);
    violations.insert(violations.end(), first.violations().begin(), first.violations().end());
    violations.insert(violations.end(), second.violations().begin(), second.violations().end());
    if (!isReady || record.doneCount() <= doneBefore)
        violations.push_back("the system was not ready again or completed no job after the faults had ended");
    std::cout << "seed " << seed << ": " << record.jobs().size() << " jobs, " << record.doneCount() << " done, " << violations.size() << " violations; faults " << first.trace() << "| " << second.trace() << std::endl;
    for (const auto& text : violations)
        std::cout << "  " << text << std::endl;
    if (!violations.empty() && std::getenv("SOAK_KEEP_LOGS"))
        copyLogs(system, fmt::format("{}/seed-{}", std::getenv("SOAK_KEEP_LOGS"), seed));
    return violations;
}

} // namespace

TEST_CASE("Real processes keep their guarantees under faults injected from outside")
{
    std::uint64_t first = numberFromEnvironment("SOAK_FIRST_SEED", 1);
    std::uint64_t count = numberFromEnvironment("SOAK_SEEDS", 2);
    SoakSize size { numberFromEnvironment("SOAK_ENTRIES", 3), numberFromEnvironment("SOAK_AGENTS", 4) };
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        auto violations = runSeed(seed, size, std::chrono::seconds(numberFromEnvironment("SOAK_SECONDS", 8)));
        INFO("seed " << seed);
        for (const auto& text : violations)
            UNSCOPED_INFO(text);
        CHECK(violations.empty());
    }
}

} // namespace Lagoonpick::Soak
