#pragma once

#include "Deployment.h"

namespace Review {

/// How a script ended, and its exit code.
enum class Verdict {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

/// The body of a job whose tasks each need `milliCores` for `workMs`, and that need not be kept.
inline std::string makeJob(int tasks, int workMs, int milliCores)
{
    std::string work = std::to_string(workMs);
    std::string cpu = std::to_string(milliCores);
    return R"({"spec":"work_ms=)" + work + " cpu=" + cpu + R"(","best_effort":true,"steps":[{"count":)" + std::to_string(tasks) + R"(,"cpu":)" + cpu + R"(,"mem_mb":256,"estimate_ms":)" + work + "}]}";
}

/// An id of 16 hexadecimal digits.
std::string makeId(std::uint64_t number);

/// The header that says how long a client waits.
inline std::string deadlineHeader(std::int64_t milliseconds)
{
    return "Lagoonpick-Deadline-Ms: " + std::to_string(milliseconds) + "\r\n";
}

/// Sends a job; the platform's balancer has chosen the entry.
Reply submit(const Deployment& deployment, int entry, const std::string& id, const std::string& job, std::int64_t deadlineMs, std::int64_t waitMs);

/// A connection that is reset while the next request is waiting behind a job.
Verdict runResetBehindNextRequest(Record& record, bool hasTrouble);
/// SIGTERM while accepted jobs wait for room.
Verdict runQueuedAtShutdown(Record& record, bool hasTrouble);

} // namespace Review
