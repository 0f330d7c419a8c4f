#pragma once

#include "Lagoonpick/Job/AgentTable.h"
#include "Lagoonpick/Job/JobEntryCoreSettings.h"
#include "Lagoonpick/Job/JobTable.h"
#include "Lagoonpick/Job/QueueTable.h"
#include "Lagoonpick/Job/UrgentLoad.h"
#include "Lagoonpick/Job/WorkModel.h"
#include "Lagoonpick/Observability/EventLog.h"
#include "Lagoonpick/Observability/TimeHistogram.h"
#include "Lagoonpick/Run/ConfigurationFetch.h"
#include "Lagoonpick/Run/EvacuationState.h"
#include "Lagoonpick/Wire/Outgoing.h"

#include <deque>
#include <random>
#include <unordered_map>

namespace Lagoonpick {

/// Actions that a `JobEntryCore` asks its host to perform.
struct JobEntryEffects {
    std::vector<Wire::Outgoing<Wire::RunMessage>> messages_;
    std::vector<LinkId> linksToAbort_;
    std::vector<JobAnswer> answers_;
    /// Newer configurations received from other processes. The host parses them and installs them with `setQueues`.
    std::vector<Wire::ConfigurationCopy> configurations_;
    std::vector<LogLine> log_;
};

/// Event counts since the process started.
struct JobEntryCounters {
    std::uint64_t accepted_ { 0 };
    std::uint64_t done_ { 0 };
    std::uint64_t failed_ { 0 };
    std::uint64_t cancelled_ { 0 };
    std::uint64_t rejected_ { 0 };
    std::uint64_t givenUp_ { 0 };
    /// Jobs recalled before their deadline because they could not end by then; `rejected_` or `givenUp_` counts them too.
    std::uint64_t withdrawn_ { 0 };
    /// Jobs whose callers all disconnected; `cancelled_` counts them too.
    std::uint64_t abandoned_ { 0 };
    /// Jobs done after their due time; `done_` counts them too.
    std::uint64_t doneLate_ { 0 };
    /// Runs requested from agents.
    std::uint64_t runs_ { 0 };
    /// Runs of tasks that had been started before; `runs_` counts them too.
    std::uint64_t repeatedRuns_ { 0 };
    /// Runs stopped on a slow target so that their tasks can be started elsewhere.
    std::uint64_t movedRuns_ { 0 };
    /// Runs that counted as over without a word from their agent, because it was out of contact or has a successor.
    std::uint64_t forgottenRuns_ { 0 };
};

/// Decision logic of an entry for jobs whose callers wait until they have ended: which jobs are accepted, where their tasks
/// run, which tasks are retried, and how callers are answered. A job exists only in the memory of the entry that accepted it.
///
/// Uses no sockets and no clock: each input carries the current time, and actions are collected by `takeEffects`.
/// Not thread-safe.
class JobEntryCore {
public:
    JobEntryCore(JobEntryCoreSettings settings, std::uint64_t seed);

    /// Installs a newer version of the configuration; ignores the same or an older version. That it is the newest of all is not known
    /// by that: another process may have kept it for long.
    void setQueues(QueueTable queues, std::string text);
    /// Records that the installed configuration was the newest at `time`.
    void confirmConfiguration(Time time) { configurationConfirmedAt_ = time; }

    /// Records the complete set of evacuated zones that a read of the store showed; ignores a set of the same or an older revision.
    void setEvacuatedZones(Wire::EvacuatedZones zones, Time now);
    const EvacuationState& evacuation() const { return evacuation_; }

    void submit(CallerId caller, const JobRequest& request, Time now);
    /// Handles a caller that closed its connection: cancels its job unless other callers wait for the job too.
    void callerDisconnected(CallerId caller, Time now);
    /// Cancels a job and answers its callers; returns false if the entry does not hold the job.
    bool cancel(const std::string& id, Time now);
    bool isHeld(const std::string& id) const { return jobsById_.contains(id); }

    /// Whether the queue exists; `std::nullopt` if the configuration is missing or too old to prove that it does not.
    std::optional<bool> hasQueue(std::string_view host, std::string_view path, Time now) const;

