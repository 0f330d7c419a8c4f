#include "Lagoonpick/Dispatch/RunTimeModel.h"

#include <algorithm>
#include <bit>

namespace Lagoonpick {

namespace {

/// Lower bounds for the weight of a new sample, so that the estimates keep following changes.
constexpr double minWorkWeight = 1.0 / 256;
constexpr double minSlowdownWeight = 1.0 / 64;

/// Number of samples at which the estimate of a class weighs as much as the mean of all classes.
constexpr double priorSamples = 8;

constexpr double minRunMicroseconds = 1;
constexpr double minSlowdown = 0.01;
constexpr double maxSlowdown = 100;

} // namespace

RunTimeModel::WorkClass RunTimeModel::classOf(std::uint32_t expectedMilliseconds)
{
    return static_cast<WorkClass>(std::min<std::size_t>(std::bit_width(expectedMilliseconds), classCount - 1));
}

double RunTimeModel::expectedWork(WorkClass workClass) const
{
    const Estimate& classEstimate = classes_[workClass];
    return (classEstimate.work_ * classEstimate.samples_ + overall_.work_ * priorSamples) / (classEstimate.samples_ + priorSamples);
}

void RunTimeModel::update(Estimate& estimate, double work)
{
    ++estimate.samples_;
    double weight = std::max(1 / estimate.samples_, minWorkWeight);
    estimate.work_ += weight * (work - estimate.work_);
}

void RunTimeModel::learn(WorkClass workClass, TargetLoad& target, double runMicroseconds)
{
    double run = std::max(runMicroseconds, minRunMicroseconds);
    double expected = expectedWork(workClass);
    ++target.samples_;
    double weight = std::max(1 / (target.samples_ + 1), minSlowdownWeight);
    if (overall_.samples_ > 0)
        target.slowdown_ = std::clamp(target.slowdown_ + weight * (run / expected - target.slowdown_), minSlowdown, maxSlowdown);
    double work = run / target.slowdown_;
    update(classes_[workClass], work);
    update(overall_, work);
}

} // namespace Lagoonpick
