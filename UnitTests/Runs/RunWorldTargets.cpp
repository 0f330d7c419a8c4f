#include "UnitTests/Runs/RunWorldParts.h"

#include "Lagoonpick/Core/Underlying.h"

#include <algorithm>
#include <utility>

// The targets, and the calls of agents to them.

namespace Lagoonpick {

using std::chrono::milliseconds;
using Wire::RunEnd;

namespace {

/// No start may be accepted later than this after the agent has received a heartbeat of a draining target.
constexpr Duration drainGracePeriod = milliseconds(2000);
/// Timeout of an agent's call that starts or stops a run.
constexpr Duration startTimeout = milliseconds(35);
/// Interval at which the state of all targets is advanced; a fraction of `LeaseTiming::stopTimeout_`.
constexpr Duration targetAdvanceInterval = milliseconds(5);
/// Needs of a task when there is no plan.
const Wire::Resources need { 1'000, 64, 0 };

} // namespace

StandIns::LeasedTarget::Running RunWorld::describeRun(const RunName& name)
{
    if (!plan_) {
        // Half of the tasks take up to 200 ms; 1 % fail.
        Duration length = randomDuration(milliseconds(20), name.task_.back() % 2 ? milliseconds(200) : faults_.longestTask_);
        return { name, need, length, chance(0.01) };
    }
    const PlannedJob& job = *plannedJobs_.at(name.task_.substr(0, name.task_.find('.')));
    std::size_t task = std::stoul(name.task_.substr(name.task_.rfind('.') + 1));
    return { name, plan_->need_, job.work_[task], job.isImpossible_ };
}

void RunWorld::applyAgentEffects(Agent& agent)
{
    auto effects = agent.core_->takeEffects();
    trace("agent-" + std::to_string(agent.index_), effects.log_);
    for (LinkId id : effects.linksToAbort_) {
        if (auto link = findLink(id))
            closeLink(link, true, false);
    }
    for (auto& item : effects.messages_)
        transmit(findLink(item.link_), false, std::move(item.message_));
    checkStartsSent(agent, effects.starts_);
    for (const auto& start : effects.starts_)
        sendStart(agent, start);
    for (const auto& stop : effects.stops_)
        sendStop(agent, stop);
    for (const auto& call : effects.leases_)
        sendLease(agent, call);
}

void RunWorld::sendStart(Agent& agent, const StartCall& start)
{
    std::uint64_t incarnation = agent.incarnationCount_;
    callTarget(
        agent, [this, &agent, start, incarnation](StandIns::LeasedTarget& target, bool isLate) {
            CallReply answer = target.receive(start, now_, isLate);
            if (agent.drainAcknowledgedAt_ && answer.answer_ == CallAnswer::Accepted && !isLate && now_ - *agent.drainAcknowledgedAt_ > drainGracePeriod)
                reportViolation("task started on a draining target: " + start.name_.task_);
            if (answer.answer_ == CallAnswer::Accepted && !isLate)
                checkZoneOfStart(agent.index_, start.name_);
            bool hasCrashed = faults_.crashAtStart_ > 0 && answer.answer_ == CallAnswer::Accepted && chance(faults_.crashAtStart_);
            if (hasCrashed)
                restartTarget(agent);
            if (hasCrashed || isLate || chance(faults_.answerLoss_))
                return;
            at(now_ + targetDelay, [this, &agent, answer, incarnation] {
                deliverToAgent(agent, incarnation, [this, &agent, answer] { agent.core_->receiveStartReply(answer, now_); });
            }); },
        [this, &agent, start, incarnation] {
            deliverToAgent(agent, incarnation, [this, &agent, start] { agent.core_->receiveStartReply({ start.call_, CallAnswer::NoAnswer, {} }, now_); });
        },
        startTimeout, true);
}

void RunWorld::sendStop(Agent& agent, const StopCall& stop)
{
    if (now_ < agent.stopsLostUntil_)
        return;
    std::uint64_t incarnation = agent.incarnationCount_;
    callTarget(
        agent, [this, &agent, stop, incarnation](StandIns::LeasedTarget& target, bool isLate) {
            CallReply answer = target.receive(stop, now_);
            if (isLate || chance(faults_.answerLoss_))
                return;
            at(now_ + targetDelay, [this, &agent, answer, incarnation] {
                deliverToAgent(agent, incarnation, [this, &agent, answer] { agent.core_->receiveStopReply(answer, now_); });
            }); },
        [] {}, startTimeout, true);
}

void RunWorld::sendLease(Agent& agent, const LeaseCall& call)
{
    std::uint64_t incarnation = agent.incarnationCount_;
    auto isAnswered = std::make_shared<bool>(false);
    auto poll = std::make_shared<std::function<void(Time)>>();
    Time timesOutAt = now_ + call.wait_ + milliseconds(50);
    std::uint64_t targetIncarnation = agent.target_->incarnation();
    *poll = [this, &agent, call, incarnation, isAnswered, poll, targetIncarnation](Time answerBy) {
        if (now_ < agent.targetCutUntil_ || agent.target_->incarnation() != targetIncarnation)
            return;
        agent.target_->advance(now_);
        if (!agent.target_->hasNewEnds(call.highestSeenEnd_) && now_ < answerBy) {
            at(now_ + milliseconds(5), [poll, answerBy] { (*poll)(answerBy); });
            return;
        }
        LeaseReply reply = agent.target_->receive(call, now_);
        if (chance(faults_.answerLoss_))
            return;
        at(now_ + targetDelay, [this, &agent, reply, incarnation, isAnswered] {
            if (!std::exchange(*isAnswered, true))
                deliverToAgent(agent, incarnation, [this, &agent, reply] { agent.core_->receive(reply, now_); });
        });
    };
    at(now_ + targetDelay, [this, &agent, call, poll, targetIncarnation] {
        if (now_ < agent.targetCutUntil_ || agent.target_->incarnation() != targetIncarnation)
            return;
        // The lease is extended when the call arrives; the reply is held back until a run has ended or `wait_` is over.
        agent.target_->receive(LeaseCall { .leaseUntil_ = call.leaseUntil_, .fencingToken_ = call.fencingToken_, .expectedTarget_ = call.expectedTarget_ }, now_);
        (*poll)(agent.target_->isMeant(call.expectedTarget_) ? now_ + call.wait_ : now_);
    });
    auto onNoAnswer = [this, &agent, call, incarnation, isAnswered] {
        if (!std::exchange(*isAnswered, true))
            deliverToAgent(agent, incarnation, [this, &agent, call] { agent.core_->receive(LeaseReply { .call_ = call.call_, .answer_ = CallAnswer::NoAnswer, .clock_ = {}, .running_ = {}, .ended_ = {} }, now_); });
    };
    at(timesOutAt, onNoAnswer);
    recordCall(agent, timesOutAt - now_, onNoAnswer);
}

void RunWorld::callTarget(Agent& agent, const std::function<void(StandIns::LeasedTarget&, bool isLate)>& call, const std::function<void()>& onNoAnswer, Duration timeout, bool canBeLate)
{
    bool isLate = canBeLate && chance(faults_.delayedCall_);
    Duration delay = isLate ? randomDuration(milliseconds(2000), milliseconds(12'000)) : targetDelay;
    at(now_ + delay, [this, &agent, call, isLate, targetIncarnation = agent.target_->incarnation()] {
        bool isDelivered = agent.target_->incarnation() == targetIncarnation || (isLate && faults_.delayedCallOutlivesRestart_);
        if (now_ >= agent.targetCutUntil_ && isDelivered)
            call(*agent.target_, isLate);
    });
    at(now_ + timeout, onNoAnswer);
    recordCall(agent, timeout, onNoAnswer);
}

void RunWorld::recordCall(Agent& agent, Duration timeout, std::function<void()> onNoAnswer)
{
    std::erase_if(agent.pendingCalls_, [this](const auto& call) { return call.first <= now_; });
    agent.pendingCalls_.emplace_back(now_ + timeout, std::move(onNoAnswer));
}

/// Resets the connections to a target that has restarted, unless it is cut off: then the calls time out.
void RunWorld::resetCalls(Agent& agent)
{
    if (now_ < agent.targetCutUntil_)
        return;
    for (auto& [until, onNoAnswer] : std::exchange(agent.pendingCalls_, {}))
        at(now_ + linkDelay, onNoAnswer);
}

/// Advances all targets regularly from now on, so that runs and leases end in time also on targets that receive no calls.
void RunWorld::advanceTargets()
{
    for (auto& agent : agents_)
        agent->target_->advance(now_);
    at(now_ + targetAdvanceInterval, [this] { advanceTargets(); });
}

void RunWorld::runStarted(std::size_t target, const RunName& name)
{
    auto found = runningTarget_.find(name.task_);
    if (found != runningTarget_.end())
        reportViolation("two runs of a task at the same time: " + name.task_ + " number " + std::to_string(name.number_) + " on " + std::to_string(target) + " and " + std::to_string(found->second));
    runningTarget_[name.task_] = target;
    std::string job = name.task_.substr(0, name.task_.find('.'));
    trace("target-" + std::to_string(target), { LogLine("began").text("task", name.task_).number("number", name.number_) });
    JobRecord& record = jobs_[job];
    record.hasStarted_ = true;
    ++tasksStarted_;
    runObserver_(target, name, now_ - planStartedAt_, std::nullopt);
    const auto& labels = agents_[target]->target_->labels();
    if (!record.requiredLabel_.empty() && std::find(labels.begin(), labels.end(), record.requiredLabel_) == labels.end())
        reportViolation("task started without the label that it requires: " + name.task_);
    if (!record.isOpen_ && record.wasOnlyRejected_)
        reportViolation("task of a rejected job started: " + name.task_);
}

void RunWorld::runEnded(std::size_t target, const RunName& name, RunEnd end)
{
    auto found = runningTarget_.find(name.task_);
    if (found != runningTarget_.end() && found->second == target)
        runningTarget_.erase(found);
    trace("target-" + std::to_string(target), { LogLine("ended").text("task", name.task_).number("number", name.number_).number("end", toUnderlying(end)) });
    runObserver_(target, name, now_ - planStartedAt_, end);
    if (end == RunEnd::Stopped)
        ++runsStopped_;
    if (end == RunEnd::Done)
        jobs_[name.task_.substr(0, name.task_.find('.'))].doneTasks_.insert(name.task_);
}

} // namespace Lagoonpick
