#pragma once

#include "Lagoonpick/Core/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonpick {

/// A task as submitted by the caller.
struct TaskRequest {
    std::string payload_;
    std::uint32_t timeoutMilliseconds_ { 0 };
    /// The run time that the caller declares; 0 if it declares none. Only a hint.
    std::uint32_t expectedMilliseconds_ { 0 };
    bool operator==(const TaskRequest&) const = default;
};

/// A job as submitted by the caller.
struct Submission {
    std::string team_;
    std::string service_;
    /// Relative to the acceptance of the job; 0 for none.
    std::uint32_t deadlineMilliseconds_ { 0 };
    std::vector<TaskRequest> tasks_;
    /// Distinguishes a resubmission from another job with the same id.
    std::uint64_t digest_ { 0 };
    bool operator==(const Submission&) const = default;
};

/// Limits and defaults for reading a job.
struct SubmissionLimits {
    std::uint32_t maxTasks_ { 0 };
    std::uint32_t defaultTimeoutMilliseconds_ { 0 };
};

/// The digest of a job's JSON text, as stored in `Submission::digest_`.
std::uint64_t digestOf(std::string_view json);

/// Reads a job from JSON. Fails with `Malformed` or `TooLarge` and a message that names the invalid member.
Outcome<Submission> readSubmission(std::string_view json, const SubmissionLimits& limits);

} // namespace Lagoonpick
