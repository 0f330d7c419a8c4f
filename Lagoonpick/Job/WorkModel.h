#pragma once

#include "Lagoonpick/Core/Time.h"

#include <map>
#include <string>

namespace Lagoonpick {

/// Tells how long a queue's tasks take on a target of slowness 1, from what callers declare.
///
/// Declared times are right in the mean and off by nearly half each, and a queue's jobs are alike by about as much; so
/// the best guess lies half way, on a logarithmic scale, between what a job declares and what its queue's jobs declare.
/// Not thread-safe.
class WorkModel {
public:
    /// Takes in a declared time and tells the expected one.
    Duration learn(const std::string& queue, Duration declared);

private:
    struct Mean {
        double logMicroseconds_ { 0 };
        double samples_ { 0 };
    };
    std::map<std::string, Mean> queues_;
};

} // namespace Lagoonpick
