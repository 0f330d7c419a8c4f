#pragma once

#include "Lagoonpick/Observability/AuditRecord.h"
#include "Lagoonpick/Wire/OutgoingMessage.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Lagoonpick {

/// Request to run a task on the target now. The host carries out each at most once.
struct TargetStart {
    TaskKey key_;
    std::uint32_t timeoutMilliseconds_ { 0 };
    std::string service_;
    std::string payload_;
    bool operator==(const TargetStart&) const = default;
};

/// How the exchange with the target ended.
enum class TargetAnswer : std::uint8_t {
    /// The target sent a complete HTTP response.
    Answered,
    /// No byte of the request was written, so the task did not start.
    NeverWritten,
    /// The request may have been written, at least in part, but no complete response came back.
    Ambiguous,
};

/// How a `TargetStart` ended.
struct TargetEnd {
    TaskKey key_;
    TargetAnswer answer_ { TargetAnswer::Ambiguous };
    /// HTTP status, if the target answered.
    std::uint32_t status_ { 0 };
    std::string body_;
    bool operator==(const TargetEnd&) const = default;
};

/// The actions that the host carries out for `AgentCore`, in the order of the members.
struct AgentEffects {
    std::vector<AuditRecord> audit_;
    std::vector<TargetStart> starts_;
    std::vector<Wire::OutgoingMessage> messages_;
    std::vector<LinkId> linksToClose_;
};

} // namespace Lagoonpick
