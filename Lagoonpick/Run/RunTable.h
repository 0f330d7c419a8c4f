#pragma once

#include "Lagoonpick/Run/RunProgress.h"
#include "Lagoonpick/Run/StartOrder.h"
#include "Lagoonpick/Run/TargetCalls.h"

#include <map>

namespace Lagoonpick {

/// The state of a run at the agent.
enum class RunPhase : std::uint8_t {
    /// Waits for free capacity on the target.
    Queued,
    /// The start was sent; the target has not confirmed it.
    Starting,
    Running,
    /// A stop was sent; the run occupies capacity until its end is known.
    Stopping,
};

/// A run that an entry requested from this agent and whose end has not been reported yet.
struct Run {
    Incarnation entry_;
    /// The number that the entry gave the run.
    std::uint64_t run_ { 0 };
    RunName name_;
    std::string payload_;
    Wire::Resources need_;
    /// The expected run time on a target of slowdown 1.
    Duration work_ {};
    /// When the run is dropped if it is still queued.
    Time waitUntil_;
    /// Its place among queued runs.
    StartOrder order_;
    /// When the caller stops waiting for the job.
    Time deadline_;
    RunPhase phase_ { RunPhase::Queued };
    /// True once the target has accepted the start or listed the run.
    bool isConfirmed_ { false };
    /// True once the present incarnation of the target has listed the run, so that no other can have it.
    bool isListed_ { false };
    /// When the start was found to be unanswered; the next list shows whether the run has begun.
    std::optional<Time> unansweredAt_;
    /// True if the run was sent to a former incarnation of the target: nothing that the present one says proves that it never
    /// began.
    bool isSentToFormer_ { false };
    /// True once the target has accepted a stop: it will not begin the run any more.
    bool isStopAnswered_ { false };
    Time startSentAt_;
    /// When the last confirmation of the run's start or stop arrived from the target.
    Time answeredAt_;
    Time stopSentAt_;
    /// When the first stop was sent.
    Time stopBeganAt_;
    RunProgress progress_;
    /// True once the run was found to be far over its expected time on a sound target.
    bool isStraggler_ { false };
    /// True once the run was found to be stuck.
    bool isStuck_ { false };
    /// Earliest time of the next stall report to the entry.
    Time nextStallReport_;
    /// The reason to report if the run turns out never to have begun.
    Wire::NotStartedReason reason_ { Wire::NotStartedReason::None };
};

/// The run's place among queued runs at `now`. One that can no longer end when its job is due still has its caller's time: it makes way
/// for those that can keep both.
inline StartOrder orderAt(const Run& run, Time now)
{
    if (run.order_.due_ >= now)
        return run.order_;
    return { run.order_.priority_, std::max(run.deadline_ - run.work_, run.order_.due_) };
}

/// The runs of an agent and the resources that they need.
///
/// Not thread-safe.
class RunTable {
public:
    using Id = std::uint64_t;

    Id add(Run run);
    void remove(Id id);

    Run* find(Id id);
    /// The run of this name that was sent to the target; 0 if there is none.
    Id findOnTarget(const RunName& name) const;
    /// The run with this number from the entry; 0 if there is none.
    Id findOfEntry(Incarnation entry, std::uint64_t run) const;

    /// Every run, oldest first.
    const std::map<Id, Run>& rows() const { return rows_; }
    std::map<Id, Run>& rows() { return rows_; }

    /// The resources of all runs that were sent to the target.
    Wire::Resources used() const;
    /// The resources of all queued runs.
    Wire::Resources queued() const;
    std::size_t queuedCount() const;

private:
    std::map<Id, Run> rows_;
    Id lastId_ { 0 };
};

} // namespace Lagoonpick
