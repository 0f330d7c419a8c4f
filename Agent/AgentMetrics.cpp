#include "Agent/AgentMetrics.h"

#include <fmt/format.h>

namespace Lagoonpick {

namespace {

void writeGauge(std::string& text, std::string_view name, std::string_view help, double value)
{
    writeMetricHeader(text, name, "gauge", help);
    writeMetric(text, name, {}, value);
}

} // namespace

std::string writeMetrics(const AgentCore& core)
{
    std::string text;
    core.runTimes().write(text, "lagoonpick_agent_task_run_seconds", "How long tasks ran on the target");
    writeMetricHeader(text, "lagoonpick_agent_messages_total", "counter", "Messages sent to and received from entries");
    for (std::size_t kind = 0; kind < Wire::messageKindCount; ++kind)
        writeMetric(text, "lagoonpick_agent_messages_total", fmt::format("kind=\"{}\"", Wire::nameOfKind(kind)), static_cast<double>(core.messageCounts()[kind]));
    writeMetricHeader(text, "lagoonpick_agent_refusals_total", "counter", "Attempts refused");
    writeMetric(text, "lagoonpick_agent_refusals_total", {}, static_cast<double>(core.refusals()));
    Wire::Load load = core.load();
    writeGauge(text, "lagoonpick_agent_slots", "Slots of the target", load.slots_);
    writeGauge(text, "lagoonpick_agent_running", "Tasks that run", load.running_);
    writeGauge(text, "lagoonpick_agent_queued", "Tasks that wait at the agent", load.queued_);
    writeGauge(text, "lagoonpick_agent_ledger_rows", "Tasks remembered", static_cast<double>(core.ledger().size()));
    return text;
}

} // namespace Lagoonpick
