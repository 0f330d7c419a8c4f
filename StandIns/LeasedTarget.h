#pragma once

#include "Lagoonpick/Run/TargetCalls.h"

#include <functional>
#include <map>
#include <random>

namespace Lagoonpick::StandIns {

/// Simulates a target: runs tasks under leases by a clock of its own, in virtual or real time, and detects starts that
/// exceed its capacity, which no agent may send.
class LeasedTarget {
public:
    /// A run in progress.
    struct Running {
        RunName name_;
        Wire::Resources need_;
        /// Run time at speed 1.
        Duration work_ {};
        /// Ends as failed when its work is done.
        bool fails_ { false };
        /// Begun by a late call; not counted against the capacity.
        bool isLate_ { false };
        /// Makes no progress, so never ends by itself.
        bool hangs_ { false };
        /// Work that is left, as run time at speed 1.
        Duration remainingWork_ { work_ };
    };

    struct Hooks {
        /// Called when a run begins.
        std::function<void(const RunName&)> began_;
        /// Called when a run ends, with the way in which it ended.
        std::function<void(const RunName&, Wire::RunEnd)> ended_;
        /// Returns what a run needs and how long it takes.
        std::function<Running(const RunName&)> describe_;
    };

    /// `clockRate`: milliseconds that the target's clock advances per millisecond of time.
    LeasedTarget(std::string id, Wire::Resources capacity, double clockRate, Hooks hooks);

    /// Advances the simulation to `now`: runs progress and end, the lease expires.
    void advance(Time now);

    /// True if a call that names this target as the expected one, or none, is meant for it.
    bool isMeant(const std::string& expectedTarget) const { return expectedTarget.empty() || expectedTarget == id_; }

    /// A call that is meant for another target gets `CallAnswer::WrongTarget` and does nothing.
    ///
    /// `isLate`: the call is carried out seconds after it was sent. An agent can't know of such a run before the target
    /// lists it, so the run does not count against the capacity.
    CallReply receive(const StartCall& start, Time now, bool isLate);
    CallReply receive(const StopCall& stop, Time now);
    LeaseReply receive(const LeaseCall& call, Time now);

    /// Restarts the target under the same id: its runs are lost; lease, fencing token, start numbers and ends are reset. Its
    /// reported start time is lower than before if its clock has stepped back.
    void restart(Time now, bool hasClockSteppedBack = false);
    /// Puts another target in its place, at the same address.
    void replace(std::string id, std::vector<std::string> labels, Time now);
    /// While set, each run that completes its work ends as failed.
    void setFailing(bool isFailing) { isFailing_ = isFailing; }
    /// While set, runs that begin make no progress, so never end by themselves.
    void setHanging(bool isHanging) { isHanging_ = isHanging; }
    /// Sets how much work is done per second of time, from `now` on.
    void setSpeed(double speed, Time now);
    void setDraining() { isDraining_ = true; }
    bool isDraining() const { return isDraining_; }

    TargetHeartbeat heartbeat();
    const std::vector<std::string>& labels() const { return labels_; }
    const std::map<RunName, Running>& running() const { return running_; }
    /// Number of the current incarnation; rises with each restart. A call that was sent to an earlier incarnation is lost
    /// with its connection.
    std::uint64_t incarnation() const { return incarnationNumber_; }
    /// True if a start has exceeded the capacity.
    bool wasOvercommitted() const { return wasOvercommitted_; }
    /// True if a run has ended since the end with number `highestSeenEnd`.
    bool hasNewEnds(std::uint64_t highestSeenEnd) const { return lastEndNumber_ > highestSeenEnd; }

private:
    /// The target's clock in milliseconds.
    std::int64_t clock(Time now) const;
    void finish(const RunName& name, Wire::RunEnd end);

    std::string id_;
    std::vector<std::string> labels_ { "kind" };
    Wire::Resources capacity_;
    double clockRate_;
    Hooks hooks_;
    Time startedAt_;
    std::uint64_t incarnationNumber_ { 1 };
    /// The start time that it reports.
    std::uint64_t reportedStart_ { 1'000'000 };
    std::uint64_t sequence_ { 0 };
    bool isDraining_ { false };
    bool isFailing_ { false };
    bool isHanging_ { false };
    double speed_ { 1 };
    Time advancedAt_;
    bool wasOvercommitted_ { false };
    std::uint64_t fencingToken_ { 0 };
    /// End of the lease in milliseconds by the target's clock.
    std::int64_t leaseUntil_ { 0 };
    std::map<RunName, Running> running_;
    /// The highest start number of each task that was started or stopped here.
    std::map<std::string, std::uint32_t> highestNumbers_;
    /// Ends that no lease call has acknowledged yet.
    std::vector<EndedRow> ended_;
    std::uint64_t lastEndNumber_ { 0 };
};

} // namespace Lagoonpick::StandIns
