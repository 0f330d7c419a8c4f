#pragma once

#include "Lagoonpick/Core/Time.h"

#include <map>
#include <string>

namespace Lagoonpick {

/// Run time of a task at a slowdown of 1.
struct WorkEstimate {
    Duration expected_ {};
    /// About one task in forty takes less. Equal to `expected_` until enough jobs have ended to tell.
    Duration shortest_ {};
    bool operator==(const WorkEstimate&) const = default;
};

/// Estimates the run time of a queue's tasks from the times that callers declare and from how long earlier tasks took.
///
/// Callers may declare times roughly. How far a declared time that differs from those of the queue's other jobs is to be believed is
/// learnt, by linear regression on a logarithmic scale, from how far the tasks' actual times differed with it. Not thread-safe.
class WorkModel {
public:
    /// Adds a declared time to the queue's mean and returns the estimate for it.
    WorkEstimate recordAndEstimate(const std::string& queue, Duration declared);

    /// Records that the tasks of a job with this declared time took `actual`, as on a target of slowdown 1.
    void recordActual(const std::string& queue, Duration declared, Duration actual);

private:
    /// Moments of the logarithms of declared and actual times.
    struct Moments {
        double samples_ { 0 };
        double meanDeclared_ { 0 };
        double meanActual_ { 0 };
        double varianceDeclared_ { 0 };
        double varianceActual_ { 0 };
        double covariance_ { 0 };

        void add(double declared, double actual);
        /// By how much the logarithm of the expected time rises with that of the declared time, from 0 to 1.
        double slope() const;
        /// Standard deviation of the actual times' logarithm around the expected one.
        double residualDeviation() const;
    };
    struct Queue {
        /// Jobs that arrived, and the mean of the logarithm of their declared times.
        double arrivals_ { 0 };
        double meanDeclared_ { 0 };
        /// Jobs that were done.
        Moments ended_;
    };
    Queue& find(const std::string& name);

    std::map<std::string, Queue> queues_;
};

} // namespace Lagoonpick