    void linkOpened(LinkId link, Time now);
    void linkClosed(LinkId link, Time now);
    void receive(LinkId link, const Wire::RunMessage& message, Time now);

    /// Handles a suspension of the process that lasted `suspension`: answers all jobs, because their callers may have sent them
    /// to other entries meanwhile.
    void processResumed(Duration suspension, Time now);
    void beginShutdown(Time now);
    bool isShuttingDown() const { return shutdownAt_.has_value(); }

    void tick(Time now);
    JobEntryEffects takeEffects();

    bool isReady() const;
    std::uint64_t configurationVersion() const { return queues_.version(); }
    std::size_t jobCount() const { return jobs_.size(); }
    const AgentTable& agents() const { return agents_; }
    std::size_t linkedAgentCount() const { return links_.size(); }
    const JobEntryCounters& counters() const { return counters_; }
    const TimeHistogram& jobTimes() const { return jobTimes_; }

private:
    using JobKey = std::uint64_t;
    /// Refers to a task of a held job.
    struct TaskRef {
        JobKey job_ { 0 };
        std::uint32_t task_ { 0 };
    };

    void handle(LinkId, const Wire::AgentHello&, Time now);
    void handle(LinkId, const Wire::EntryHello&, Time now);
    void handle(LinkId, const Wire::RunHeartbeat&, Time now);
    void handle(LinkId, const Wire::ConfigurationRequest&, Time now);
    void handle(LinkId, const Wire::ConfigurationCopy&, Time now);
    void handle(LinkId, const Wire::EvacuatedZones&, Time now);
    void handle(LinkId, const Wire::RunEnded&, Time now);
    void handle(LinkId, const Wire::RunStalled&, Time now);
    void handle(LinkId, const Wire::TargetReport&, Time now);
    /// Handles message types that an agent never sends to an entry: aborts the link.
    void handle(LinkId link, const auto&, Time) { effects_.linksToAbort_.push_back(link); }

