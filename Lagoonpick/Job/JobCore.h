#pragma once

#include "Lagoonpick/Job/AgentTable.h"
#include "Lagoonpick/Job/JobSettings.h"
#include "Lagoonpick/Job/JobTable.h"
#include "Lagoonpick/Job/QueueTable.h"
#include "Lagoonpick/Job/RejectionShares.h"
#include "Lagoonpick/Job/WorkModel.h"
#include "Lagoonpick/Observability/EventLog.h"
#include "Lagoonpick/Observability/TimeHistogram.h"
#include "Lagoonpick/Wire/Outgoing.h"

#include <deque>
#include <random>
#include <unordered_map>

namespace Lagoonpick {

/// What a `JobCore` wants done.
struct JobEffects {
    std::vector<Wire::Outgoing<Wire::RunMessage>> messages_;
    std::vector<LinkId> linksToAbort_;
    std::vector<JobAnswer> answers_;
    /// Configurations that came from other processes, to be read and handed back by `setQueues`.
    std::vector<Wire::ConfigurationCopy> configurations_;
    std::vector<LogLine> log_;
};

/// Counts since the start of the process.
struct JobCounters {
    std::uint64_t accepted_ { 0 };
    std::uint64_t done_ { 0 };
    std::uint64_t failed_ { 0 };
    std::uint64_t cancelled_ { 0 };
    std::uint64_t rejected_ { 0 };
    std::uint64_t givenUp_ { 0 };
    std::uint64_t abandoned_ { 0 };
    std::uint64_t doneLate_ { 0 };
    std::uint64_t runs_ { 0 };
    std::uint64_t repeatedRuns_ { 0 };
    std::uint64_t movedRuns_ { 0 };
};

/// The decisions of an entry about jobs that are answered when they have ended: which are taken, where their tasks run,
/// what is tried again, and what their callers are told. A job lives in the entry that took it and nowhere else.
///
/// No sockets, no clock: inputs come with the time, effects go out. Not thread-safe.
class JobCore {
public:
    JobCore(JobSettings settings, std::uint64_t seed);

    /// Installs a newer version of the configuration; an older one changes nothing.
    void setQueues(QueueTable queues, std::string text, Time now);
    /// The configuration in force was found to be the newest.
    void confirmConfiguration(Time now) { configurationConfirmedAt_ = now; }

    void submit(CallerId caller, const JobRequest& request, Time now);
    /// The caller closed its connection.
    void abandon(CallerId caller, Time now);
    /// True if the job was there and is cancelled.
    bool cancel(const std::string& id, Time now);
    bool isHeld(const std::string& id) const { return byId_.contains(id); }

    /// Whether the queue exists; nothing if that isn't known.
    std::optional<bool> hasQueue(std::string_view host, std::string_view path, Time now) const;

    void opened(LinkId link, Time now);
    void closed(LinkId link, Time now);
    void receive(LinkId link, const Wire::RunMessage& message, Time now);

    /// The process did not run for a while: callers may have sent their jobs elsewhere meanwhile.
    void resume(Duration gap, Time now);
    void beginShutdown(Time now);
    bool isShuttingDown() const { return shutdownAt_.has_value(); }

    void tick(Time now);
    JobEffects takeEffects();

    bool isReady() const;
    std::uint64_t configurationVersion() const { return queues_.version(); }
    std::size_t jobCount() const { return jobs_.size(); }
    const AgentTable& agents() const { return agents_; }
    const JobCounters& counters() const { return counters_; }
    const TimeHistogram& jobTimes() const { return jobTimes_; }

private:
    using JobKey = std::uint64_t;
    struct RunPlace {
        JobKey job_ { 0 };
        std::uint32_t task_ { 0 };
    };

