#include "Entry/EntryMetrics.h"

#include <fmt/format.h>

namespace Lagoonpick {

namespace {

void writeMessages(std::string& text, const EntryCore& core)
{
    writeMetricHeader(text, "lagoonpick_messages_total", "counter", "Messages sent to and received from other processes");
    for (std::size_t kind = 0; kind < Wire::messageKindCount; ++kind)
        writeMetric(text, "lagoonpick_messages_total", fmt::format("kind=\"{}\"", Wire::nameOfKind(kind)), static_cast<double>(core.messageCounts()[kind]));
}

void writeRefusals(std::string& text, const EntryCore& core)
{
    writeMetricHeader(text, "lagoonpick_refusals_total", "counter", "Requests answered with a problem document");
    for (const auto& [kind, count] : core.refusalCounts())
        writeMetric(text, "lagoonpick_refusals_total", fmt::format("reason=\"{}\"", kind), static_cast<double>(count));
}

void writeUnlabeledMetric(std::string& text, std::string_view name, std::string_view type, std::string_view help, double value)
{
    writeMetricHeader(text, name, type, help);
    writeMetric(text, name, {}, value);
}

} // namespace

std::string writeMetrics(const EntryCore& core)
{
    const Home& home = core.home();
    std::string text;
    home.responseTimes().write(text, "lagoonpick_job_response_seconds", "From a job's acceptance to its answer");
    home.waitTimes().write(text, "lagoonpick_job_wait_seconds", "From a job's acceptance to the sending of its first task");
    home.runTimes().write(text, "lagoonpick_task_run_seconds", "How long tasks ran, as agents report it");
    writeMessages(text, core);
    writeRefusals(text, core);
    writeUnlabeledMetric(text, "lagoonpick_tasks_waiting", "gauge", "Tasks that wait at this entry", static_cast<double>(home.tasksPending()));
    writeUnlabeledMetric(text, "lagoonpick_tasks_outstanding", "gauge", "Tasks sent and not settled", static_cast<double>(home.tasksOutstanding()));
    writeUnlabeledMetric(text, "lagoonpick_tasks_sent_total", "counter", "Starts sent to agents", static_cast<double>(home.tasksSent()));
    writeUnlabeledMetric(text, "lagoonpick_ejections_total", "counter", "Targets taken out because they failed", static_cast<double>(home.ejections()));
    writeUnlabeledMetric(text, "lagoonpick_recalls_total", "counter", "Queues called back from stalled targets", static_cast<double>(home.recalls()));
    writeUnlabeledMetric(text, "lagoonpick_jobs_remembered", "gauge", "Jobs that are open or remembered", static_cast<double>(home.jobs().size()));
    writeUnlabeledMetric(text, "lagoonpick_fenced_entries", "gauge", "Entries on the fence list", static_cast<double>(core.view().membership_.fenced_.size()));
    writeUnlabeledMetric(text, "lagoonpick_platform_fresh", "gauge", "1 while the platform's changes are followed", core.isViewFresh() ? 1 : 0);
    return text;
}

} // namespace Lagoonpick
