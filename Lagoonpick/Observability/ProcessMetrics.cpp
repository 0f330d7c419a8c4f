#include "Lagoonpick/Observability/ProcessMetrics.h"

#include "Lagoonpick/Observability/TimeHistogram.h"

namespace Lagoonpick {

void writeProcessMetrics(std::string& text, const EventLog& log, std::uint64_t storeCalls, std::uint64_t storeFailures)
{
    writeMetricHeader(text, "lagoonpick_store_calls_total", "counter", "Calls to the platform's store.");
    writeMetric(text, "lagoonpick_store_calls_total", "", static_cast<double>(storeCalls));
    writeMetricHeader(text, "lagoonpick_store_failures_total", "counter", "Calls to the platform's store that failed.");
    writeMetric(text, "lagoonpick_store_failures_total", "", static_cast<double>(storeFailures));
    writeMetricHeader(text, "lagoonpick_log_lines_dropped_total", "counter", "Log lines that did not fit the buffer.");
    writeMetric(text, "lagoonpick_log_lines_dropped_total", "", static_cast<double>(log.linesDropped()));
}

} // namespace Lagoonpick
