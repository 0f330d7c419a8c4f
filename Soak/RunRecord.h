#pragma once

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Lagoonpick::Soak {

/// The answers that callers received for one job, summed up.
struct JobAnswers {
    std::uint32_t tasks_ { 0 };
    /// At least one answer reported the job as done.
    bool isDone_ { false };
    /// Every answer had status 429 or 503, which mean that the job has not run.
    bool isOnlyRejected_ { true };
};

/// The answers that callers received, by job id. `recordAnswer` may be called from any thread; `jobs` and `doneCount`
/// take no lock.
class CallerRecord {
public:
    void recordAnswer(const std::string& id, std::uint32_t tasks, std::uint32_t status, const std::string& state);
    const std::map<std::string, JobAnswers>& jobs() const { return jobs_; }
    std::size_t doneCount() const;

private:
    std::mutex mutex_;
    std::map<std::string, JobAnswers> jobs_;
};

/// Compares the runs that the targets recorded with the answers that callers received. Returns a line for each
/// violation: two runs of a task at the same time, a run of a rejected job, a job answered as done with tasks missing.
std::vector<std::string> checkRuns(const std::string& recordFile, const CallerRecord& callers);

} // namespace Lagoonpick::Soak
