#include "Soak/RunRecord.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace Lagoonpick::Soak {

namespace {

/// A line of the record file: the begin or the end of a run on a target.
struct RunEvent {
    /// Microseconds of the steady clock.
    std::int64_t at_ { 0 };
    bool isBegin_ { false };
    std::string task_;
    std::string number_;
    std::string end_;
    std::string target_;
};

std::vector<RunEvent> readEvents(const std::string& file)
{
    std::vector<RunEvent> events;
    std::ifstream lines(file);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        RunEvent event;
        std::string what;
        if (words >> event.at_ >> what >> event.task_ >> event.number_ >> event.end_ >> event.target_) {
            event.isBegin_ = what == "began";
            events.push_back(event);
        }
    }
    // Of events with equal times the end sorts first: the next run may begin at that very time.
    std::stable_sort(events.begin(), events.end(), [](const auto& left, const auto& right) { return std::tie(left.at_, left.isBegin_) < std::tie(right.at_, right.isBegin_); });
    return events;
}

} // namespace

void CallerRecord::recordAnswer(const std::string& id, std::uint32_t tasks, std::uint32_t status, const std::string& state)
{
    constexpr std::uint32_t tooManyRequests = 429;
    constexpr std::uint32_t unavailable = 503;
    std::lock_guard lock(mutex_);
    JobAnswers& job = jobs_[id];
    job.tasks_ = tasks;
    job.isDone_ = job.isDone_ || state == "done";
    job.isOnlyRejected_ = job.isOnlyRejected_ && (status == tooManyRequests || status == unavailable);
}

std::size_t CallerRecord::doneCount() const
{
    return std::count_if(jobs_.begin(), jobs_.end(), [](const auto& row) { return row.second.isDone_; });
}

std::vector<std::string> checkRuns(const std::string& recordFile, const CallerRecord& callers)
{
    std::vector<std::string> violations;
    std::map<std::string, std::set<std::string>> currentRuns;
    std::map<std::string, std::set<std::string>> doneTasks;
    std::set<std::string> startedJobs;
    for (const auto& event : readEvents(recordFile)) {
        std::string job = event.task_.substr(0, event.task_.find('.'));
        std::string where = event.target_ + " number " + event.number_;
        if (event.isBegin_) {
            startedJobs.insert(job);
            auto& running = currentRuns[event.task_];
            if (!running.empty())
                violations.push_back("two runs of a task at the same time: " + event.task_ + " on " + *running.begin() + " and " + where);
            running.insert(where);
            continue;
        }
        currentRuns[event.task_].erase(where);
        if (event.end_ == "done")
            doneTasks[job].insert(event.task_);
    }
    for (const auto& [id, job] : callers.jobs()) {
        if (job.isOnlyRejected_ && startedJobs.contains(id))
            violations.push_back("a run began although every answer rejected the job: " + id);
        if (job.isDone_ && doneTasks[id].size() != job.tasks_)
            violations.push_back("job answered as done with " + std::to_string(doneTasks[id].size()) + " of " + std::to_string(job.tasks_) + " tasks done: " + id);
    }
    return violations;
}

} // namespace Lagoonpick::Soak
