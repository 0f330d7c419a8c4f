#include "Lagoonpick/Observability/TimeHistogram.h"

#include <fmt/format.h>
#include <iterator>

namespace Lagoonpick {

void TimeHistogram::add(Duration span)
{
    double seconds = std::chrono::duration<double>(span).count();
    counts_(seconds);
    ++count_;
    sumSeconds_ += seconds;
}

void TimeHistogram::write(std::string& text, std::string_view name, std::string_view help) const
{
    writeMetricHeader(text, name, "histogram", help);
    const auto& axis = counts_.axis();
    // Prometheus buckets are cumulative: each one includes all below it, and so the underflow bucket.
    double cumulativeCount = counts_.at(-1);
    for (int i = 0; i < axis.size(); ++i) {
        cumulativeCount += counts_.at(i);
        fmt::format_to(std::back_inserter(text), "{}_bucket{{le=\"{:.4g}\"}} {}\n", name, axis.bin(i).upper(), cumulativeCount);
    }
    fmt::format_to(std::back_inserter(text), "{0}_bucket{{le=\"+Inf\"}} {1}\n{0}_sum {2}\n{0}_count {1}\n", name, count_, sumSeconds_);
}

void writeMetric(std::string& text, std::string_view name, std::string_view labels, double value)
{
    if (labels.empty())
        fmt::format_to(std::back_inserter(text), "{} {}\n", name, value);
    else
        fmt::format_to(std::back_inserter(text), "{}{{{}}} {}\n", name, labels, value);
}

void writeMetricHeader(std::string& text, std::string_view name, std::string_view type, std::string_view help)
{
    fmt::format_to(std::back_inserter(text), "# HELP {0} {2}\n# TYPE {0} {1}\n", name, type, help);
}

} // namespace Lagoonpick
