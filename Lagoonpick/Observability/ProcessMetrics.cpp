#include "Lagoonpick/Observability/ProcessMetrics.h"

#include "Lagoonpick/Observability/TimeHistogram.h"

#include <fmt/format.h>

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

void writePeerFaults(std::string& text, const PeerFaultsByPort& peers)
{
    writeMetricHeader(text, "lagoonpick_peer_faults_total", "counter", "Messages refused and connections closed because of their peer.");
    for (const auto& [port, faults] : peers) {
        for (std::size_t kind = 1; kind < peerFaultCount; ++kind) {
            auto fault = static_cast<PeerFault>(kind);
            writeMetric(text, "lagoonpick_peer_faults_total", fmt::format("port=\"{}\",kind=\"{}\"", port, nameOf(fault)), static_cast<double>(faults->count(fault)));
        }
    }
}

} // namespace Lagoonpick
