#include "Lagoonpick/Observability/ProcessMetrics.h"
#include "Lagoonpick/Observability/TimeHistogram.h"
#include "RunAgent/RunAgentHost.h"

namespace Lagoonpick {

std::string writeRunAgentMetrics(const RunAgentCore& core, const TimeHistogram& startDurations, const EventLog& log, const UsersPlatform::StoreClient& store, const PeerFaultsByPort& peers)
{
    const RunAgentCounters& counters = core.counters();
    std::string text;
    writeMetricHeader(text, "lagoonpick_run_ends_total", "counter", "Runs by how they ended.");
    writeMetric(text, "lagoonpick_run_ends_total", "end=\"done\"", static_cast<double>(counters.done_));
    writeMetric(text, "lagoonpick_run_ends_total", "end=\"failed\"", static_cast<double>(counters.failed_));
    writeMetric(text, "lagoonpick_run_ends_total", "end=\"stopped\"", static_cast<double>(counters.stopped_));
    writeMetric(text, "lagoonpick_run_ends_total", "end=\"lost\"", static_cast<double>(counters.lost_));
    writeMetric(text, "lagoonpick_run_ends_total", "end=\"not_started\"", static_cast<double>(counters.notStarted_));
    writeMetricHeader(text, "lagoonpick_starts_total", "counter", "Runs that the target has begun.");
    writeMetric(text, "lagoonpick_starts_total", "", static_cast<double>(counters.started_));
    writeMetricHeader(text, "lagoonpick_starts_without_room_total", "counter", "Starts that the target rejected as full.");
    writeMetric(text, "lagoonpick_starts_without_room_total", "", static_cast<double>(counters.startsWithoutRoom_));
    writeMetricHeader(text, "lagoonpick_starts_unanswered_total", "counter", "Starts that the target did not answer in time.");
    writeMetric(text, "lagoonpick_starts_unanswered_total", "", static_cast<double>(counters.startsUnanswered_));
    writeMetricHeader(text, "lagoonpick_lease_answers_missed_total", "counter", "Lease renewals without an answer.");
    writeMetric(text, "lagoonpick_lease_answers_missed_total", "", static_cast<double>(counters.leaseAnswersMissed_));
    writeMetricHeader(text, "lagoonpick_cold_starts_total", "counter", "Times that the target became cold.");
    writeMetric(text, "lagoonpick_cold_starts_total", "", static_cast<double>(counters.coldStarts_));
    writeMetricHeader(text, "lagoonpick_stalled_runs_total", "counter", "Runs reported to their entries because their remaining time is too long.");
    writeMetric(text, "lagoonpick_stalled_runs_total", "", static_cast<double>(counters.stalled_));
    writeMetricHeader(text, "lagoonpick_stuck_runs_total", "counter", "Runs reported as stuck: no progress for longer than a slow target explains.");
    writeMetric(text, "lagoonpick_stuck_runs_total", "", static_cast<double>(counters.stuck_));
    writeMetricHeader(text, "lagoonpick_stragglers_total", "counter", "Runs on a sound target that take a multiple of their expected time; not stopped for that.");
    writeMetric(text, "lagoonpick_stragglers_total", "", static_cast<double>(counters.stragglers_));
    writeMetricHeader(text, "lagoonpick_target_suspicions_total", "counter", "How often the target became suspect.");
    writeMetric(text, "lagoonpick_target_suspicions_total", "", static_cast<double>(counters.suspicions_));
    writeMetricHeader(text, "lagoonpick_target_suspect", "gauge", "1 while the target is suspect and gets only probes.");
    writeMetric(text, "lagoonpick_target_suspect", "", core.monitor().isSuspect() ? 1 : 0);
    writeMetricHeader(text, "lagoonpick_runs", "gauge", "Runs that wait or run.");
    writeMetric(text, "lagoonpick_runs", "", static_cast<double>(core.runCount()));
    writeMetricHeader(text, "lagoonpick_evacuated_zones", "gauge", "Evacuated availability zones that the process knows.");
    writeMetric(text, "lagoonpick_evacuated_zones", "", static_cast<double>(core.evacuation().set().names_.size()));
    writeMetricHeader(text, "lagoonpick_evacuated_zones_revision", "gauge", "The store's revision of that set; 0 if no set is known.");
    writeMetric(text, "lagoonpick_evacuated_zones_revision", "", static_cast<double>(core.evacuation().revision()));
    writeMetricHeader(text, "lagoonpick_zone_open", "gauge", "Whether tasks may start in the availability zone of the agent: 1 or 0.");
    writeMetric(text, "lagoonpick_zone_open", "", core.isZoneOpen() ? 1 : 0);
    writeMetricHeader(text, "lagoonpick_entries", "gauge", "Entries with a link.");
    writeMetric(text, "lagoonpick_entries", "", static_cast<double>(core.linkedEntryCount()));
    writePeerFaults(text, peers);
    writeProcessMetrics(text, log, store.calls(), store.failures());
    core.confirmationTimes().write(text, "lagoonpick_confirmation_seconds", "From a message's sending to an entry until the entry's confirmation was handled.");
    startDurations.write(text, "lagoonpick_start_seconds", "From a start's sending to the target's answer.");
    return text;
}

} // namespace Lagoonpick
