#include "Lagoonpick/Run/TargetMonitor.h"

#include <algorithm>
#include <cmath>

namespace Lagoonpick {

namespace {

/// The weight of a run's end in the share of failures: the last seven or so count.
constexpr double failureWeight = 0.15;
/// Three failures of different jobs in a row, with no end as done between them, are more than jobs' own faults explain.
constexpr double suspectAbove = 0.38;
/// Far enough below that single ends don't turn the judgement to and fro.
constexpr double trustedBelow = 0.15;
/// The weight of a new sample once many were seen: the last five or so count.
constexpr double steadyWeight = 0.2;
/// A target's runs are a mix of short and long ones: it takes many to know their mean.
constexpr double typicalWeight = 0.02;
/// Tasks differ in themselves; a single one can't say that a target is more than this many times slower.
constexpr double maxSampleRatio = 20;
/// A target that looks slow gets little to run: its slowness is forgotten, or it would never be tried again.
constexpr Duration memory = std::chrono::seconds(5);

} // namespace

void TargetMonitor::recordDone(Duration took, Duration work, Time now)
{
    failureShare_ -= failureWeight * failureShare_;
    noteSuspicion();
    recordPace(took, work, now);
}

void TargetMonitor::recordPace(Duration took, Duration work, Time now)
{
    if (took.count() <= 0 || work.count() <= 0)
        return;
    samples_ += 1;
    double weight = std::max(steadyWeight, 1 / (samples_ + 1));
    double ratio = static_cast<double>(took.count()) / static_cast<double>(work.count());
    ratio = std::clamp(ratio, 1 / maxSampleRatio, maxSampleRatio);
    double former = std::log(slowness(now));
    logSlowness_ = former + weight * (std::log(ratio) - former);
    sampledAt_ = now;
    double microseconds = static_cast<double>(took.count());
    typicalMicroseconds_ += std::max(typicalWeight, 1 / samples_) * (microseconds - typicalMicroseconds_);
}

void TargetMonitor::recordFailure(std::string_view job)
{
    if (job == lastFailedJob_)
        return;
    lastFailedJob_ = job;
    failureShare_ += failureWeight * (1 - failureShare_);
    noteSuspicion();
}

void TargetMonitor::noteSuspicion()
{
    if (failureShare_ > suspectAbove)
        isSuspect_ = true;
    if (failureShare_ < trustedBelow)
        isSuspect_ = false;
}

double TargetMonitor::slowness(Time now) const
{
    std::chrono::duration<double> age = now - sampledAt_;
    return std::exp(logSlowness_ * std::exp(-age / std::chrono::duration<double>(memory)));
}

} // namespace Lagoonpick
