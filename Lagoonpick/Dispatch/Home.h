#pragma once

#include "Lagoonpick/Dispatch/AnyPolicy.h"
#include "Lagoonpick/Dispatch/EntryEffects.h"
#include "Lagoonpick/Dispatch/EntrySettings.h"
#include "Lagoonpick/Dispatch/FairQueue.h"
#include "Lagoonpick/Dispatch/JobTable.h"
#include "Lagoonpick/Dispatch/RunTimeModel.h"
#include "Lagoonpick/Dispatch/TargetHealth.h"
#include "Lagoonpick/Dispatch/TargetTable.h"
#include "Lagoonpick/Membership/Registration.h"
#include "Lagoonpick/Observability/TimeHistogram.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <deque>
#include <map>
#include <string>

namespace Lagoonpick {

/// Manages the jobs whose home this entry is: accepts them, sends their tasks to targets, records each task's outcome
/// and answers once all tasks are settled. Only this class starts tasks, and only for submissions whose home this entry
/// is.
///
/// A task is sent again only after an agent's ledger has proved that the earlier attempt did not start and never
/// will. Not thread-safe.
class Home {
public:
    /// Effects are appended to `effects`, which must outlive this object.
    Home(const EntrySettings& settings, std::uint64_t seed, EntryEffects& effects);

    /// Accepts a job, adds the request to the waiters of a job that was accepted before with the same body, or refuses
    /// it. `body` is the caller's JSON.
    void submit(Time now, RequestId request, const SubmissionId& id, std::string_view body, Time until);

    /// Replies with the job's answer once the job has ended, or with a problem if it is still open at `until`.
    void fetch(Time now, RequestId request, const SubmissionId& id, Time until);

    /// Stops a job: its tasks that have not started are not started any more. If there is no such job yet, leaves a
    /// tombstone. Then replies as `fetch` does.
    void cancel(Time now, RequestId request, const SubmissionId& id, Time until);

    /// Leaves a tombstone for a refused or cancelled submission, so that a delayed copy of it can't run either.
    void addTombstone(Time now, const SubmissionId& id);

    /// True if there is a job or a tombstone for `id`.
    bool containsSubmission(const SubmissionId& id) const;

    /// Sets the number of entries that share the targets, this one included.
    void setEntryCount(std::size_t count) { entryCount_ = std::max<std::size_t>(count, 1); }

    /// Refuses every new job from now on.
    void beginDrain() { isDraining_ = true; }

    /// Answers every waiting request with `problem`.
    void abandonRequests(const Problem& problem);

    /// The `Hello` of an agent was received over `link`: queries the agent about its target's outstanding tasks.
    void agentConnected(Time now, LinkId link, const Wire::Hello&);

    /// A link was closed; the tasks sent over it are unconfirmed until their agent reports on them. Ignores links that are
    /// not an agent's.
    void agentDisconnected(LinkId link);
    bool isAgent(LinkId link) const { return targets_.findByLink(link) != noTarget; }

    /// The platform lists the agent beside a target; earlier agents of the target are lost with their ledgers. A task's
    /// outcome becomes unknown only by such a registration, never by a `Hello`: the view that lists the registration also
    /// shows whether this entry was fenced, and a fenced entry must not report an outcome.
    void agentRegistered(const Registration&);

    void receive(Time now, LinkId link, const Wire::Heartbeat&);
    void receive(Time now, LinkId link, const Wire::Refusal&);
    void receive(Time now, LinkId link, const Wire::Result&);
    void receive(Time now, LinkId link, const Wire::TaskState&);
    void receive(Time now, LinkId link, const Wire::Dropped&);

    /// Acknowledges results to their agents in batches: when a batch is full, when its oldest result has waited long
    /// enough, or when the agent is draining and waits for the acknowledgement before it exits. Visits every target.
    void acknowledgeResults(Time now);

    /// Recalls the queued tasks of stalled targets, on which no task ends any more. Visits every target.
    void recallFromStalled(Time now);

    /// Expires job deadlines, dispatches pending tasks, expires waiting requests and forgets old jobs and tombstones.
    void tick(Time now);

