#pragma once

#include "Lagoonpick/Run/RunProgress.h"
#include "Lagoonpick/Run/TargetCalls.h"

#include <map>

namespace Lagoonpick {

/// Where a run stands at the agent.
enum class RunPhase : std::uint8_t {
    /// Waits for room.
    Queued,
    /// The start was sent.
    Starting,
    Running,
    /// A stop was sent or is to be sent; takes room until its end is known.
    Stopping,
};

/// A run that an agent was asked for and whose end it has not told yet.
struct Run {
    Incarnation entry_;
    /// The entry's number for it.
    std::uint64_t run_ { 0 };
    RunName name_;
    std::string payload_;
    Wire::Resources need_;
    Duration work_ {};
    /// Dropped if it has not begun by then.
    Time waitUntil_;
    /// When it should have ended.
    Time due_;
    /// When its caller waits no more.
    Time deadline_;
    RunPhase phase_ { RunPhase::Queued };
    /// The target has said that it runs.
    bool isConfirmed_ { false };
    /// The start was not answered by then; the next list tells whether it runs.
    std::optional<Time> doubtedAt_;
    /// A stop was answered: the target will not begin it any more.
    bool isStopAnswered_ { false };
    Time startSentAt_;
    /// When the target was heard to have begun it, or to have taken the stop.
    Time answeredAt_;
    Time stopSentAt_;
    RunProgress progress_;
    /// When its entry may be told next that it stalls.
    Time nextStallReport_;
    /// Why it never began, should it turn out that it did not.
    Wire::NotStartedReason reason_ { Wire::NotStartedReason::None };
};

/// The runs of an agent, and the room that they take.
///
/// Not thread-safe.
class RunTable {
public:
    using Id = std::uint64_t;

    Id add(Run run);
    void remove(Id id);

    Run* find(Id id);
    /// The run that the target knows by this name, if it was sent there.
    Id findOnTarget(const RunName& name) const;
    Id findOfEntry(Incarnation entry, std::uint64_t run) const;

    /// Every run, oldest first.
    const std::map<Id, Run>& rows() const { return rows_; }
    std::map<Id, Run>& rows() { return rows_; }

    /// What the runs that were sent to the target take.
    Wire::Resources used() const;
    Wire::Resources queued() const;
    std::size_t queuedCount() const;

private:
    std::map<Id, Run> rows_;
    Id last_ { 0 };
};

} // namespace Lagoonpick
