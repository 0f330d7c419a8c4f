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
    Time nextHeartbeat_;
    Time nextReport_;
    bool isReportDue_ { true };
    /// Sequence number of the newest `RunEnded` for this entry.
    std::uint64_t lastEnd_ { 0 };
    /// Highest run number that the entry has mentioned.
    std::uint64_t highestRun_ { 0 };
    /// The configuration that the entry has, or that was last sent to it.
    std::uint64_t configurationVersion_ { 0 };
    /// Run ends that the entry has not confirmed, oldest first.
    std::deque<Wire::RunEnded> unconfirmed_;
};

} // namespace Lagoonpick
