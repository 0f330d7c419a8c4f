#pragma once

#include "Lagoonpick/Dispatch/Job.h"
#include "Lagoonpick/Dispatch/RequestId.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonpick {

/// An HTTP response to a caller, whole.
struct Reply {
    RequestId request_ {};
    std::uint32_t status_ { 0 };
    /// 0 for none.
    std::uint32_t retryAfterSeconds_ { 0 };
    std::string body_;
    /// The kind of problem; empty for answers.
    std::string_view problem_;
    bool operator==(const Reply&) const = default;
};

/// Whether tasks of a submission, or of one request, ran.
enum class RunState : std::uint8_t {
    No,
    Unknown,
    Running,
    Yes,
};

/// A refusal as RFC 9457 has it, before it is written as JSON.
struct Problem {
    std::uint32_t status_ { 0 };
    /// Names the kind of refusal; the last part of the problem's type.
    /// Must be a literal: replies keep it.
    std::string_view kind_;
    std::string detail_;
    /// What is true of this request alone.
    RunState request_ { RunState::No };
    /// What is true of the submission, whichever request brought it.
    RunState submission_ { RunState::No };
    std::uint32_t retryAfterSeconds_ { 0 };
};

/// Writes a refusal as `application/problem+json`.
Reply writeProblem(RequestId, const Problem&);

/// Writes a job's answer from its settled tasks. The same fates and bodies give the same bytes at every entry.
std::string writeAnswer(const SubmissionId&, const std::vector<Task>&);

/// Writes issued ids.
std::string writeIds(const std::vector<SubmissionId>&);

/// The word for `state` in JSON.
std::string_view nameOf(RunState state);

/// The word for `fate` in JSON.
std::string_view nameOf(Wire::TaskOutcome fate);

} // namespace Lagoonpick
