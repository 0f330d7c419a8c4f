#pragma once

#include "Lagoonpick/Core/SubmissionId.h"
#include "Lagoonpick/Transport/Http.h"
#include "Lagoonpick/Wire/Message.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace Lagoonpick {

/// `POST /v1/submissions`: issues submission ids.
struct IssueCall {
    std::uint32_t count_ { 1 };
    bool operator==(const IssueCall&) const = default;
};

/// `PUT`, `GET` or `DELETE /v1/jobs/{id}`.
struct JobCall {
    Wire::RequestKind kind_ { Wire::RequestKind::Submit };
    SubmissionId submission_;
    /// How long the caller waits for the job's end, limited to the entry's `max_wait_ms`, which also applies if absent.
    std::optional<std::uint32_t> waitMilliseconds_;
    bool operator==(const JobCall&) const = default;
};

/// `GET /debug/state`.
struct StateCall {
    bool operator==(const StateCall&) const = default;
};

/// `GET /healthz`.
struct HealthCall {
    bool operator==(const HealthCall&) const = default;
};

/// `GET /metrics`.
struct MetricsCall {
    bool operator==(const MetricsCall&) const = default;
};

/// An invalid request, with the status, kind and detail of the problem to answer with.
struct BadCall {
    std::uint32_t status_ { 400 };
    std::string_view kind_;
    std::string detail_;
    bool operator==(const BadCall&) const = default;
};

using CallerCall = std::variant<IssueCall, JobCall, StateCall, HealthCall, MetricsCall, BadCall>;

/// Parses a caller's HTTP request. The body is parsed for `POST /v1/submissions` only.
CallerCall readCall(const HttpRequest& request);

} // namespace Lagoonpick
