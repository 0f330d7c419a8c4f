#pragma once

#include "Lagoonpick/Dispatch/EntryCore.h"
#include "Lagoonpick/Ledger/AgentCore.h"
#include "Load/Scenario.h"

#include <functional>
#include <memory>
#include <queue>

namespace Lagoonpick {

/// The size, message delays and faults of a virtual system.
struct VirtualPlan {
    std::uint32_t entries_ { 3 };
    std::uint32_t availabilityZones_ { 4 };
    /// One-way delays of messages between an entry and an agent, in the same and in different availability zones, and
    /// between a caller and an entry.
    Duration delayWithinZone_ { std::chrono::microseconds(50) };
    Duration delayBetweenZones_ { std::chrono::microseconds(500) };
    Duration callerDelay_ { std::chrono::milliseconds(3) };
    EntrySettings entry_;
    AgentSettings agent_;
    /// Index of a target that fails every task after 1 ms; none if negative.
    std::int32_t failingTarget_ { -1 };
    /// Factor by which run times on `stragglerTarget_` are longer than its speed implies.
    double stragglerFactor_ { 1 };
    /// Index of the slow target; none if negative.
    std::int32_t stragglerTarget_ { -1 };
    /// Index of a target that starts tasks and never ends any; none if negative.
    std::int32_t stalledTarget_ { -1 };
};

/// The result of one job of a virtual run.
struct VirtualJobResult {
    bool isComplete_ { false };
    /// True if the job was answered with an HTTP status other than 200.
    bool isRefused_ { false };
    /// From the caller's sending to its receipt of the answer.
    Duration response_ {};
};

/// The measurements of a virtual run.
struct VirtualResult {
    std::vector<VirtualJobResult> jobs_;
    /// Number of messages between entries and agents, by kind.
    std::array<std::uint64_t, Wire::messageKindCount> messages_ {};
    std::vector<std::uint64_t> startsByTarget_;
    /// Tasks started on all targets.
    std::uint64_t starts_ { 0 };
    /// Virtual time from the start of the run to the last answer.
    Duration duration_ {};
};

/// Discrete-event simulation of a planned workload on the production `EntryCore` and `AgentCore` in virtual time.
/// Messages between entries and agents take a fixed delay; a task runs for its work divided by the speed of its target.
/// Meant for comparing policies: models no faults of machines or networks. Deterministic: equal inputs give equal
/// results. Single-threaded; call `run` once.
class VirtualSystem {
public:
    VirtualSystem(const Scenario& scenario, const VirtualPlan& plan);

    VirtualResult run(const std::vector<PlannedJob>& jobs);

private:
    using Action = std::function<void()>;

    struct Event {
        Time at_;
        /// Orders events at the same time by their scheduling.
        std::uint64_t order_;
        Action action_;
        /// Reversed, so that the queue has the earliest event at its top.
        bool operator<(const Event& other) const { return std::tie(other.at_, other.order_) < std::tie(at_, order_); }
    };

    void schedule(Time time, Action action);
    void connect(std::uint32_t entry, std::uint32_t agent);
    void submit(std::uint32_t job);
    /// Ticks the core and schedules the delivery of its effects.
    void tickEntry(std::uint32_t entry);
    void tickAgent(std::uint32_t agent);
    void startOnTarget(std::uint32_t agent, const TargetStart& start);
    /// Ticks all cores every 20 ms of virtual time until all jobs are answered.
    void scheduleTicks();
    Duration delay(std::uint32_t entry, std::uint32_t agent) const;
    LinkId linkOf(std::uint32_t entry, std::uint32_t agent) const;
    bool isDone() const { return replyCount_ == result_.jobs_.size(); }

    Scenario scenario_;
    VirtualPlan plan_;
    Time begin_;
    /// The virtual clock.
    Time now_;
    std::uint64_t lastOrder_ { 0 };
    std::priority_queue<Event> events_;
    std::vector<std::unique_ptr<EntryCore>> entries_;
    std::vector<std::unique_ptr<AgentCore>> agents_;
    const std::vector<PlannedJob>* jobs_ { nullptr };
    std::size_t replyCount_ { 0 };
    VirtualResult result_;
};

} // namespace Lagoonpick
