#include "Load/Scenario.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Lagoonpick {

namespace {

using std::chrono::hours;
using std::chrono::minutes;

constexpr double perThousand = 1000;

/// Maximum number of tasks of a job that is not large, if the scenario has large jobs.
constexpr double maxSmallJobTasks = 40;

constexpr std::uint64_t maxJobs = 10'000'000;
constexpr std::uint64_t maxTasksPerJob = 100'000;
constexpr std::uint64_t maxMicroseconds = 3'600'000'000;

struct Slot {
    std::size_t target_;
    /// Microseconds since the start of the workload.
    double freeAt_;
};

/// Puts a task into the slot where it finishes first; returns the finish time. All times are in microseconds.
double placeTask(std::vector<Slot>& slots, const Scenario& scenario, double arrival, double work)
{
    Slot* best = nullptr;
    double bestFinish = 0;
    for (auto& slot : slots) {
        double finish = std::max(slot.freeAt_, arrival) + work / scenario.targets_[slot.target_].speed_;
        if (best && finish >= bestFinish)
            continue;
        best = &slot;
        bestFinish = finish;
    }
    best->freeAt_ = bestFinish;
    return bestFinish;
}

} // namespace

Scenario readScenario(SettingsReader& reader)
{
    Scenario scenario;
    scenario.entries_ = splitList(reader.text("load", "entries"));
    scenario.service_ = reader.text("load", "service", "default");
    scenario.outputFile_ = reader.text("load", "output", "-");
    scenario.seed_ = reader.number("load", "seed", 1, 0, UINT64_MAX);
    scenario.warmUp_ = reader.milliseconds("load", "warm_up_ms", {}, {}, minutes(10));
    scenario.jobs_ = static_cast<std::uint32_t>(reader.number("jobs", "count", 100, 1, maxJobs));
    scenario.meanInterarrival_ = Duration(reader.number("jobs", "mean_gap_us", 10'000, 0, maxMicroseconds));
    scenario.minTasks_ = static_cast<std::uint32_t>(reader.number("jobs", "min_tasks", 1, 1, maxTasksPerJob));
    scenario.maxTasks_ = static_cast<std::uint32_t>(reader.number("jobs", "max_tasks", scenario.minTasks_, scenario.minTasks_, maxTasksPerJob));
    scenario.minWork_ = Duration(reader.number("jobs", "min_work_us", 50'000, 0, maxMicroseconds));
    scenario.maxWork_ = Duration(reader.number("jobs", "max_work_us", scenario.minWork_.count(), scenario.minWork_.count(), maxMicroseconds));
    scenario.largeJobsPerThousand_ = static_cast<std::uint32_t>(reader.number("jobs", "large_per_thousand", 0, 0, 1000));
    scenario.longTasksPerThousand_ = static_cast<std::uint32_t>(reader.number("jobs", "long_tasks_per_thousand", 0, 0, 1000));
    scenario.longWork_ = Duration(reader.number("jobs", "long_work_us", 5'000'000, 0, maxMicroseconds));
    scenario.declaredErrorFactor_ = static_cast<double>(reader.number("jobs", "declared_error_factor", 1, 1, 1000));
    auto slots = static_cast<std::uint32_t>(reader.number("targets", "slots", 8, 1, maxTasksPerJob));
    for (const auto& speed : splitList(reader.text("targets", "speeds")))
        scenario.targets_.push_back({ std::strtod(speed.c_str(), nullptr), slots });
    return scenario;
}

std::vector<PlannedJob> planJobs(const Scenario& scenario)
{
    std::mt19937_64 random(scenario.seed_);
    std::exponential_distribution<double> interarrival(1.0);
    std::uniform_real_distribution<double> uniform(0, 1);
    auto logUniform = [&](double low, double high) { return std::exp(std::log(low) + uniform(random) * (std::log(high) - std::log(low))); };
    bool hasWork = scenario.maxWork_ > Duration();
    double minWork = std::max<double>(1, static_cast<double>(scenario.minWork_.count()));
    double maxWork = std::max<double>(1, static_cast<double>(scenario.maxWork_.count()));
    std::vector<PlannedJob> jobs(scenario.jobs_);
    double arrivalMicroseconds = 0;
    for (auto& job : jobs) {
        arrivalMicroseconds += interarrival(random) * static_cast<double>(scenario.meanInterarrival_.count());
        job.arrival_ = Duration(static_cast<Duration::rep>(arrivalMicroseconds));
        bool isLarge = uniform(random) * perThousand < scenario.largeJobsPerThousand_;
        double tasks = isLarge ? scenario.maxTasks_ : logUniform(scenario.minTasks_, scenario.largeJobsPerThousand_ ? std::min<double>(scenario.maxTasks_, maxSmallJobTasks) + 1 : scenario.maxTasks_ + 1.0);
        for (std::uint32_t i = 0; i < static_cast<std::uint32_t>(tasks); ++i) {
            bool isLong = uniform(random) * perThousand < scenario.longTasksPerThousand_;
            double work = isLong ? static_cast<double>(scenario.longWork_.count()) : logUniform(minWork, maxWork);
            double error = logUniform(1 / scenario.declaredErrorFactor_, scenario.declaredErrorFactor_);
            job.work_.emplace_back(hasWork ? static_cast<Duration::rep>(work) : 0);
            job.declaredWork_.emplace_back(static_cast<Duration::rep>(work * error));
        }
    }
    return jobs;
}

std::vector<Duration> idealResponseTimes(const Scenario& scenario, const std::vector<PlannedJob>& jobs)
{
    std::vector<Slot> slots;
    for (std::size_t target = 0; target < scenario.targets_.size(); ++target)
        slots.insert(slots.end(), scenario.targets_[target].slots_, Slot { target, 0 });
    std::vector<Duration> responses;
    responses.reserve(jobs.size());
    for (const auto& job : jobs) {
        auto arrival = static_cast<double>(job.arrival_.count());
        double finish = arrival;
        for (auto work : job.work_)
            finish = std::max(finish, placeTask(slots, scenario, arrival, static_cast<double>(work.count())));
        responses.emplace_back(static_cast<Duration::rep>(finish - arrival));
    }
    return responses;
}

} // namespace Lagoonpick
