#include "UnitTests/History/Record.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace Lagoonpick::History {

namespace json = boost::json;

namespace {

constexpr std::uint32_t httpOk = 200;

std::string nameOf(const TaskKey& key)
{
    return fmt::format("{}/{}", key.submission_.toString(), key.task_);
}

} // namespace

void Record::recordStart(const TaskKey& key)
{
    if (!starts_.insert(key).second)
        reportViolation("started twice: " + nameOf(key));
    if (reportedNotRun_.contains(key))
        reportViolation("started after an answer that reports the task as not run: " + nameOf(key));
    if (refusedNotRun_.contains(key.submission_))
        reportViolation("started after a refusal that reports the submission as not run: " + nameOf(key));
}

bool Record::hasStarted(const SubmissionId& id) const
{
    auto first = starts_.lower_bound({ id, 0 });
    return first != starts_.end() && first->submission_ == id;
}

void Record::recordReply(const Reply& reply)
{
    auto request = openRequests_.find(reply.request_);
    if (request == openRequests_.end()) {
        reportViolation("a reply without an open request, or a second reply to a request");
        return;
    }
    SubmissionId id = request->second;
    openRequests_.erase(request);
    if (reply.status_ == httpOk)
        checkAnswer(id, reply);
    else
        checkRefusal(id, reply);
}

void Record::checkAnswer(const SubmissionId& id, const Reply& reply)
{
    auto [known, isNew] = answers_.emplace(id, reply.body_);
    if (!isNew && known->second != reply.body_)
        reportViolation("two different answers to one submission: " + known->second + " and " + reply.body_);
    auto answer = json::parse(reply.body_);
    const auto& tasks = answer.at("tasks").as_array();
    if (tasks.size() != taskCounts_[id])
        reportViolation("a partial answer: " + reply.body_);
    bool isComplete = answer.at("outcome").as_string() == "complete";
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        TaskKey key { id, i };
        const auto& outcome = tasks[i].at("fate").as_string();
        if (outcome == "succeeded" && !succeeded_.contains(key))
            reportViolation("reported as succeeded, but did not succeed: " + nameOf(key));
        if (outcome == "failed" && !starts_.contains(key))
            reportViolation("reported as failed, but never started: " + nameOf(key));
        if (isComplete && outcome != "succeeded")
            reportViolation("reported as complete, but a task has not succeeded: " + reply.body_);
        if (outcome != "not_run")
            continue;
        reportedNotRun_.insert(key);
        if (starts_.contains(key))
            reportViolation("reported as not run, but started: " + nameOf(key));
    }
}

void Record::checkRefusal(const SubmissionId& id, const Reply& reply)
{
    auto problem = json::parse(reply.body_);
    if (problem.at("submission_run").as_string() != "no")
        return;
    refusedNotRun_.insert(id);
    if (hasStarted(id))
        reportViolation("refused as not run, but a task started: " + id.toString() + " " + reply.body_);
}

} // namespace Lagoonpick::History
