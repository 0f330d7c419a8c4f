#pragma once

#include "Lagoonpick/Dispatch/EntryCore.h"
#include "Lagoonpick/Ledger/AgentCore.h"
#include "Load/Scenario.h"

#include <functional>
#include <memory>
#include <queue>

namespace Lagoonpick {

/// How far apart the parts of a virtual system are, and how it is made up.
struct VirtualPlan {
    std::uint32_t entries_ { 3 };
    std::uint32_t availabilityZones_ { 4 };
    Duration withinZone_ { std::chrono::microseconds(50) };
    Duration betweenZones_ { std::chrono::microseconds(500) };
    Duration toCaller_ { std::chrono::milliseconds(3) };
    EntrySettings entry_;
    AgentSettings agent_;
    /// From then on the target with this number fails every task at once; none if negative.
    std::int32_t failingTarget_ { -1 };
    /// From then on this target takes this many times as long; 1 for none.
    double stragglerFactor_ { 1 };
    std::int32_t stragglerTarget_ { -1 };
    /// This target starts tasks and never ends one.
    std::int32_t stalledTarget_ { -1 };
};

/// What came of one job in a virtual run.
struct VirtualOutcome {
    bool isComplete_ { false };
    bool isRefused_ { false };
    Duration response_ {};
};

/// What a virtual run measured.
struct VirtualResult {
    std::vector<VirtualOutcome> jobs_;
    /// Messages between entries and agents, by kind.
    std::array<std::uint64_t, Wire::messageKindCount> messages_ {};
    std::vector<std::uint64_t> startsByTarget_;
    std::uint64_t starts_ { 0 };
    Duration span_ {};
};

/// Runs a planned workload through the real decision code in virtual time: entries and agents exchange messages
/// with a fixed delay, targets take the work of a task divided by their speed. For comparing policies; it models no
/// faults of machines or networks. The same inputs give the same results.
class VirtualSystem {
public:
    VirtualSystem(const Scenario& scenario, const VirtualPlan& plan);

    VirtualResult run(const std::vector<PlannedJob>& jobs);

private:
    using Action = std::function<void()>;

    struct Event {
        Time at_;
        std::uint64_t order_;
        Action action_;
        bool operator<(const Event& other) const { return std::tie(other.at_, other.order_) < std::tie(at_, order_); }
    };

    void at(Time time, Action action);
    void connect(std::uint32_t entry, std::uint32_t agent);
    void submit(std::uint32_t job);
    void touchEntry(std::uint32_t entry);
    void touchAgent(std::uint32_t agent);
    void startOnTarget(std::uint32_t agent, const TargetStart& start);
    void scheduleTimers();
    Duration delay(std::uint32_t entry, std::uint32_t agent) const;
    LinkId linkOf(std::uint32_t entry, std::uint32_t agent) const;
    bool isDone() const { return replied_ == result_.jobs_.size(); }

    Scenario scenario_;
    VirtualPlan plan_;
    Time begin_;
    Time now_;
    std::uint64_t lastOrder_ { 0 };
    std::priority_queue<Event> events_;
    std::vector<std::unique_ptr<EntryCore>> entries_;
    std::vector<std::unique_ptr<AgentCore>> agents_;
    const std::vector<PlannedJob>* jobs_ { nullptr };
    std::size_t replied_ { 0 };
    VirtualResult result_;
};

} // namespace Lagoonpick
