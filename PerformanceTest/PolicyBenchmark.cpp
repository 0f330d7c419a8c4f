#include "Load/VirtualSystem.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <iostream>

namespace {

using namespace Lagoonpick;
namespace options = boost::program_options;

constexpr std::uint32_t targetCount = 11;
constexpr std::uint32_t slotsPerTarget = 8;
constexpr double stragglerFactor = 10;

double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

double mean(const std::vector<double>& values)
{
    double sum = 0;
    for (double value : values)
        sum += value;
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

/// The parameters of one measurement.
struct BenchmarkCase {
    std::string policy_;
    std::uint32_t entries_ { 3 };
    /// Offered load, as a share of the capacity of the targets.
    double load_ { 0.8 };
    std::uint32_t jobs_ { 6000 };
    std::uint64_t seed_ { 1 };
    std::uint32_t queueDepth_ { 6 };
    std::uint32_t betweenZonesMicroseconds_ { 500 };
    /// Indices of faulty targets; none if negative. See `VirtualPlan`.
    std::int32_t failingTarget_ { -1 };
    std::int32_t stalledTarget_ { -1 };
    std::int32_t stragglerTarget_ { -1 };
    /// Declared work differs from the work by up to this factor.
    double declaredError_ { 10 };
    std::uint32_t duePerTaskMilliseconds_ { 20 };
    /// Long tasks per thousand tasks, and large jobs per thousand jobs.
    std::uint32_t longTasks_ { 10 };
    std::uint32_t largeJobs_ { 2 };
};

/// The reference deployment: 11 targets of 8 slots with speeds from 1 to 4, tasks of 50 ms to 1 s and a few of 4 s. The
/// arrival rate makes the offered load `item.load_` of the capacity of the targets.
Scenario scenarioOf(const BenchmarkCase& item)
{
    Scenario scenario;
    scenario.service_ = "default";
    scenario.seed_ = item.seed_;
    scenario.jobs_ = item.jobs_;
    scenario.minTasks_ = 1;
    scenario.maxTasks_ = 450;
    scenario.largeJobsPerThousand_ = item.largeJobs_;
    scenario.minWork_ = std::chrono::milliseconds(50);
    scenario.maxWork_ = std::chrono::seconds(1);
    scenario.longTasksPerThousand_ = item.longTasks_;
    scenario.longWork_ = std::chrono::seconds(4);
    scenario.declaredErrorFactor_ = item.declaredError_;
    double totalSpeed = 0;
    for (std::uint32_t i = 0; i < targetCount; ++i) {
        scenario.targets_.push_back({ 1 + 3.0 * i / (targetCount - 1), slotsPerTarget });
        totalSpeed += scenario.targets_.back().speed_ * slotsPerTarget;
    }
    scenario.meanInterarrival_ = Duration(1'000'000);
    double work = 0;
    auto unscaledJobs = planJobs(scenario);
    for (const auto& job : unscaledJobs) {
        for (auto item : job.work_)
            work += static_cast<double>(item.count());
    }
    double workPerJob = work / static_cast<double>(unscaledJobs.size());
    scenario.meanInterarrival_ = Duration(static_cast<Duration::rep>(workPerJob / totalSpeed / item.load_));
    return scenario;
}

void run(const BenchmarkCase& item)
{
    Scenario scenario = scenarioOf(item);
    auto jobs = planJobs(scenario);
    auto ideal = idealResponseTimes(scenario, jobs);
    VirtualPlan plan;
    plan.entries_ = item.entries_;
    plan.delayBetweenZones_ = Duration(item.betweenZonesMicroseconds_);
    plan.entry_.policy_ = readPolicyName(item.policy_).value();
    plan.failingTarget_ = item.failingTarget_;
    plan.stalledTarget_ = item.stalledTarget_;
    plan.stragglerTarget_ = item.stragglerTarget_;
    plan.stragglerFactor_ = stragglerFactor;
    plan.entry_.duePerTask_ = std::chrono::milliseconds(item.duePerTaskMilliseconds_);
    plan.entry_.queueDepth_ = item.queueDepth_;
    plan.entry_.rememberingWindow_ = std::chrono::hours(2);
    plan.agent_.rememberingWindow_ = std::chrono::hours(2);
    VirtualResult result = VirtualSystem(scenario, plan).run(jobs);
    std::vector<double> responses;
    std::vector<double> ideals;
    std::size_t complete = 0;
    std::size_t refused = 0;
    double workDone = 0;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        refused += result.jobs_[i].isRefused_;
        if (!result.jobs_[i].isComplete_)
            continue;
        ++complete;
        for (auto work : jobs[i].work_)
            workDone += static_cast<double>(work.count());
        responses.push_back(static_cast<double>(result.jobs_[i].response_.count()));
        ideals.push_back(static_cast<double>(ideal[i].count()));
    }
    std::uint64_t messages = 0;
    std::string overheadByKind;
    for (std::size_t kind = 0; kind < Wire::messageKindCount; ++kind) {
        messages += result.messages_[kind];
        bool isUseful = kind == Wire::Message(Wire::Start {}).index() || kind == Wire::Message(Wire::Result {}).index();
        if (!isUseful && result.messages_[kind])
            overheadByKind += fmt::format(R"({}"{}":{:.4f})", overheadByKind.empty() ? "" : ",", Wire::nameOfKind(kind), static_cast<double>(result.messages_[kind]) / static_cast<double>(result.starts_));
    }
    double capacity = 0;
    for (const auto& target : scenario.targets_)
        capacity += target.speed_ * target.slots_;
    double goodput = workDone / capacity / static_cast<double>(result.duration_.count());
    auto faultyTarget = std::max({ item.failingTarget_, item.stalledTarget_, item.stragglerTarget_, 0 });
    double faultyShare = static_cast<double>(result.startsByTarget_[faultyTarget]) / static_cast<double>(result.starts_);
    double overheadPerTask = static_cast<double>(messages) / static_cast<double>(result.starts_) - 2;
    std::cout << fmt::format(R"({{"policy":"{}","entries":{},"load":{},"seed":{},"depth":{},"jobs":{},"complete":{},"refused":{},"tasks":{},"goodput":{:.3f},"faulty_share":{:.4f},"mean_over_ideal":{:.3f},"p99_over_ideal":{:.3f},"wasted_per_task":{:.4f},"by_kind":{{{}}}}})",
        item.policy_, item.entries_, item.load_, item.seed_, item.queueDepth_, jobs.size(), complete, refused, result.starts_, goodput, faultyShare, mean(responses) / mean(ideals), quantile(responses, 0.99) / quantile(ideals, 0.99), overheadPerTask, overheadByKind)
              << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    BenchmarkCase base;
    std::vector<std::string> policies { "expected_finish", "two_choices", "least_load", "random" };
    std::vector<std::uint32_t> entries { 3, 8 };
    std::vector<double> loads { 0.8, 0.95 };
    options::options_description description("PolicyBenchmark: compares policies on the same seeded workload in virtual time");
    auto add = description.add_options();
    add("help", "print this text");
    add("policies", options::value(&policies)->multitoken(), "policies to compare");
    add("entries", options::value(&entries)->multitoken(), "numbers of entries");
    add("loads", options::value(&loads)->multitoken(), "offered loads, as shares of capacity");
    add("jobs", options::value(&base.jobs_), "jobs");
    add("seed", options::value(&base.seed_), "seed of the workload");
    add("depth", options::value(&base.queueDepth_), "tasks that may wait at a target beyond its slots");
    add("declared-error", options::value(&base.declaredError_), "declared work differs from the work by up to this factor");
    add("long", options::value(&base.longTasks_), "tasks of 4 s per thousand");
    add("large", options::value(&base.largeJobs_), "jobs of 450 tasks per thousand");
    add("due-ms", options::value(&base.duePerTaskMilliseconds_), "ms by which each task of a job moves its due time later");
    add("fail", options::value(&base.failingTarget_), "index of a target that fails every task");
    add("stall", options::value(&base.stalledTarget_), "index of a target that never ends a task");
    add("straggle", options::value(&base.stragglerTarget_), "index of a target that runs tasks ten times as long");
    add("zone-us", options::value(&base.betweenZonesMicroseconds_), "one-way message delay between availability zones, in us");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    for (double load : loads) {
        for (auto count : entries) {
            for (const auto& policy : policies) {
                BenchmarkCase item = base;
                item.policy_ = policy;
                item.entries_ = count;
                item.load_ = load;
                run(item);
            }
        }
    }
    return 0;
}
