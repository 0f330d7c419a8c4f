#pragma once

#include "Lagoonpick/Core/Time.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonpick {

/// A histogram of durations in a fixed number of logarithmic buckets from 0.1 ms to 1000 s.
///
/// Not thread-safe.
class TimeHistogram {
public:
    void add(Duration span);
    std::uint64_t count() const { return count_; }

    /// Appends the histogram in the Prometheus text format, in seconds.
    void write(std::string& text, std::string_view name, std::string_view help) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    static constexpr unsigned bucketCount = 28;
    static constexpr double minSeconds = 1e-4;
    static constexpr double maxSeconds = 1e3;

    decltype(boost::histogram::make_histogram_with(std::vector<double>(), Axis(1, 1, 2))) counts_ {
        boost::histogram::make_histogram_with(std::vector<double>(), Axis(bucketCount, minSeconds, maxSeconds))
    };
    std::uint64_t count_ { 0 };
    double sumSeconds_ { 0 };
};

/// Appends the sample of a counter or gauge in the Prometheus text format. `labels` is empty or like `kind="start"`.
void writeMetric(std::string& text, std::string_view name, std::string_view labels, double value);

/// Appends the `HELP` and `TYPE` lines of a metric; `type` is `counter`, `gauge` or `histogram`.
void writeMetricHeader(std::string& text, std::string_view name, std::string_view type, std::string_view help);

} // namespace Lagoonpick
