#pragma once

#include "Lagoonpick/Core/Incarnation.h"
#include "Lagoonpick/Core/SubmissionId.h"

#include <cstdint>
#include <string>

namespace Lagoonpick {

/// The kind of event that an audit line reports.
enum class AuditEvent : std::uint8_t {
    TaskStarting,
    TaskEnded,
    TaskRefused,
    JobAccepted,
    JobEnded,
    RequestRefused,
    EntryFenced,
    MembershipChanged,
};

/// One line of the audit log. Fields that don't apply to the event keep their defaults and are omitted from the line.
struct AuditRecord {
    AuditEvent event_ { AuditEvent::TaskStarting };
    SubmissionId submission_;
    std::int64_t task_ { -1 };
    std::uint32_t attempt_ { 0 };
    std::string target_;
    Incarnation incarnation_;
    std::string detail_;
    bool operator==(const AuditRecord&) const = default;
};

} // namespace Lagoonpick
