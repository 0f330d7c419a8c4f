#include "Lagoonpick/Run/TargetMonitor.h"

#include <algorithm>
#include <cmath>

namespace Lagoonpick {

namespace {

/// Weight of a single run's end in the share of failures: about the last seven ends count.
constexpr double failureWeight = 0.15;
/// Weight of a stuck run: two of different jobs exceed `suspectThreshold`. It is higher than that of a failure because a stuck run holds its
/// room and its caller until it is stopped.
constexpr double stuckWeight = 0.25;
/// Exceeded by three consecutive failures of different jobs with no successful run between them: faults of the jobs
/// themselves do not explain that.
constexpr double suspectThreshold = 0.38;
/// Far enough below `suspectThreshold` that single ends don't toggle the state.
constexpr double trustedThreshold = 0.15;
/// Number of ended runs that count to the slowdown. Their mean has the variance of a moving average in which each new sample weighs 0.2.
constexpr std::size_t maxEndedRuns = 9;
/// All ended runs weigh as much as this many runs in progress, which show the present state of the target.
constexpr double endedRunsWeight = 2;
/// Minimum weight of a new sample in the mean run time. Runs are a mix of short and long ones, so their mean takes many samples.
constexpr double minTypicalWeight = 0.02;
/// Tasks vary in themselves, so a single sample counts as at most this many times slower or faster than expected.
constexpr double maxSampleRatio = 20;
/// Time constant of the slowdown's decay. A target that looks slow gets few runs and would never be tried again without
/// the decay.
constexpr Duration slowdownDecayTime = std::chrono::seconds(5);

} // namespace

void TargetMonitor::recordDone(Duration took, Duration work, Time now)
{
    if (now - took > stuckRunBegan_) {
        failureShare_ -= failureWeight * failureShare_;
        updateSuspicion();
    }
    recordRunTime(took, work, now);
}

void TargetMonitor::recordRunTime(Duration took, Duration work, Time now)
{
    if (took.count() <= 0 || work.count() <= 0)
        return;
    samples_ += 1;
    double ratio = static_cast<double>(took.count()) / static_cast<double>(work.count());
    ratio = std::clamp(ratio, 1 / maxSampleRatio, maxSampleRatio);
    if (endedRuns_.size() == maxEndedRuns)
        endedRuns_.pop_front();
    endedRuns_.push_back({ std::log(ratio), now });
    double microseconds = static_cast<double>(took.count());
    typicalMicroseconds_ += std::max(minTypicalWeight, 1 / samples_) * (microseconds - typicalMicroseconds_);
}

void TargetMonitor::recordFailure(std::string_view job)
{
    recordFault(job, failureWeight);
}

void TargetMonitor::recordStuck(std::string_view job, Time startedAt)
{
    stuckRunBegan_ = std::max(stuckRunBegan_, startedAt);
    recordFault(job, stuckWeight);
}

void TargetMonitor::recordFault(std::string_view job, double weight)
{
    if (job == lastFailedJob_)
        return;
    lastFailedJob_ = job;
    failureShare_ += weight * (1 - failureShare_);
    updateSuspicion();
}

void TargetMonitor::resetFaults()
{
    failureShare_ = 0;
    isSuspect_ = false;
    lastFailedJob_.clear();
    stuckRunBegan_ = Time::min();
}

void TargetMonitor::updateSuspicion()
{
    if (failureShare_ > suspectThreshold)
        isSuspect_ = true;
    if (failureShare_ < trustedThreshold)
        isSuspect_ = false;
}

std::vector<SlowdownSample> TargetMonitor::endedSamples(Time now) const
{
    std::vector<SlowdownSample> samples(maxEndedRuns, { .logRatio_ = 0, .weight_ = endedRunsWeight / maxEndedRuns });
    for (std::size_t i = 0; i < endedRuns_.size(); ++i) {
        std::chrono::duration<double> age = now - endedRuns_[i].endedAt_;
        samples[i].logRatio_ = endedRuns_[i].logRatio_ * std::exp(-age / std::chrono::duration<double>(slowdownDecayTime));
    }
    return samples;
}

} // namespace Lagoonpick
