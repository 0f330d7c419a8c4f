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
    void submitted(const SubmissionId& id, std::uint32_t taskCount) { taskCounts_[id] = taskCount; }

    /// A target starts a task.
    void started(const TaskKey& key);

    /// A target answered a task with status 200.
    void succeeded(const TaskKey& key) { succeeded_.insert(key); }

    /// A caller sends a request for a submission.
    void asked(RequestId request, const SubmissionId& id) { asked_[request] = id; }

    /// A caller gets a reply.
    void replied(const Reply& reply);

    /// Requests without a reply. Requests at an entry that crashes are removed by `abandon`.
    const std::map<RequestId, SubmissionId>& unanswered() const { return asked_; }
    void abandon(RequestId request) { asked_.erase(request); }

    void report(std::string fault) { faults_.push_back(std::move(fault)); }
    /// Violated invariants, one line each.
    const std::vector<std::string>& faults() const { return faults_; }
    std::size_t startCount() const { return starts_.size(); }
    /// Number of submissions that were answered, not of answers.
    std::size_t answerCount() const { return answers_.size(); }

private:
    void answered(const SubmissionId& id, const Reply& reply);
    void refused(const SubmissionId& id, const Reply& reply);
    bool hasStarted(const SubmissionId& id) const;

    std::map<SubmissionId, std::uint32_t> taskCounts_;
    std::set<TaskKey> starts_;
    std::set<TaskKey> succeeded_;
    /// Tasks that an answer reported as not run.
    std::set<TaskKey> saidNotRun_;
    /// Submissions that a refusal reported as not run.
    std::set<SubmissionId> saidNeverRun_;
    /// Body of the first answer to each submission.
    std::map<SubmissionId, std::string> answers_;
    std::map<RequestId, SubmissionId> asked_;
    std::vector<std::string> faults_;
};

} // namespace Lagoonpick::History
