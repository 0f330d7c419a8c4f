#pragma once

#include "Lagoonpick/Ledger/AgentEffects.h"
#include "Lagoonpick/Ledger/AgentSettings.h"
#include "Lagoonpick/Ledger/Ledger.h"
#include "Lagoonpick/Observability/TimeHistogram.h"

#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <boost/unordered/unordered_flat_set.hpp>
#include <deque>
#include <set>
#include <span>

namespace Lagoonpick {

/// Every decision of an agent: which start is taken, queued, refused or run, and what is remembered of it.
///
/// Inputs come in with the time, effects go out by `takeEffects`; the class has no socket, clock or random source
/// of its own, so the same inputs give the same effects. Not thread-safe.
class AgentCore {
public:
    AgentCore(AgentSettings settings, Incarnation incarnation);

    /// Takes starts from now on. Call once the agent is registered, as `generation`, and then has read the fence
    /// list, which is `fenced`; until then every link is closed.
    void becomeReady(std::uint64_t generation, std::span<const Incarnation> fenced);

    /// A connection was opened by another process. Nothing is known of it until its `Hello`.
    void linkOpened(Time now, LinkId link);

    /// A connection is gone, whoever closed it.
    void linkClosed(LinkId link);

    /// A message came in. A message that this role can't be sent closes the link.
    void receive(Time now, LinkId link, const Wire::Message& message);

    /// The target answered, or couldn't be reached. Exactly once for each `TargetStart`.
    void targetEnded(Time now, const TargetEnd& end);

    /// Runs the systems: expiry, starts, heartbeats, link timeouts.
    void tick(Time now);

    /// Refuses new starts from now on and gives queued tasks back to their homes; what runs ends.
    void beginDrain();

    /// True once nothing runs and every result whose home is connected is acknowledged.
    bool isDrained() const;

    bool isReady() const { return isReady_; }
    bool isDraining() const { return isDraining_; }
    Incarnation incarnation() const { return incarnation_; }
    const AgentSettings& settings() const { return settings_; }
    const Ledger& ledger() const { return ledger_; }
    std::size_t linkCount() const { return links_.size(); }
    std::size_t fencedCount() const { return fenced_.size(); }
    Wire::Load load() const;
    const TimeHistogram& runTimes() const { return runTimes_; }

    /// Messages sent and received so far, by kind.
    const std::array<std::uint64_t, Wire::messageKindCount>& messageCounts() const { return messageCounts_; }

    /// Attempts refused so far.
    std::uint64_t refusals() const { return refusals_; }

    /// What has to be done since the last call.
    AgentEffects takeEffects();

private:
    struct Link {
        Incarnation entry_;
        Time lastHeard_;
        Time lastSent_;
    };

    struct WaitingTask {
        Time due_;
        std::uint64_t arrival_;
        Ledger::RowIndex row_;
        auto operator<=>(const WaitingTask&) const = default;
    };

    void handle(Time now, LinkId link, const Wire::Hello&);
    void handle(Time now, LinkId link, const Wire::Heartbeat&);
    void handle(Time now, LinkId link, const Wire::Start&);
    void handle(Time now, LinkId link, const Wire::ResultAcks&);
    void handle(Time now, LinkId link, const Wire::Query&);
    void handle(Time now, LinkId link, const Wire::Cancel&);
    void handle(Time now, LinkId link, const Wire::Recall&);
    void handle(Time now, LinkId link, const Wire::Fence&);
    void handle(Time now, LinkId link, const Wire::Collect&);
    void closeLink(LinkId link);

    std::optional<Wire::RefusalReason> reasonToRefuse(Time now, Incarnation home, const Wire::Start&) const;
    void refuse(Ledger::RowIndex, Wire::RefusalReason);
    void enqueue(Time now, Ledger::RowIndex, Incarnation home, const Wire::Start&);
    void reportRow(LinkId link, Ledger::RowIndex);
    void sendResult(LinkId link, const LedgerRow&);
    void sendRefusal(LinkId link, const LedgerRow&);
    void start(Time now, Ledger::RowIndex);
    void startQueued(Time now);
    void sendHeartbeats(Time now);
    void closeSilentLinks(Time now);
    void acknowledge(const TaskKey&);
    void noteAcknowledged(const LedgerRow&);
    void sendUnacknowledged(LinkId link, Incarnation home);
    void evictBodies();
    Wire::CollectedTask collect(const LedgerRow&) const;

    template <typename Predicate>
    void dropQueued(Wire::RefusalReason, Predicate matches);
    std::optional<LinkId> linkOf(Incarnation entry) const;
    void send(LinkId link, Wire::Message message);
    void noteSent(Time now);

    AgentSettings settings_;
    Incarnation incarnation_;
    std::uint64_t generation_ { 0 };
    bool isReady_ { false };
    bool isDraining_ { false };
    Ledger ledger_;
    /// What waits, earliest due first, and first come first served among equals.
    std::set<WaitingTask> queue_;
    std::uint64_t lastArrival_ { 0 };
    std::uint32_t running_ { 0 };
    /// The results that each home has not acknowledged.
    boost::unordered_flat_map<Incarnation, std::set<TaskKey>, std::hash<Incarnation>> unacknowledged_;
    std::uint64_t keptBytes_ { 0 };
    std::deque<TaskKey> evictable_;
    boost::unordered_flat_map<std::uint64_t, Link> links_;
    boost::unordered_flat_map<Incarnation, LinkId, std::hash<Incarnation>> linkOf_;
    boost::unordered_flat_set<Incarnation, std::hash<Incarnation>> fenced_;
    TimeHistogram runTimes_;
    std::uint64_t refusals_ { 0 };
    std::array<std::uint64_t, Wire::messageKindCount> messageCounts_ {};
    AgentEffects effects_;
};

} // namespace Lagoonpick
