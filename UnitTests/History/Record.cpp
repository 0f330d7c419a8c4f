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

void Record::started(const TaskKey& key)
{
    if (!starts_.insert(key).second)
        report("started twice: " + nameOf(key));
    if (saidNotRun_.contains(key))
        report("started after an answer that reports the task as not run: " + nameOf(key));
    if (saidNeverRun_.contains(key.submission_))
        report("started after a refusal that reports the submission as not run: " + nameOf(key));
}

bool Record::hasStarted(const SubmissionId& id) const
{
    auto first = starts_.lower_bound({ id, 0 });
    return first != starts_.end() && first->submission_ == id;
}

void Record::replied(const Reply& reply)
{
    auto asked = asked_.find(reply.request_);
    if (asked == asked_.end()) {
        report("a reply without an open request, or a second reply to a request");
        return;
    }
    SubmissionId id = asked->second;
    asked_.erase(asked);
    if (reply.status_ == httpOk)
        answered(id, reply);
    else
        refused(id, reply);
}

void Record::answered(const SubmissionId& id, const Reply& reply)
{
    auto [known, isNew] = answers_.emplace(id, reply.body_);
    if (!isNew && known->second != reply.body_)
        report("two different answers to one submission: " + known->second + " and " + reply.body_);
    auto answer = json::parse(reply.body_);
    const auto& tasks = answer.at("tasks").as_array();
    if (tasks.size() != taskCounts_[id])
        report("a partial answer: " + reply.body_);
    bool isComplete = answer.at("outcome").as_string() == "complete";
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        TaskKey key { id, i };
        const auto& fate = tasks[i].at("fate").as_string();
        if (fate == "succeeded" && !succeeded_.contains(key))
            report("reported as succeeded, but did not succeed: " + nameOf(key));
        if (fate == "failed" && !starts_.contains(key))
            report("reported as failed, but never started: " + nameOf(key));
        if (isComplete && fate != "succeeded")
            report("reported as complete, but a task has not succeeded: " + reply.body_);
        if (fate != "not_run")
            continue;
        saidNotRun_.insert(key);
        if (starts_.contains(key))
            report("reported as not run, but started: " + nameOf(key));
    }
}

void Record::refused(const SubmissionId& id, const Reply& reply)
{
    auto problem = json::parse(reply.body_);
    if (problem.at("submission_run").as_string() != "no")
        return;
    saidNeverRun_.insert(id);
    if (hasStarted(id))
        report("refused as not run, but a task started: " + id.toString() + " " + reply.body_);
}

} // namespace Lagoonpick::History