    bool hasOpenJobs() const { return openJobs_; }
    const JobTable& jobs() const { return jobs_; }
    const TargetTable& targets() const { return targets_; }
    std::uint64_t tasksPending() const { return tasksPending_; }
    std::uint64_t tasksOutstanding() const { return tasksOutstanding_; }
    std::uint64_t tasksSent() const { return tasksSent_; }
    const TimeHistogram& responseTimes() const { return responseTimes_; }
    const TimeHistogram& waitTimes() const { return waitTimes_; }
    const TimeHistogram& runTimes() const { return runTimes_; }

    /// Number of times that a target was ejected.
    std::uint64_t ejections() const;
    std::uint64_t recalls() const { return recalls_; }
    std::size_t tombstoneCount() const { return tombstones_.size(); }

private:
    /// A service: the jobs that wait for its targets, and what is learnt of its run times and failures.
    struct Service {
        std::string name_;
        FairQueue queue_;
        RunTimeModel model_;
        TargetHealth health_;
        std::vector<TargetIndex> targets_;
        /// Number of pending tasks.
        std::uint64_t pending_ { 0 };
    };

    /// A job or tombstone and the time from which its retention is counted.
    struct RememberedSubmission {
        Time rememberedSince_;
        SubmissionId id_;
    };

    void accept(Time now, RequestId request, const SubmissionId& id, Submission submission, Time until);
    void updateLastProgress(Time now, TargetIndex);
    void refuse(Time now, RequestId request, const SubmissionId& id, const Problem& problem);
    void replyOrWait(RequestId request, JobIndex, Time until);
    void replyEnded(RequestId request, const Job&);
    void stop(JobIndex);
    void settle(JobIndex, std::uint32_t task, Wire::TaskOutcome);
    void settleNotRun(JobIndex, Task&);
    void endIfSettled(JobIndex);
    void remember(Time now, const SubmissionId& id);
    void evictAnswers();
    void forgetExpired(Time now);
    void expireDeadlines(Time now);
    void expireWaiters(Time now);
    void dispatch(Time now);
    bool sendNext(Time now, Service&, JobIndex);
    static bool skipToPending(Job&);
    void send(Time now, JobIndex, std::uint32_t task, TargetIndex);

    /// Removes the task from the counts of outstanding tasks.
    void release(Task&);
    void retryOrSettle(JobIndex, std::uint32_t task);
    void requeue(JobIndex);
    void assignService(TargetIndex, const std::string& service);

    /// Settles as unknown the tasks that were sent to replaced agents of the target which can't answer any more.
    void settleLostTasks(TargetIndex);
    ServiceIndex findOrAddService(const std::string& name);
    Service& serviceOf(const Job& job) { return services_[job.service_]; }

    /// The task that `key` names, if `attempt` is its outstanding attempt and was sent to the current agent of the target
    /// `from`; null otherwise. Messages about any other attempt are ignored.
    Task* findOutstandingTask(const TaskKey& key, std::uint32_t attempt, TargetIndex from);

    template <typename Visitor>
    void forEachOutstandingTask(TargetIndex, Visitor visit);

    const EntrySettings& settings_;
    Random random_;
    EntryEffects& effects_;
    AnyPolicy policy_;
    bool isDraining_ { false };
    std::size_t entryCount_ { 1 };
    JobTable jobs_;
    TargetTable targets_;
    std::vector<Service> services_;
    boost::unordered_flat_map<std::string, ServiceIndex> serviceIndexOf_;
    boost::unordered_flat_map<SubmissionId, Time, std::hash<SubmissionId>> tombstones_;
    /// In the order in which they may be forgotten.
    std::deque<RememberedSubmission> rememberedSubmissions_;
    /// Ended jobs, oldest first: the order in which their answers are evicted.
    std::deque<SubmissionId> evictable_;
    std::multimap<Time, SubmissionId> jobDeadlines_;
    std::multimap<Time, SubmissionId> waiterDeadlines_;
    /// Total size of the kept answers.
    std::uint64_t keptBytes_ { 0 };
    std::uint64_t openJobs_ { 0 };
    std::uint64_t tasksPending_ { 0 };
    std::uint64_t tasksOutstanding_ { 0 };
    std::uint64_t tasksSent_ { 0 };
    std::uint64_t recalls_ { 0 };
    /// Time of the last tick or result.
    Time now_;
    TimeHistogram responseTimes_;
    TimeHistogram waitTimes_;
    TimeHistogram runTimes_;
};

} // namespace Lagoonpick
