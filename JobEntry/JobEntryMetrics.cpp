#include "JobEntry/JobEntryHost.h"
#include "Lagoonpick/Observability/ProcessMetrics.h"

namespace Lagoonpick {

std::string writeJobEntryMetrics(const JobEntryCore& core, const EventLog& log, const UsersPlatform::StoreClient& store, const PeerFaultsByPort& peers)
{
    const JobEntryCounters& counters = core.counters();
    std::string text;
    writeMetricHeader(text, "lagoonpick_jobs_total", "counter", "Jobs by how they ended.");
    writeMetric(text, "lagoonpick_jobs_total", "end=\"done\"", static_cast<double>(counters.done_));
    writeMetric(text, "lagoonpick_jobs_total", "end=\"failed\"", static_cast<double>(counters.failed_));
    writeMetric(text, "lagoonpick_jobs_total", "end=\"cancelled\"", static_cast<double>(counters.cancelled_));
    writeMetric(text, "lagoonpick_jobs_total", "end=\"rejected\"", static_cast<double>(counters.rejected_));
    writeMetric(text, "lagoonpick_jobs_total", "end=\"given_up\"", static_cast<double>(counters.givenUp_));
    writeMetricHeader(text, "lagoonpick_jobs_withdrawn_total", "counter", "Accepted jobs recalled before their deadline because a task could not end by then.");
    writeMetric(text, "lagoonpick_jobs_withdrawn_total", "", static_cast<double>(counters.withdrawn_));
    writeMetricHeader(text, "lagoonpick_jobs_late_total", "counter", "Jobs that were done later than they should.");
    writeMetric(text, "lagoonpick_jobs_late_total", "", static_cast<double>(counters.doneLate_));
    writeMetricHeader(text, "lagoonpick_runs_total", "counter", "Runs that agents were asked for.");
    writeMetric(text, "lagoonpick_runs_total", "kind=\"first\"", static_cast<double>(counters.runs_ - counters.repeatedRuns_));
    writeMetric(text, "lagoonpick_runs_total", "kind=\"repeated\"", static_cast<double>(counters.repeatedRuns_));
    writeMetricHeader(text, "lagoonpick_runs_moved_total", "counter", "Runs that were stopped on a slow target to be started elsewhere.");
    writeMetric(text, "lagoonpick_runs_moved_total", "", static_cast<double>(counters.movedRuns_));
    writeMetricHeader(text, "lagoonpick_runs_forgotten_total", "counter", "Runs that counted as over without a word from their agent.");
    writeMetric(text, "lagoonpick_runs_forgotten_total", "", static_cast<double>(counters.forgottenRuns_));
    writeMetricHeader(text, "lagoonpick_jobs_held", "gauge", "Jobs that wait for their answer.");
    writeMetric(text, "lagoonpick_jobs_held", "", static_cast<double>(core.jobCount()));
    writeMetricHeader(text, "lagoonpick_configuration_version", "gauge", "The version of the configuration in force.");
    writeMetric(text, "lagoonpick_configuration_version", "", static_cast<double>(core.configurationVersion()));
    writeMetricHeader(text, "lagoonpick_evacuated_zones", "gauge", "Evacuated availability zones that the process knows.");
    writeMetric(text, "lagoonpick_evacuated_zones", "", static_cast<double>(core.evacuation().set().names_.size()));
    writeMetricHeader(text, "lagoonpick_evacuated_zones_revision", "gauge", "The store's revision of that set; 0 if no set is known.");
    writeMetric(text, "lagoonpick_evacuated_zones_revision", "", static_cast<double>(core.evacuation().revision()));
    writeMetricHeader(text, "lagoonpick_agents", "gauge", "Agents with a link.");
    writeMetric(text, "lagoonpick_agents", "", static_cast<double>(core.linkedAgentCount()));
    writeMetricHeader(text, "lagoonpick_connections_closed_total", "counter", "Callers' connections that were closed because there was no room for more.");
    writeMetric(text, "lagoonpick_connections_closed_total", "", static_cast<double>(peers.at("front")->count(PeerFault::ConnectionLimit) + peers.at("front")->count(PeerFault::MemoryLimit)));
    writePeerFaults(text, peers);
    writeProcessMetrics(text, log, store.calls(), store.failures());
    core.jobTimes().write(text, "lagoonpick_job_seconds", "From a job's arrival to its answer, done or failed.");
    return text;
}

} // namespace Lagoonpick
