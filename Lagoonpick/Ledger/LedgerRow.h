#pragma once

#include "Lagoonpick/Wire/Message.h"

#include <cstdint>
#include <string>

namespace Lagoonpick {

/// The state that an agent keeps of one task. A row goes from `Refused` by `Queued` and `Started` to `Done`. It returns to
/// `Refused` only if its task was dropped from the queue or nothing of the request was written to the target; a higher
/// attempt may then queue it again. No attempt starts a task that is `Started` or `Done`.
struct LedgerRow {
    TaskKey key_;
    /// The home of the task: the entry that sent its start or its first query.
    Incarnation home_;
    std::uint32_t attempt_ { 0 };
    /// Number of tasks of the submission; 0 until a start of this task has arrived.
    std::uint32_t taskCount_ { 0 };
    Wire::Phase phase_ { Wire::Phase::Refused };
    Wire::RefusalReason reason_ { Wire::RefusalReason::NeverSeen };
    Wire::TaskOutcome outcome_ { Wire::TaskOutcome::Unknown };
    /// HTTP status of the target's answer.
    std::uint32_t status_ { 0 };
    std::uint32_t timeoutMilliseconds_ { 0 };
    std::uint64_t runMicroseconds_ { 0 };
    Time startedAt_;
    bool isAcknowledged_ { false };
    bool isBodyKept_ { false };
    std::string service_;
    /// The payload while the task is queued; the target's answer once the task is done, until the answer is evicted.
    std::string body_;
};

} // namespace Lagoonpick
