#include "Lagoonpick/Dispatch/EntryCore.h"
#include "Lagoonpick/Ledger/AgentCore.h"

#include <boost/program_options.hpp>
#include <chrono>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <malloc.h>

namespace {

using namespace Lagoonpick;
namespace options = boost::program_options;

constexpr std::int64_t beginMilliseconds = 1'800'000'000'000;
constexpr std::uint32_t tasksPerJob = 100;
/// Small enough for the messages of one turn to stay in the CPU cache, as between two reads of a busy socket.
constexpr std::uint32_t jobsPerTurn = 5;
constexpr std::uint32_t slotsPerTarget = 8;

std::size_t allocatedBytes()
{
    return mallinfo2().uordblks;
}

double secondsSince(std::chrono::steady_clock::time_point startedAt)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
}

std::string jobBody()
{
    std::string body = R"({"tasks":[{"payload":"50000"})";
    for (std::uint32_t i = 1; i < tasksPerJob; ++i)
        body += R"(,{"payload":"50000"})";
    return body + "]}";
}

/// The decision core of one entry, with simulated agents that answer every start at once.
class EntryBench {
public:
    explicit EntryBench(std::uint32_t targets)
        : core_(settings(), Incarnation(1), 1)
    {
        auto view = std::make_shared<PlatformView>();
        view->revision_ = 1;
        for (std::uint32_t i = 0; i < targets; ++i) {
            Registration registration { .target_ = fmt::format("target-{}", i), .service_ = "default", .availabilityZone_ = "a", .address_ = "127.0.0.1:1", .agent_ = Incarnation(1000 + i), .registeredAt_ = now_, .ledgerLostAt_ = {} };
            view->targets_[registration.target_] = registration;
        }
        core_.viewChanged(now_, view, true);
        for (std::uint32_t i = 0; i < targets; ++i) {
            LinkId link { i + 1 };
            core_.linkOpened(now_, link);
            core_.receive(now_, link, Wire::Hello { .role_ = Wire::Role::Agent, .incarnation_ = Incarnation(1000 + i), .generation_ = 1, .name_ = fmt::format("target-{}", i), .availabilityZone_ = "a", .service_ = "default", .load_ = { .slots_ = slotsPerTarget } });
        }
        core_.takeEffects();
    }

    void submit(std::uint32_t number)
    {
        auto id = SubmissionId::issue(Incarnation(1), now_, number);
        core_.handle(now_, { .request_ = RequestId(number), .submission_ = id, .until_ = now_ + std::chrono::minutes(1), .body_ = body_ });
    }

    /// Advances the clock by 100 us, runs a tick and answers every start; returns the number of starts.
    std::size_t runTurn()
    {
        now_ += std::chrono::microseconds(100);
        core_.tick(now_);
        auto effects = core_.takeEffects();
        std::size_t starts = 0;
        for (const auto& item : effects.messages_) {
            const auto* start = std::get_if<Wire::Start>(&item.message_);
            if (!start)
                continue;
            ++starts;
            core_.receive(now_, item.link_, Wire::Result { .key_ = start->key_, .attempt_ = start->attempt_, .outcome_ = Wire::TaskOutcome::Succeeded, .status_ = 200, .runMicroseconds_ = 50'000, .body_ = "ok", .load_ = { .slots_ = slotsPerTarget } });
        }
        return starts;
    }

private:
    static EntrySettings settings()
    {
        EntrySettings settings;
        settings.name_ = "bench";
        settings.linkTimeout_ = std::chrono::hours(1);
        settings.maxTasksHeld_ = 10'000'000;
        // Every job must be accepted: the benchmark runs until all tasks have been started.
        settings.maxBacklog_ = std::chrono::hours(10'000);
        return settings;
    }

    Time now_ { fromUnixMilliseconds(beginMilliseconds) };
    std::string body_ = jobBody();
    EntryCore core_;
};

void measureDecisions(std::uint32_t targets, std::uint32_t jobs)
{
    std::size_t before = allocatedBytes();
    EntryBench bench(targets);
    std::size_t withTargets = allocatedBytes();
    std::size_t total = static_cast<std::size_t>(jobs) * tasksPerJob;
    double submitSeconds = 0;
    double seconds = 0;
    std::uint32_t submitted = 0;
    for (std::size_t decisions = 0; decisions < total;) {
        auto submitStartedAt = std::chrono::steady_clock::now();
        for (std::uint32_t i = 0; i < jobsPerTurn && submitted < jobs; ++i)
            bench.submit(++submitted);
        submitSeconds += secondsSince(submitStartedAt);
        auto startedAt = std::chrono::steady_clock::now();
        decisions += bench.runTurn();
        seconds += secondsSince(startedAt);
    }
    std::size_t withAnswers = allocatedBytes();
    for (std::uint32_t i = 1; i <= jobs; ++i)
        bench.submit(submitted + i);
    std::size_t withTasks = allocatedBytes();
    std::cout << fmt::format(R"({{"bench":"decisions","targets":{},"tasks":{},"decisions_per_s":{:.0f},"ns_per_decision":{:.0f},"submit_ns_per_task":{:.0f},"bytes_per_target":{},"bytes_per_answered_task":{},"bytes_per_waiting_task":{}}})",
        targets, total, static_cast<double>(total) / seconds, seconds * 1e9 / static_cast<double>(total),
        submitSeconds * 1e9 / static_cast<double>(total), (withTargets - before) / targets, (withAnswers - withTargets) / total, (withTasks - withAnswers) / total)
              << "\n";
}

void measureLedger(std::uint32_t rows)
{
    AgentSettings settings;
    settings.name_ = "bench";
    settings.service_ = "default";
    settings.slots_ = 1'000'000;
    settings.linkTimeout_ = std::chrono::hours(1);
    AgentCore core(settings, Incarnation(2));
    core.becomeReady(1, {});
    Time now = fromUnixMilliseconds(beginMilliseconds);
    LinkId link { 1 };
    core.linkOpened(now, link);
    core.receive(now, link, Wire::Hello { .incarnation_ = Incarnation(1), .name_ = "entry" });
    core.takeEffects();
    std::size_t before = allocatedBytes();
    auto startedAt = std::chrono::steady_clock::now();
    for (std::uint32_t i = 0; i < rows; ++i) {
        TaskKey key { SubmissionId::issue(Incarnation(1), now, i / tasksPerJob), i % tasksPerJob };
        core.receive(now, link, Wire::Start { .key_ = key, .attempt_ = 1, .taskCount_ = tasksPerJob, .service_ = "default", .timeoutMilliseconds_ = 1000, .payload_ = "50000" });
        core.tick(now);
        core.targetEnded(now, { .key_ = key, .answer_ = TargetAnswer::Answered, .status_ = 200, .body_ = "done" });
        core.receive(now, link, Wire::ResultAcks { { key } });
        core.takeEffects();
    }
    double seconds = secondsSince(startedAt);
    std::cout << fmt::format(R"({{"bench":"ledger","rows":{},"starts_per_s":{:.0f},"bytes_per_row":{}}})", rows, rows / seconds, (allocatedBytes() - before) / rows) << "\n";
}

} // namespace

int main(int argc, char** argv)
{
    std::uint32_t jobs = 10'000;
    options::options_description description("DecisionBenchmark: cost of the decision library alone, on one CPU core");
    description.add_options()("help", "print this text")("jobs", options::value(&jobs), "jobs of 100 tasks per measurement");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    for (std::uint32_t targets : { 11U, 100U, 1000U, 5900U })
        measureDecisions(targets, jobs);
    measureLedger(jobs * 10);
    return 0;
}
