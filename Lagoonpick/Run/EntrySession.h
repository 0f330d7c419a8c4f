#pragma once

#include "Lagoonpick/Core/LinkId.h"
#include "Lagoonpick/Core/Time.h"
#include "Lagoonpick/Wire/RunMessage.h"

#include <deque>
#include <optional>

namespace Lagoonpick {

/// What an agent keeps of one entry, over all of the links that it has had with it.
struct EntrySession {
    std::string name_;
    std::string address_;
    /// Nothing while the entry is away.
    std::optional<LinkId> link_;
    Time lastHeard_;
    Time nextPulse_;
    Time nextReport_;
    bool isReportDue_ { true };
    std::uint64_t lastEnd_ { 0 };
    std::uint64_t highestRun_ { 0 };
    std::uint64_t configurationVersion_ { 0 };
    /// Ends that the entry has not confirmed, oldest first.
    std::deque<Wire::RunEnded> unconfirmed_;
};

} // namespace Lagoonpick
