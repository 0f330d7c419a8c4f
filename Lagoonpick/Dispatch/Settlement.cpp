#include "Lagoonpick/Dispatch/Settlement.h"

#include "Lagoonpick/Dispatch/HttpStatus.h"
#include <algorithm>

namespace Lagoonpick {

using Wire::Phase;

namespace {

bool isActive(const Wire::CollectedTask& task)
{
    return task.phase_ == Phase::Queued || task.phase_ == Phase::Started;
}

Reply makeLedgerLostReply()
{
    return writeProblem({},
        { HttpStatus::gone, "ledger-lost", "the home of this submission and a record of what was started are gone", RunState::No, RunState::Unknown });
}

} // namespace

Settlement::Settlement(SubmissionId id, Time until)
    : id_(id)
    , until_(until)
{
}

void Settlement::beginRound(std::set<Incarnation> agents, bool isCertain)
{
    hasBegun_ = true;
    isCertain_ = isCertain;
    awaitedAgents_ = std::move(agents);
    taskCount_ = 0;
    tasks_.clear();
}

void Settlement::collect(Incarnation agent, const Wire::Collected& collected)
{
    if (!awaitedAgents_.erase(agent))
        return;
    taskCount_ = std::max(taskCount_, collected.taskCount_);
    for (const auto& task : collected.tasks_)
        tasks_[task.task_] = task;
}

std::optional<Reply> Settlement::conclude() const
{
    bool isAnyActive = std::any_of(tasks_.begin(), tasks_.end(), [](const auto& item) { return isActive(item.second); });
    if (isAnyActive)
        return std::nullopt;
    return concludeFromLedgers();
}

Reply Settlement::concludeFromLedgers() const
{
    bool isComplete = taskCount_ && tasks_.size() == taskCount_;
    if (!isComplete && !isCertain_)
        return makeLedgerLostReply();
    if (tasks_.empty()) {
        return writeProblem({},
            { HttpStatus::gone, "never-started", "the home of this submission is gone and none of its tasks was started; take a new id", RunState::No, RunState::No });
    }
    std::vector<Task> tasks(taskCount_);
    for (const auto& [number, collected] : tasks_) {
        if (!collected.isBodyKept_) {
            return writeProblem({},
                { HttpStatus::gone, "answer-dropped", "the job has ended and its answer is no longer kept", RunState::No, RunState::Yes });
        }
        if (number < taskCount_)
            tasks[number] = { .stage_ = TaskStage::Settled, .outcome_ = collected.outcome_, .status_ = collected.status_, .body_ = collected.body_ };
    }
    return { .status_ = HttpStatus::ok, .body_ = writeAnswer(id_, tasks) };
}

} // namespace Lagoonpick
