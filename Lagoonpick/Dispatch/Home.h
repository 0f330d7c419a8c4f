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

/// The jobs whose home this entry is: takes them in, sends their tasks to targets, settles each task's fate and
/// answers whole. Only this class starts tasks, and only for submissions whose home this entry is.
///
/// A task is sent again only after an agent's ledger has proved that the earlier attempt did not start and never
/// will. Not thread-safe.
class Home {
public:
    /// Effects are appended to `effects`, which must outlive this object.
    Home(const EntrySettings& settings, std::uint64_t seed, EntryEffects& effects);

    /// Takes a job in, joins the request to the job if it is known, or refuses it. `body` is the caller's JSON.
    void submit(Time now, RequestId request, const SubmissionId& id, std::string_view body, Time until);

    /// Answers with the job's answer once it has ended, at `until` at the latest.
    void fetch(Time now, RequestId request, const SubmissionId& id, Time until);

    /// Stops a job: what has not started stays unstarted. Then as `fetch`.
    void cancel(Time now, RequestId request, const SubmissionId& id, Time until);

    /// Remembers that the submission was refused, so that a delayed copy of it can't run either.
    void refuseForGood(Time now, const SubmissionId& id);

    /// True if `id` is a job or a tombstone here.
    bool knows(const SubmissionId& id) const;

    /// How many entries share the targets, this one among them.
    void setEntryCount(std::size_t count) { entryCount_ = std::max<std::size_t>(count, 1); }

    /// Refuses every new job from now on.
    void beginDrain() { isDraining_ = true; }

    /// Answers every waiting request with `problem`.
    void abandonRequests(const Problem& problem);

    void agentGreeted(Time now, LinkId link, const Wire::Hello&);
    void agentLost(LinkId link);
    bool isAgent(LinkId link) const { return targets_.findByLink(link) != noTarget; }

    /// The platform says which agent is beside a target; earlier ones are gone with their ledgers. Only this, never
    /// a greeting, makes a task's fate unknown: the same reading of the platform shows whether this entry was
    /// fenced before, and then it must say nothing definite.
    void agentRegistered(const Registration&);

    void receive(Time now, LinkId link, const Wire::Heartbeat&);
    void receive(Time now, LinkId link, const Wire::Refusal&);
    void receive(Time now, LinkId link, const Wire::Result&);
    void receive(Time now, LinkId link, const Wire::TaskState&);
    void receive(Time now, LinkId link, const Wire::Dropped&);

    /// Tells agents which of their results are kept: many at once, or after a while, or when an agent waits for it
    /// in order to leave.
    void acknowledgeResults(Time now);

    /// Calls back what waits at targets on which nothing ends any more. Looks at every target.
    void recallFromStalled(Time now);

    /// Runs the systems: deadlines, waiters, dispatch, forgetting.
    void tick(Time now);

    bool hasOpenJobs() const { return openJobs_; }
    const JobTable& jobs() const { return jobs_; }
    const TargetTable& targets() const { return targets_; }
    std::uint64_t tasksPending() const { return tasksPending_; }
    std::uint64_t tasksOutstanding() const { return tasksOutstanding_; }
    std::uint64_t tasksStarted() const { return tasksSent_; }
    const TimeHistogram& responseTimes() const { return responseTimes_; }
    const TimeHistogram& waitTimes() const { return waitTimes_; }
    const TimeHistogram& runTimes() const { return runTimes_; }

    /// How many times targets were taken out of the choice.
    std::uint64_t ejections() const;
    std::uint64_t recalls() const { return recalls_; }
    std::size_t tombstoneCount() const { return tombstones_.size(); }

private:
    struct Service {
        std::string name_;
        FairQueue queue_;
        RunTimeModel model_;
        TargetHealth health_;
        std::vector<TargetIndex> targets_;
        std::uint64_t pending_ { 0 };
    };

    struct Memory {
        Time at_;
        SubmissionId id_;
    };

    void accept(Time now, RequestId request, const SubmissionId& id, Submission submission, Time until);
    void noteSending(Time now, TargetIndex);
    void refuse(Time now, RequestId request, const SubmissionId& id, const Problem& problem);
    void replyOrWait(RequestId request, JobIndex, Time until);
    void replyEnded(RequestId request, const Job&);
    void stop(JobIndex);
    void settle(JobIndex, std::uint32_t task, Wire::TaskOutcome);
    void settleNotRun(JobIndex, Task&);
    void endIfSettled(JobIndex);
    void remember(Time now, const SubmissionId& id);
    void evictAnswers();
    void forget(Time now);
    void expireDeadlines(Time now);
    void expireWaiters(Time now);
    void dispatch(Time now);
    bool sendNext(Time now, Service&, JobIndex);
    static bool skipToPending(Job&);
    void send(Time now, JobIndex, std::uint32_t task, TargetIndex);
    void release(Task&);
    void retryOrSettle(JobIndex, std::uint32_t task);
    void requeue(JobIndex);
    void offer(TargetIndex, const std::string& service);
    void loseEarlierLedgers(TargetIndex);
    ServiceIndex findOrAddService(const std::string& name);
    Service& serviceOf(const Job& job) { return services_[job.service_]; }

    /// The task that `key` names if this agent's word about `attempt` counts; null otherwise.
    Task* findCurrent(const TaskKey& key, std::uint32_t attempt, TargetIndex from);

    template <typename Visitor>
    void forEachTaskAt(TargetIndex, Visitor visit);

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
    std::deque<Memory> memory_;
    std::deque<SubmissionId> evictable_;
    std::multimap<Time, SubmissionId> deadlines_;
    std::multimap<Time, SubmissionId> waits_;
    std::uint64_t keptBytes_ { 0 };
    std::uint64_t openJobs_ { 0 };
    std::uint64_t tasksPending_ { 0 };
    std::uint64_t tasksOutstanding_ { 0 };
    std::uint64_t tasksSent_ { 0 };
    std::uint64_t recalls_ { 0 };
    Time now_;
    TimeHistogram responseTimes_;
    TimeHistogram waitTimes_;
    TimeHistogram runTimes_;
};

} // namespace Lagoonpick
