#pragma once

#include "Lagoonpick/Configuration/SettingsReader.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Lagoonpick {

/// A target as modelled by `idealResponseTimes` and `VirtualSystem`.
struct ScenarioTarget {
    /// The run time of a task is its work divided by the speed.
    double speed_ { 1 };
    std::uint32_t slots_ { 8 };
    bool operator==(const ScenarioTarget&) const = default;
};

/// The configuration of a load run: system under load and workload. Read from an INI file.
struct Scenario {
    /// Addresses at which the entries serve callers.
    std::vector<std::string> entries_;
    std::vector<ScenarioTarget> targets_;
    std::string service_;
    /// File for one line of JSON per job; "-" for none.
    std::string outputFile_;
    std::uint64_t seed_ { 1 };
    /// Number of jobs.
    std::uint32_t jobs_ { 0 };
    /// Mean time between the arrivals of consecutive jobs; the times are exponentially distributed.
    Duration meanInterarrival_ {};
    std::uint32_t minTasks_ { 1 };
    std::uint32_t maxTasks_ { 1 };
    /// Bounds of the work of a task, which is log-uniform between them; run time at speed 1.
    Duration minWork_ {};
    Duration maxWork_ {};
    /// Time to wait before the first job.
    Duration warmUp_ {};
    /// Number of jobs per thousand that have `maxTasks_` tasks. The task counts of the others are log-uniform from
    /// `minTasks_` to 40, or to `maxTasks_` if that is less or this number is 0.
    std::uint32_t largeJobsPerThousand_ { 0 };
    /// Number of tasks per thousand whose work is `longWork_`.
    std::uint32_t longTasksPerThousand_ { 0 };
    Duration longWork_ {};
    /// Declared work differs from the work by up to this factor in either direction.
    double declaredErrorFactor_ { 1 };
};

/// Reads a scenario; invalid settings are reported to `reader`.
Scenario readScenario(SettingsReader& reader);

/// One job of the workload.
struct PlannedJob {
    /// Since the start of the workload.
    Duration arrival_ {};
    /// The work of each task; its run time at speed 1.
    std::vector<Duration> work_;
    /// The work that the caller declares for each task; may differ widely from `work_`.
    std::vector<Duration> declaredWork_;
    std::string team_ { "default" };
};

/// Generates the workload. Deterministic: equal scenarios give equal jobs.
std::vector<PlannedJob> planJobs(const Scenario& scenario);

/// The response time of each job under an ideal scheduler: one queue that knows the work of all tasks and, in order of
/// arrival and without message delays, puts each task into the slot where it finishes first.
std::vector<Duration> idealResponseTimes(const Scenario& scenario, const std::vector<PlannedJob>& jobs);

} // namespace Lagoonpick
