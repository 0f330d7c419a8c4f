#include "Lagoonpick/Job/WorkModel.h"

#include <algorithm>
#include <cmath>

namespace Lagoonpick {

namespace {

/// Limit on the sample counts: each further job has a weight of one in this many, and the weight of old jobs decays.
constexpr double maxSamples = 200;
/// Number of ended jobs that count as much as the assumption that declared times are right.
constexpr double priorSamples = 5;
/// Standard deviations by which the shortest time lies below the expected one.
constexpr double shortestDeviations = 2;
/// Limit on the queues, beyond which all are cleared, so that queues removed from the configuration do not pile up.
constexpr std::size_t maxQueues = 1000;

double logOf(Duration time)
{
    return std::log(static_cast<double>(std::max<Duration::rep>(time.count(), 1)));
}

Duration fromLog(double logMicroseconds)
{
    return Duration(static_cast<Duration::rep>(std::exp(logMicroseconds)));
}

} // namespace

void WorkModel::Moments::add(double declared, double actual)
{
    samples_ = std::min(samples_ + 1, maxSamples);
    double weight = 1 / samples_;
    double declaredDifference = declared - meanDeclared_;
    double actualDifference = actual - meanActual_;
    meanDeclared_ += weight * declaredDifference;
    meanActual_ += weight * actualDifference;
    varianceDeclared_ = (1 - weight) * (varianceDeclared_ + weight * declaredDifference * declaredDifference);
    varianceActual_ = (1 - weight) * (varianceActual_ + weight * actualDifference * actualDifference);
    covariance_ = (1 - weight) * (covariance_ + weight * declaredDifference * actualDifference);
}

double WorkModel::Moments::slope() const
{
    if (varianceDeclared_ <= 0)
        return 1;
    double measured = std::clamp(covariance_ / varianceDeclared_, 0.0, 1.0);
    return (measured * samples_ + priorSamples) / (samples_ + priorSamples);
}

double WorkModel::Moments::residualDeviation() const
{
    double slope = this->slope();
    return std::sqrt(std::max(varianceActual_ - 2 * slope * covariance_ + slope * slope * varianceDeclared_, 0.0));
}

WorkModel::Queue& WorkModel::find(const std::string& name)
{
    if (queues_.size() > maxQueues)
        queues_.clear();
    return queues_[name];
}

WorkEstimate WorkModel::recordAndEstimate(const std::string& queue, Duration declared)
{
    Queue& row = find(queue);
    double logDeclared = logOf(declared);
    row.arrivals_ = std::min(row.arrivals_ + 1, maxSamples);
    row.meanDeclared_ += (logDeclared - row.meanDeclared_) / row.arrivals_;
    double logExpected = row.meanDeclared_ + row.ended_.slope() * (logDeclared - row.meanDeclared_);
    Duration expected = fromLog(logExpected);
    if (row.ended_.samples_ < priorSamples)
        return { expected, expected };
    return { expected, fromLog(logExpected - shortestDeviations * row.ended_.residualDeviation()) };
}

void WorkModel::recordActual(const std::string& queue, Duration declared, Duration actual)
{
    if (actual.count() > 0)
        find(queue).ended_.add(logOf(declared), logOf(actual));
}

} // namespace Lagoonpick
