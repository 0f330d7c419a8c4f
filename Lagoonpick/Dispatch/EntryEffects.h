#pragma once

#include "Lagoonpick/Dispatch/Reply.h"
#include "Lagoonpick/Observability/AuditRecord.h"
#include "Lagoonpick/Platform/PlatformRequest.h"
#include "Lagoonpick/Wire/OutgoingMessage.h"

#include <vector>

namespace Lagoonpick {

/// The effects that `EntryCore` requests; each list is in order. Audit records must be written before messages and
/// replies are sent.
struct EntryEffects {
    std::vector<AuditRecord> audit_;
    std::vector<Wire::OutgoingMessage> messages_;
    std::vector<Reply> replies_;
    std::vector<LinkId> linksToClose_;
    std::vector<CompareAndSwap> swaps_;
};

} // namespace Lagoonpick
