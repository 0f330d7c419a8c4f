#include "ContractTests/Support/Caller.h"
#include "Soak/FaultInjector.h"
#include "Soak/RunRecord.h"
#include "Soak/SoakSystem.h"
#include "UnitTests/Support/Environment.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <iostream>
#include <list>
#include <thread>

namespace Lagoonpick::Soak {

namespace {

using std::chrono::milliseconds;

constexpr int maxAttempts = 3;
/// Delay until a caller resubmits a job that got no final answer; the programs' default resend interval.
constexpr auto resendInterval = milliseconds(1300);
/// Which processes run, who uses them, and how many faults overlap on each side.
struct SoakPlan {
    SoakSize size_;
    std::size_t callers_ { 8 };
    std::size_t injectorsPerSide_ { 1 };
};

/// As many processes as in the incident of issue 32; for runs by hand.
constexpr SoakPlan incidentPlan { .size_ = { .entries_ = 14, .agents_ = 74, .maxEntries_ = 4 }, .callers_ = 56, .injectorsPerSide_ = 4 };

SoakPlan planFromEnvironment()
{
    SoakPlan plan = std::getenv("SOAK_INCIDENT_SIZE") ? incidentPlan : SoakPlan();
    plan.size_.entries_ = numberFromEnvironment("SOAK_ENTRIES", plan.size_.entries_);
    plan.size_.agents_ = numberFromEnvironment("SOAK_AGENTS", plan.size_.agents_);
    plan.callers_ = numberFromEnvironment("SOAK_CALLERS", plan.callers_);
    plan.injectorsPerSide_ = numberFromEnvironment("SOAK_INJECTORS", plan.injectorsPerSide_);
    return plan;
}

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
        // Some run for longer than it takes until a lost run is placed anew.
        auto workMs = random() % 3 ? 20 + random() % 200 : 300 + random() % 1200;
        auto body = fmt::format(R"({{"spec":"work_ms={} cpu=1000","steps":[{{"count":{},"cpu":1000,"mem_mb":1,"estimate_ms":{}}}],"best_effort":true}})", workMs, tasks, std::max<std::uint64_t>(workMs, 100));
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

void copyLogs(const SoakSystem& system, const std::string& folder)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    std::filesystem::copy(system.logFolder(), folder, std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing, error);
    if (error)
        std::cout << "  can't copy the logs: " << error.message() << std::endl;
}

/// The injectors of both sides, each with a thread of its own.
class FaultInjectors {
public:
    FaultInjectors(SoakSystem& system, std::size_t perSide, std::uint64_t seed)
    {
        constexpr std::uint64_t seedsPerSide = 1'000'000;
        for (std::size_t i = 0; i < perSide; ++i) {
            injectors_.emplace_back(system, FaultInjector::Side::EntriesAndStore, FaultInjector::Share { i, perSide }, seed + 2 * i * seedsPerSide);
            injectors_.emplace_back(system, FaultInjector::Side::AgentsAndTargets, FaultInjector::Share { i, perSide }, seed + (2 * i + 1) * seedsPerSide);
        }
    }

    void run(std::chrono::steady_clock::time_point until)
    {
        std::vector<std::thread> threads;
        for (auto& injector : injectors_)
            threads.emplace_back([&] { injector.run(until); });
        for (auto& thread : threads)
            thread.join();
    }

    std::string trace() const
    {
        std::string text;
        for (const auto& injector : injectors_)
            text += injector.trace() + "| ";
        return text;
    }

    void appendViolations(std::vector<std::string>& violations) const
    {
        for (const auto& injector : injectors_)
            violations.insert(violations.end(), injector.violations().begin(), injector.violations().end());
    }

private:
    std::list<FaultInjector> injectors_;
};

/// Runs the system and its callers under the faults of one seed for `span`; returns the violations.
std::vector<std::string> runSeed(std::uint64_t seed, const SoakPlan& plan, std::chrono::seconds span)
{
    SoakSystem system(plan.size_);
    if (!system.waitUntilReady(20))
        return { "the entries did not become ready within 20 s" };
    CallerRecord record;
    std::atomic<bool> isOver { false };
    std::vector<std::thread> callers;
    callers.reserve(plan.callers_);
    for (std::size_t i = 0; i < plan.callers_; ++i)
        callers.emplace_back([&, i] { submitJobs(system, record, seed * plan.callers_ + i, isOver); });
    FaultInjectors injectors(system, plan.injectorsPerSide_, seed);
    injectors.run(std::chrono::steady_clock::now() + span);
    // All faults are undone: the system must complete jobs again.
    bool isReady = system.waitUntilReady(10);
    std::size_t doneBefore = record.doneCount();
    std::this_thread::sleep_for(std::chrono::seconds(2));
    isOver = true;
    for (auto& caller : callers)
        caller.join();
    system.waitForTargets();
    auto violations = checkRuns(system.recordFile(), record);
    injectors.appendViolations(violations);
    if (!isReady || record.doneCount() <= doneBefore)
        violations.push_back("the system was not ready again or completed no job after the faults had ended");
    std::cout << "seed " << seed << ": " << record.jobs().size() << " jobs, " << record.doneCount() << " done, " << violations.size() << " violations; faults " << injectors.trace() << std::endl;
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
    SoakPlan plan = planFromEnvironment();
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        auto violations = runSeed(seed, plan, std::chrono::seconds(numberFromEnvironment("SOAK_SECONDS", 8)));
        INFO("seed " << seed);
        for (const auto& text : violations)
            UNSCOPED_INFO(text);
        CHECK(violations.empty());
    }
}

} // namespace Lagoonpick::Soak
