#pragma once

#include "Lagoonpick/Core/LinkId.h"
#include "Lagoonpick/Dispatch/Job.h"
#include "Lagoonpick/Wire/Message.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonpick {

/// The part of a target's state that policies read for every task. Small and stored apart from `Target` for locality.
struct TargetLoad {
    /// No task is sent to the target before this time.
    Time avoidUntil_;
    /// Ratio of a task's run time on this target to that on a reference target, learnt from completed tasks.
    double slowdown_ { 1 };
    /// Number of run times that were learnt from; see `RunTimeModel`.
    double samples_ { 0 };
    std::uint32_t slots_ { 0 };
    /// Tasks that this entry sent to the target and that are not settled.
    std::uint32_t outstanding_ { 0 };
    /// Tasks that other entries have at the target, as of its last load report.
    std::uint32_t othersLoad_ { 0 };
    /// Ejections since the last success; above 0 while the target is ejected or being probed. See `TargetHealth`.
    std::uint32_t ejections_ { 0 };
    std::uint32_t consecutiveFailures_ { 0 };
    /// True while the agent is linked and the target is not draining.
    bool isOpen_ { false };

    std::uint32_t busy() const { return outstanding_ + othersLoad_; }
    bool isUsable(Time now) const { return isOpen_ && avoidUntil_ <= now; }
};

/// The state of one target and of its agent, apart from `TargetLoad`.
struct Target {
    std::string name_;
    std::string service_;
    std::string availabilityZone_;
    /// The agent that is linked, or the last one that was.
    Incarnation agent_;
    /// The registration generation of `agent_`.
    std::uint64_t generation_ { 0 };
    /// The newest generation in the target's registration on the platform.
    std::uint64_t registeredGeneration_ { 0 };
    /// Empty while the agent is not linked.
    std::optional<LinkId> link_;
    /// The last load report.
    Wire::Load load_;
    /// Results that this entry has received and not yet acknowledged to the agent.
    std::vector<TaskKey> unacknowledged_;
    /// When the oldest of `unacknowledged_` was received.
    Time oldestUnacknowledged_;
    /// When a task last ended on the target, or was sent to it while none was outstanding.
    Time lastProgress_;
    /// True from the recall of the target's queued tasks until a task ends on it.
    bool isStalled_ { false };
};

/// The targets known to an entry, by index. Rows are never removed, so an index stays valid; references do not, as
/// `findOrAdd` may move the rows.
///
/// Not thread-safe.
class TargetTable {
public:
    /// Returns the target called `name`; adds a row if there is none.
    TargetIndex findOrAdd(const std::string& name);

    /// The target whose agent is at the other end of `link`, or `noTarget`.
    TargetIndex findByLink(LinkId link) const;

    /// Sets the link to the target's agent, in place of an older one, and opens the target unless it is draining.
    void bind(TargetIndex index, LinkId link);

    /// Removes the target's link, if any, and closes the target to new tasks.
    void unbind(TargetIndex index);

    Target& at(TargetIndex index) { return targets_[index]; }
    const Target& at(TargetIndex index) const { return targets_[index]; }
    TargetLoad& loadOf(TargetIndex index) { return loads_[index]; }
    const TargetLoad& loadOf(TargetIndex index) const { return loads_[index]; }
    TargetIndex size() const { return static_cast<TargetIndex>(targets_.size()); }

    /// Updates the load from a report in a message from the agent.
    void updateLoad(TargetIndex index, const Wire::Load& load);

private:
    std::vector<Target> targets_;
    std::vector<TargetLoad> loads_;
    boost::unordered_flat_map<std::string, TargetIndex> indexOf_;
    boost::unordered_flat_map<std::uint64_t, TargetIndex> byLink_;
};

} // namespace Lagoonpick
