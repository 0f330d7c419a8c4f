#pragma once

#include "Lagoonpick/Core/LinkId.h"
#include "Lagoonpick/Core/Time.h"
#include "Lagoonpick/Wire/RunMessage.h"

#include <deque>
#include <optional>

namespace Lagoonpick {

/// An agent's state for one incarnation of an entry, across all of its links to that entry.
struct EntrySession {
    std::string name_;
    std::string address_;
    /// Empty while the entry is not connected.
    std::optional<LinkId> link_;
    Time lastReceived_;
    /// When this agent sent the latest message that the entry is known to have received.
    Time confirmedAt_;
    /// False while confirmations take longer than the entry's runs may go on without one.
    bool isTimely_ { true };
    /// Since when the agent has been about to detach from the entry: it reports its target as closed, and closes the link once
    /// no run is left.
    std::optional<Time> leavingSince_;
    /// When a heartbeat or a report was last sent to the entry.
    Time lastSent_;
    Time nextReport_;
    bool isReportDue_ { true };
    /// Sequence number of the newest `RunEnded` for this entry.
    std::uint64_t lastEnd_ { 0 };
    /// Highest run number that the entry has mentioned.
    std::uint64_t highestRun_ { 0 };
    /// Run ends that the entry has not confirmed, oldest first.
    std::deque<Wire::RunEnded> unconfirmed_;
};

} // namespace Lagoonpick
