#pragma once

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Lagoonpick::Soak {

/// What callers were told of one job.
struct ToldJob {
    std::uint32_t tasks_ { 0 };
    bool isDone_ { false };
    /// Every answer said that it has not run.
    bool isOnlyRejected_ { true };
};

/// What callers saw, by job id. Thread-safe while it is filled.
class CallerRecord {
public:
    void note(const std::string& id, std::uint32_t tasks, std::uint32_t status, const std::string& state);
    const std::map<std::string, ToldJob>& jobs() const { return jobs_; }
    std::size_t doneCount() const;

private:
    std::mutex mutex_;
    std::map<std::string, ToldJob> jobs_;
};

/// Holds what callers were told against what targets did; returns what does not agree, one line each.
std::vector<std::string> checkRuns(const std::string& recordFile, const CallerRecord& callers);

} // namespace Lagoonpick::Soak
