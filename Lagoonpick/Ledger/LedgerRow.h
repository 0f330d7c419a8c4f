#pragma once

#include "Lagoonpick/Wire/Message.h"

#include <cstdint>
#include <string>

namespace Lagoonpick {

/// What an agent remembers of one task. A row only ever moves forward: from `Refused` a higher attempt may queue
/// it, and once it is `Started` no attempt starts it again.
struct LedgerRow {
    TaskKey key_;
    Incarnation home_;
    std::uint32_t attempt_ { 0 };
    std::uint32_t taskCount_ { 0 };
    Wire::Phase phase_ { Wire::Phase::Refused };
    Wire::RefusalReason reason_ { Wire::RefusalReason::NeverSeen };
    Wire::TaskOutcome outcome_ { Wire::TaskOutcome::Unknown };
    std::uint32_t status_ { 0 };
    std::uint32_t timeoutMilliseconds_ { 0 };
    std::uint64_t runMicroseconds_ { 0 };
    Time startedAt_;
    bool isAcknowledged_ { false };
    bool isBodyKept_ { false };
    std::string service_;
    /// The payload while the task is queued, the target's answer once it is done.
    std::string body_;
};

} // namespace Lagoonpick
