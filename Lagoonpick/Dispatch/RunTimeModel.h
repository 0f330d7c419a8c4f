#pragma once

#include "Lagoonpick/Dispatch/TargetTable.h"

#include <array>
#include <cstdint>

namespace Lagoonpick {

/// Learns the run times of the tasks of one service from completed tasks: the mean work of each class of declared run
/// times, and the slowdown of each target. Declared times only assign tasks to classes, and the work of a class is
/// learnt. Declared times that are off by a constant factor therefore do no harm, and with meaningless ones all
/// classes converge to about the same estimate.
///
/// Not thread-safe.
class RunTimeModel {
public:
    /// A class of tasks with similar declared run times: class n > 0 holds those from 2^(n-1) ms to below 2^n ms, the
    /// last class all longer ones.
    using WorkClass = std::uint8_t;

    /// The class of a task with this declared run time; 0 stands for "not declared" and has a class of its own.
    static WorkClass classOf(std::uint32_t expectedMilliseconds);

    /// The expected work of a task of this class, in microseconds on a target of slowdown 1.
    double expectedWork(WorkClass) const;

    /// The mean work of the tasks of all classes, in microseconds on a target of slowdown 1.
    double meanWork() const { return overall_.work_; }

    /// True once the model has learnt from a task.
    bool hasSamples() const { return overall_.samples_ > 0; }

    /// Updates the model, and the slowdown of `target`, with the run time of a task that the target completed.
    void learn(WorkClass, TargetLoad& target, double runMicroseconds);

private:
    struct Estimate {
        /// Microseconds on a target of slowdown 1.
        double work_ { 0 };
        double samples_ { 0 };
    };

    static void update(Estimate& estimate, double work);

    static constexpr std::size_t classCount = 29;
    std::array<Estimate, classCount> classes_ {};
    /// Over all classes; a task is assumed to take 1 ms until the first sample.
    Estimate overall_ { .work_ = 1000, .samples_ = 0 };
};

} // namespace Lagoonpick
