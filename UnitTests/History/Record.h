#pragma once

#include "Lagoonpick/Dispatch/Reply.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Lagoonpick::History {

/// Records what targets and callers observe in one history, and checks the invariants: no task starts twice, and replies are
/// correct and agree with each other.
class Record {
public:
    /// A caller is about to send a new submission.
    void recordSubmission(const SubmissionId& id, std::uint32_t taskCount) { taskCounts_[id] = taskCount; }

    /// A target starts a task.
    void recordStart(const TaskKey& key);

    /// A target answered a task with status 200.
    void recordSuccess(const TaskKey& key) { succeeded_.insert(key); }

    /// A caller sends a request for a submission.
    void recordRequest(RequestId request, const SubmissionId& id) { openRequests_[request] = id; }

    /// A caller gets a reply.
    void recordReply(const Reply& reply);

    /// Requests without a reply. Requests at an entry that crashes are removed by `removeRequest`.
    const std::map<RequestId, SubmissionId>& openRequests() const { return openRequests_; }
    void removeRequest(RequestId request) { openRequests_.erase(request); }

    void reportViolation(std::string violation) { violations_.push_back(std::move(violation)); }
    /// Violated invariants, one line each.
    const std::vector<std::string>& violations() const { return violations_; }
    std::size_t startCount() const { return starts_.size(); }
    /// Number of submissions that were answered, not of answers.
    std::size_t answerCount() const { return answers_.size(); }

private:
    void checkAnswer(const SubmissionId& id, const Reply& reply);
    void checkRefusal(const SubmissionId& id, const Reply& reply);
    bool hasStarted(const SubmissionId& id) const;

    std::map<SubmissionId, std::uint32_t> taskCounts_;
    std::set<TaskKey> starts_;
    std::set<TaskKey> succeeded_;
    /// Tasks that an answer reported as not run.
    std::set<TaskKey> reportedNotRun_;
    /// Submissions that a refusal reported as not run.
    std::set<SubmissionId> refusedNotRun_;
    /// Body of the first answer to each submission.
    std::map<SubmissionId, std::string> answers_;
    std::map<RequestId, SubmissionId> openRequests_;
    std::vector<std::string> violations_;
};

} // namespace Lagoonpick::History
