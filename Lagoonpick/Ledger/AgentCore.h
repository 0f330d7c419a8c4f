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

/// The state machine of an agent: accepts, queues, refuses and runs starts, and remembers them in its ledger.
///
/// Inputs are passed in with the current time, and effects are fetched with `takeEffects`. The class uses no socket, clock or
/// random source, so the same inputs give the same effects. Not thread-safe.
class AgentCore {
public:
    AgentCore(AgentSettings settings, Incarnation incarnation);

    /// Accepts links and starts from now on; until then every link is closed. Call after the agent was registered with
    /// `generation` and, after that, has read the list of fenced entries, which is `fenced`.
    void becomeReady(std::uint64_t generation, std::span<const Incarnation> fenced);

    /// Another process has opened a connection. Its identity is unknown until its `Hello`.
    void linkOpened(Time now, LinkId link);

    /// A connection was closed, by either side.
    void linkClosed(LinkId link);

    /// Handles a message. Closes the link on a message that agents don't handle, and unless `Hello` is the first message and
    /// comes only once.
    void receive(Time now, LinkId link, const Wire::Message& message);

    /// Handles the end of a `TargetStart`. Call exactly once for each.
    void targetEnded(Time now, const TargetEnd& end);

    /// Removes expired rows, starts queued tasks, closes timed-out links and sends heartbeats.
    void tick(Time now);

    /// Refuses new starts from now on and returns queued tasks to their homes. Running tasks continue to their end.
    void beginDrain();

    /// True once the agent is draining, no task runs and every connected home has acknowledged all its results.
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

    /// Number of messages sent and received so far, by kind.
    const std::array<std::uint64_t, Wire::messageKindCount>& messageCounts() const { return messageCounts_; }

    /// Number of attempts refused so far.
    std::uint64_t refusals() const { return refusals_; }

    /// The effects of all inputs since the last call.
    AgentEffects takeEffects();

private:
    struct Link {
        /// Invalid until the `Hello` of the entry.
        Incarnation entry_;
        Time lastReceived_;
        Time lastSent_;
    };

    struct WaitingTask {
        /// When the task's job is due.
        Time due_;
        std::uint64_t arrivalNumber_;
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

    std::optional<Wire::RefusalReason> checkStart(Time now, Incarnation home, const Wire::Start&) const;
    void refuse(Ledger::RowIndex, Wire::RefusalReason);
    void enqueue(Time now, Ledger::RowIndex, Incarnation home, const Wire::Start&);
    void reportRow(LinkId link, Ledger::RowIndex);
    void sendResult(LinkId link, const LedgerRow&);
    void sendRefusal(LinkId link, const LedgerRow&);
    void start(Time now, Ledger::RowIndex);
    void startQueued(Time now);
    void sendHeartbeats(Time now);
    void closeTimedOutLinks(Time now);
    void acknowledge(const TaskKey&);
    void removeUnacknowledged(const LedgerRow&);
    void sendUnacknowledged(LinkId link, Incarnation home);
    void evictBodies();
    Wire::CollectedTask makeCollectedTask(const LedgerRow&) const;

    template <typename Predicate>
    void dropQueued(Wire::RefusalReason, Predicate matches);
    std::optional<LinkId> linkOf(Incarnation entry) const;
    void send(LinkId link, Wire::Message message);
    void recordSendTimes(Time now);

    AgentSettings settings_;
    Incarnation incarnation_;
    std::uint64_t generation_ { 0 };
    bool isReady_ { false };
    bool isDraining_ { false };
    Ledger ledger_;
    /// Queued tasks, earliest due time first, and in the order of arrival among equal due times.
    std::set<WaitingTask> queue_;
    std::uint64_t lastArrivalNumber_ { 0 };
    std::uint32_t running_ { 0 };
    /// By home: the tasks whose results the home has not acknowledged.
    boost::unordered_flat_map<Incarnation, std::set<TaskKey>, std::hash<Incarnation>> unacknowledged_;
    /// Total size in bytes of the answers in the ledger.
    std::uint64_t keptBytes_ { 0 };
    /// Tasks with acknowledged results, oldest acknowledgement first; their answers may be evicted.
    std::deque<TaskKey> evictable_;
    boost::unordered_flat_map<std::uint64_t, Link> links_;
    /// The newest link of each entry.
    boost::unordered_flat_map<Incarnation, LinkId, std::hash<Incarnation>> linkOf_;
    boost::unordered_flat_set<Incarnation, std::hash<Incarnation>> fenced_;
    TimeHistogram runTimes_;
    std::uint64_t refusals_ { 0 };
    std::array<std::uint64_t, Wire::messageKindCount> messageCounts_ {};
    AgentEffects effects_;
};

} // namespace Lagoonpick
