#pragma once

#include "Lagoonpick/Core/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace Lagoonpick {

/// The share of a service's capacity that tasks of more urgent queues have taken lately, learnt from an entry's tasks that ended and from the
/// reports of its agents.
///
/// Handles the load pattern of more urgent jobs that keep arriving while a less urgent one waits: they take their share of the capacity that
/// becomes free, so that its wait is longer than the work that is there when it arrives. Not thread-safe.
class UrgentLoad {
public:
    /// Records that a task of a queue with this priority has occupied an amount of the service's capacity for some time.
    void recordWork(const std::string& service, std::uint32_t priority, std::uint32_t milliCores, Duration took, Time now);

    /// Records how much of the service's capacity is in use, from 0 to 1.
    void recordUtilization(const std::string& service, double utilization, Time now);

    /// The share of the service's capacity, from 0 to 1, that tasks of a more urgent priority than this one took lately. 0 if its queues don't
    /// differ in priority.
    double shareBefore(const std::string& service, std::uint32_t priority, Time now) const;

private:
    /// A sum in which what was added loses weight with time.
    struct Work {
        double amount_ { 0 };
        Time recordedAt_;

        double amountAt(Time now) const;
    };
    struct Service {
        std::map<std::uint32_t, Work> byPriority_;
        double utilization_ { 0 };
        Time utilizationAt_;
    };
    Service& find(const std::string& name);

    std::map<std::string, Service> services_;
};

/// How long a task waits for work that takes `wait` if no other work arrives, when more urgent tasks keep arriving that take this share of the
/// capacity.
Duration lengthenWait(Duration wait, double urgentShare);

} // namespace Lagoonpick