    /// Logs a change of the evacuated zones and sends them to all linked agents.
    void publishZones(std::string_view source);
    void sendZones(LinkId link);
    /// True if tasks can be placed on the agent's target.
    bool isUsable(const AgentRow& agent) const;
    AgentRow* findAgent(LinkId link);
    static void recordAgentTime(AgentRow& agent, std::uint64_t agentTime, Time now);
    /// Returns the agent's latest time, to be sent back to it.
    static std::uint64_t confirmAgentTime(AgentRow& agent);
    /// True if the agent's target is usable, serves the job's queue, has the required label and is large enough for a task.
    bool canRun(const HeldJob& job, const AgentRow& agent) const;
    /// True if a task takes longer on the agent's target because the job's data is on another rack.
    bool isRemote(const HeldJob& job, const AgentRow& agent) const;
    /// Expected run time of a task at a slowdown of 1, with the penalty for a target on another rack than the job's data.
    Duration expectedWork(const HeldJob& job, const AgentRow& agent) const;
    /// The run time at a slowdown of 1, on a target on the rack of the job's data, of a task that took this long on an agent's target.
    Duration workOf(Duration took, const HeldJob& job, const AgentRow& agent) const;
    /// The earliest that a task is to be reckoned to end whose expected time to the end is `finish`.
    static Duration shortestFinish(Duration finish, const HeldJob& job);
    /// The latest start of a task, if it runs for `run`, with which the job may still end when it is due.
    static Time latestStart(const HeldJob& job, Duration run);
    /// The place of the job's tasks among those that wait on an agent's target.
    StartOrder startOrder(const HeldJob& job, const AgentRow& agent, Time now) const;
    /// True if suspect targets, which fail what they run, are to be avoided.
    bool mustAvoidSuspects() const;
    /// The decision whether to accept a job, with the figures that it is based on.
    struct Admission {
        JobFailureReason failureReason_ { JobFailureReason::None };
        /// Expected time from now to the end of the job's last task.
        Duration expectedFinish_ {};
        /// Longest accepted value of `expectedFinish_`.
        Duration finishLimit_ {};
        /// Share of the capacity that more urgent tasks took lately.
        double urgentShare_ { 0 };
        /// Age of the oldest target report that the decision uses.
        Duration reportAge_ {};
    };
    Admission admit(const HeldJob& job, Time now);
    /// Starts a task on the best agent, if any; otherwise the task waits for a later tick.
    void place(JobKey key, HeldJob& job, std::uint32_t task, Time now);
    /// Random sample of the agents whose targets could run a task, split by whether they currently seem to have room.
    struct Sample {
        std::vector<Incarnation> free_;
        std::vector<Incarnation> full_;
    };
    Sample sampleAgents(const HeldJob& job, const JobTask& task, Time now);
    void keepRandomSample(std::vector<Incarnation>& from);
    /// The best agent for a task (invalid if no agent can run it) and the expected time from now to the task's end there.
    struct Placement {
        Incarnation agent_;
        Duration finish_ {};
    };
    Placement chooseAgent(const HeldJob& job, const JobTask& task, Time now);
    void startRun(Incarnation agent, JobKey key, HeldJob& job, std::uint32_t task, Time now);
    /// `took` is the time from the start at the target to the end.
    void endRun(std::uint64_t run, Wire::RunEnd end, Wire::NotStartedReason reason, Duration took, Time now);
    /// Places a task again, or recalls its job if it can't end before the deadline or the task was started too often.
    void retry(JobKey key, std::uint32_t task, Time now);
    /// Recalls a job of which a task can't end any more while its caller waits: it hardly ever ends earlier than `certainFinish` from now.
    void withdraw(JobKey key, Duration certainFinish, Time now);
    /// Stops a job's runs and starts no more of its tasks. `finishRecall` answers the job.
    void recall(JobKey key, JobFailureReason failureReason, Time now);
    void stopRuns(HeldJob& job);
    /// Answers a recalled job unless it must wait longer for proof that no task has begun.
    void finishRecall(JobKey key, Time now);
    void answer(JobKey key, JobOutcome outcome, JobFailureReason failureReason, Time now);
    void answerCaller(CallerId caller, JobOutcome outcome, JobFailureReason failureReason, Duration retryAfter);
    /// When the caller of a job that was rejected on arrival should come back: for lack of room, when the job is expected to be
    /// accepted, because so much of the work before it will have ended. Zero if that would be of no use.
    static Duration retryAfter(const Admission& admission);
    /// The same for a job that was rejected after it had waited.
    Duration retryAfterWait(HeldJob job, Time now);
    void reject(CallerId caller, const JobRequest& request, const Admission& admission);
    void checkJobs(Time now);
    void placeWaitingTasks(JobKey key, Time now);
    void checkAgents(Time now);
    void recordUtilization(Time now);
    /// Removes an agent and ends its runs as lost.
    void removeAgent(Incarnation agent, std::string_view why, Time now);
    void evictAnswers(Time now);
    void send(LinkId link, Wire::RunMessage message);
    void log(LogLine line) { effects_.log_.push_back(std::move(line)); }

    JobEntryCoreSettings settings_;
    std::mt19937_64 random_;
    QueueTable queues_;
    std::string configurationText_;
    ConfigurationFetch configurationFetch_;
    Time configurationConfirmedAt_;
    EvacuationState evacuation_;
    WorkModel workModel_;
    UrgentLoad urgentLoad_;
    Time utilizationRecordedAt_;
    AgentTable agents_;
    std::map<LinkId, Incarnation> links_;
    std::map<JobKey, HeldJob> jobs_;
    std::unordered_map<std::string, JobKey> jobsById_;
    std::unordered_map<std::uint64_t, JobKey> jobsByCaller_;
    /// Tasks of the runs of unanswered jobs, by run number.
    std::unordered_map<std::uint64_t, TaskRef> runs_;
    struct KeptAnswer {
        JobOutcome jobOutcome_;
        Time until_;
    };
    /// Answers of jobs that were done or failed, by job id.
    std::unordered_map<std::string, KeptAnswer> answers_;
    /// Expiry and job id of each kept answer, oldest first.
    std::deque<std::pair<Time, std::string>> answersByAge_;
    JobKey lastJob_ { 0 };
    std::uint64_t lastRun_ { 0 };
    std::optional<Time> shutdownAt_;
    JobEntryCounters counters_;
    TimeHistogram jobTimes_;
    JobEntryEffects effects_;
};

} // namespace Lagoonpick