    void handle(LinkId, const Wire::AgentHello&, Time now);
    void handle(LinkId, const Wire::EntryHello&, Time now);
    void handle(LinkId, const Wire::RunHeartbeat&, Time now);
    void handle(LinkId, const Wire::ConfigurationCopy&, Time now);
    void handle(LinkId, const Wire::RunEnded&, Time now);
    void handle(LinkId, const Wire::RunStalled&, Time now);
    void handle(LinkId, const Wire::TargetReport&, Time now);
    /// What only entries send.
    void handle(LinkId link, const auto&, Time) { effects_.linksToAbort_.push_back(link); }

    AgentRow* agentOf(LinkId link);
    /// True if tasks of the job may run on the agent's target.
    bool canRun(const HeldJob& job, const AgentRow& agent) const;
    /// How long a task of the job takes on a target of slowness 1 with the agent's labels.
    Duration workOn(const HeldJob& job, const AgentRow& agent) const;
    /// True if targets that fail what they run are left out.
    bool mustSpareSuspects() const;
    /// Whether a job is taken, and what decided it.
    struct Admission {
        JobRefusal refusal_ { JobRefusal::None };
        /// When its last task was expected to end, and by when it had to.
        Duration expected_ {};
        Duration limit_ {};
        /// It would have been in time, but other queues have to reject jobs.
        bool isForOthers_ { false };
        /// How old the oldest of the targets' reports is that this rests on.
        Duration reportAge_ {};
    };
    Admission admit(const HeldJob& job, Time now);
    bool mustYield(const HeldJob& job, Time now);
    void place(JobKey key, HeldJob& job, std::uint32_t task, Time now);
    /// The agents that a task may be placed on, a random few of them where there are many.
    /// A few of the targets that could run a task, by whether they seem to have room.
    struct Sample {
        std::vector<Incarnation> free_;
        std::vector<Incarnation> full_;
    };
    Sample sampleAgents(const HeldJob& job, const JobTask& task, Time now);
    void drawSome(std::vector<Incarnation>& from);
    /// Where a task is best placed, and when it is expected to end there.
    struct Placement {
        Incarnation agent_;
        Duration finish_ {};
    };
    Placement chooseAgent(const HeldJob& job, const JobTask& task, Time now);
    void startOn(Incarnation agent, JobKey key, HeldJob& job, std::uint32_t task, Time now);
    void endRun(std::uint64_t run, Wire::RunEnd end, Wire::NotStartedReason reason, Time now);
    void retry(JobKey key, std::uint32_t task, Time now);
    void recall(JobKey key, JobRefusal refusal, Time now);
    void stopRuns(HeldJob& job);
    void finishRecalled(JobKey key, Time now);
    void answer(JobKey key, JobVerdict verdict, JobRefusal refusal, Time now);
    void answerCaller(CallerId caller, JobVerdict verdict, JobRefusal refusal);
    void reject(CallerId caller, const JobRequest& request, const Admission& admission);
    void checkJobs(Time now);
    void checkAgents(Time now);
    void loseRunsOf(Incarnation agent, Time now);
    void forgetAnswers(Time now);
    void send(LinkId link, Wire::RunMessage message);
    void log(LogLine line) { effects_.log_.push_back(std::move(line)); }

    JobSettings settings_;
    std::mt19937_64 random_;
    QueueTable queues_;
    std::string configurationText_;
    Time configurationConfirmedAt_;
    WorkModel workModel_;
    RejectionShares rejectionShares_;
    AgentTable agents_;
    std::map<LinkId, Incarnation> links_;
    std::map<JobKey, HeldJob> jobs_;
    std::unordered_map<std::string, JobKey> byId_;
    std::unordered_map<std::uint64_t, JobKey> byCaller_;
    std::unordered_map<std::uint64_t, RunPlace> runs_;
    struct KeptAnswer {
        JobVerdict verdict_;
        Time until_;
    };
    std::unordered_map<std::string, KeptAnswer> answers_;
    std::deque<std::pair<Time, std::string>> answersByAge_;
    JobKey lastJob_ { 0 };
    std::uint64_t lastRun_ { 0 };
    std::optional<Time> shutdownAt_;
    JobCounters counters_;
    TimeHistogram jobTimes_;
    JobEffects effects_;
};

} // namespace Lagoonpick
