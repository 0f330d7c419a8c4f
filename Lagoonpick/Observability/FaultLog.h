#pragma once

#include "Lagoonpick/Observability/EventLog.h"

#include <map>
#include <optional>

namespace Lagoonpick {

/// Makes the log lines about input that can't be decoded, and bounds their size and number: a sender of nothing else must not crowd
/// out the other lines.
class FaultLog {
public:
    /// A line that names the sender and the fault, both cut to 200 bytes, and how many lines of the event were left out since its
    /// last one; nothing once there were 10 of them within 10 s.
    std::optional<LogLine> makeLine(std::string_view event, std::string_view sender, std::string_view fault, Time now);

private:
    struct Count {
        Time periodBegan_;
        std::uint32_t lines_ { 0 };
        std::uint64_t leftOut_ { 0 };
    };
    /// By event.
    std::map<std::string, Count, std::less<>> counts_;
};

} // namespace Lagoonpick
