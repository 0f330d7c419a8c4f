#pragma once

#include "Lagoonpick/Core/Time.h"

#include <map>
#include <string>

namespace Lagoonpick {

/// Estimates the run time of a queue's tasks at a slowdown of 1 from the times that callers declare.
///
/// Declared times are right on average but off by nearly half each, and the true times of a queue's jobs differ by about as
/// much. So the best estimate is half way, on a logarithmic scale, between a job's declared time and the mean of its queue.
/// Not thread-safe.
class WorkModel {
public:
    /// Adds a declared time to the queue's mean and returns the expected time.
    Duration recordAndEstimate(const std::string& queue, Duration declared);

private:
    /// Mean of the logarithm of the declared times.
    struct Mean {
        double logMicroseconds_ { 0 };
        double samples_ { 0 };
    };
    std::map<std::string, Mean> queues_;
};

} // namespace Lagoonpick
