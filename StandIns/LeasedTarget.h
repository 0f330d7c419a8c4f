#pragma once

#include "Lagoonpick/Run/TargetCalls.h"

#include <functional>
#include <map>
#include <random>

namespace Lagoonpick::StandIns {

/// A target as agents see it: runs tasks under leases, by its own clock, and checks what no agent may do.
class LeasedTarget {
public:
    struct Running {
        RunName name_;
        Wire::Resources need_;
        /// How long it takes at full speed.
        Duration work_ {};
        bool fails_ { false };
        bool isLate_ { false };
        /// Never ends by itself.
        bool hangs_ { false };
        Duration left_ { work_ };
    };

    struct Hooks {
        /// Called when a run begins and when it ends, with the reason.
        std::function<void(const RunName&)> began_;
        std::function<void(const RunName&, Wire::RunEnd)> ended_;
        /// What a run needs and how long it takes.
        std::function<Running(const RunName&)> describe_;
    };

    LeasedTarget(std::string id, Wire::Resources capacity, double clockRate, Hooks hooks);

    /// Lets time pass: runs end, leases expire.
    void advance(Time now);

    /// `isLate`: carried out seconds after it was sent. No agent can know of such a run before it is listed, so it does not
    /// count against the room.
    CallReply receive(const StartCall& start, Time now, bool isLate);
    CallReply receive(const StopCall& stop, Time now);
    LeaseReply receive(const LeaseCall& call, Time now);

    /// Everything is lost; it begins anew under the same id.
    void restart(Time now);
    /// Fails all it runs, or nothing more.
    void setFailing(bool isFailing) { isFailing_ = isFailing; }
    /// What begins from now on never ends by itself.
    void setHanging(bool isHanging) { isHanging_ = isHanging; }
    /// How much work is done in a second of time, from now on.
    void setSpeed(double speed, Time now);
    void setDraining() { isDraining_ = true; }
    bool isDraining() const { return isDraining_; }

    TargetHeartbeat heartbeat();
    const std::map<RunName, Running>& running() const { return running_; }
    /// Rises with each life; a call that was sent to an earlier one is lost with its connection.
    std::uint64_t life() const { return bornCount_; }
    bool wasOverfilled() const { return wasOverfilled_; }
    bool hasNews(std::uint64_t endsSeen) const { return lastEnd_ > endsSeen; }

private:
    std::int64_t clock(Time now) const;
    void finish(const RunName& name, Wire::RunEnd end);

    std::string id_;
    Wire::Resources capacity_;
    double clockRate_;
    Hooks hooks_;
    Time startedAt_;
    std::uint64_t bornCount_ { 1 };
    std::uint64_t sequence_ { 0 };
    bool isDraining_ { false };
    bool isFailing_ { false };
    bool isHanging_ { false };
    double speed_ { 1 };
    Time advancedAt_;
    bool wasOverfilled_ { false };
    std::uint64_t fencingToken_ { 0 };
    std::int64_t leaseUntil_ { 0 };
    std::map<RunName, Running> running_;
    /// The highest number of each task that was started or stopped here.
    std::map<std::string, std::uint32_t> highest_;
    std::vector<EndedRow> ended_;
    std::uint64_t lastEnd_ { 0 };
};

} // namespace Lagoonpick::StandIns
