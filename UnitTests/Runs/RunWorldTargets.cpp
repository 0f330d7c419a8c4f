#include "UnitTests/Runs/RunWorldParts.h"

#include "Lagoonpick/Core/Underlying.h"

#include <algorithm>
#include <utility>

// The targets, and what agents ask of them.

namespace Lagoonpick {

using std::chrono::milliseconds;
using Wire::RunEnd;

namespace {

constexpr Duration drainLimit = milliseconds(2000);
constexpr Duration startTimeout = milliseconds(35);
/// A fraction of the time that agents leave for a stop.
constexpr Duration targetStep = milliseconds(5);
const Wire::Resources need { 1'000, 64, 0 };

} // namespace

StandIns::LeasedTarget::Running RunWorld::describe(const RunName& name)
{
    if (!plan_) {
        Duration length = between(milliseconds(20), milliseconds(name.task_.back() % 2 ? 200 : 900));
        return { name, need, length, chance(0.01) };
    }
    const PlannedJob& job = *planned_.at(name.task_.substr(0, name.task_.find('.')));
    std::size_t task = std::stoul(name.task_.substr(name.task_.rfind('.') + 1));
    return { name, plan_->need_, job.work_[task], job.isImpossible_ };
}

void RunWorld::applyAgent(Agent& agent)
{
    auto effects = agent.core_->takeEffects();
    trace("agent-" + std::to_string(agent.index_), effects.log_);
    for (LinkId id : effects.linksToAbort_) {
        if (auto link = linkOf(id))
            breakLink(*link, true, false);
    }
    for (auto& item : effects.messages_)
        transmit(linkOf(item.link_), false, std::move(item.message_));
    for (const auto& start : effects.starts_)
        sendStart(agent, start);
    for (const auto& stop : effects.stops_)
        sendStop(agent, stop);
    for (const auto& call : effects.leases_)
        sendLease(agent, call);
}

void RunWorld::sendStart(Agent& agent, const StartCall& start)
{
    std::uint64_t incarnation = agent.life_;
    callTarget(
        agent, [this, &agent, start, incarnation](StandIns::LeasedTarget& target, bool isLate) {
            CallReply answer = target.receive(start, now_, isLate);
            if (agent.drainAcknowledgedAt_ && answer.answer_ == CallAnswer::Accepted && !isLate && now_ - *agent.drainAcknowledgedAt_ > drainLimit)
                report("start on a target that drains: " + start.name_.task_);
            if (isLate || chance(faults_.answerLost_))
                return;
            at(now_ + targetDelay, [this, &agent, answer, incarnation] {
                intoAgent(agent, incarnation, [this, &agent, answer] { agent.core_->receiveStartReply(answer, now_); });
            }); },
        [this, &agent, start, incarnation] {
            intoAgent(agent, incarnation, [this, &agent, start] { agent.core_->receiveStartReply({ start.call_, CallAnswer::NoAnswer, {} }, now_); });
        },
        startTimeout, true);
}

void RunWorld::sendStop(Agent& agent, const StopCall& stop)
{
    std::uint64_t incarnation = agent.life_;
    callTarget(
        agent, [this, &agent, stop, incarnation](StandIns::LeasedTarget& target, bool isLate) {
            CallReply answer = target.receive(stop, now_);
            if (isLate || chance(faults_.answerLost_))
                return;
            at(now_ + targetDelay, [this, &agent, answer, incarnation] {
                intoAgent(agent, incarnation, [this, &agent, answer] { agent.core_->receiveStopReply(answer, now_); });
            }); },
        [] {}, startTimeout, true);
}

void RunWorld::sendLease(Agent& agent, const LeaseCall& call)
{
    std::uint64_t incarnation = agent.life_;
    auto isAnswered = std::make_shared<bool>(false);
    auto poll = std::make_shared<std::function<void(Time)>>();
    Time giveUpAt = now_ + call.wait_ + milliseconds(50);
    std::uint64_t targetLife = agent.target_->incarnation();
    *poll = [this, &agent, call, incarnation, isAnswered, poll, targetLife](Time answerBy) {
        if (now_ < agent.targetCutUntil_ || agent.target_->incarnation() != targetLife)
            return;
        agent.target_->advance(now_);
        if (!agent.target_->hasNewEnds(call.endsSeen_) && now_ < answerBy) {
            at(now_ + milliseconds(5), [poll, answerBy] { (*poll)(answerBy); });
            return;
        }
        LeaseReply reply = agent.target_->receive(call, now_);
        if (chance(faults_.answerLost_))
            return;
        at(now_ + targetDelay, [this, &agent, reply, incarnation, isAnswered] {
            if (!std::exchange(*isAnswered, true))
                intoAgent(agent, incarnation, [this, &agent, reply] { agent.core_->receive(reply, now_); });
        });
    };
    at(now_ + targetDelay, [this, &agent, call, poll, targetLife] {
        if (now_ < agent.targetCutUntil_ || agent.target_->incarnation() != targetLife)
            return;
        // The lease is extended when the call arrives; the answer waits.
        agent.target_->receive(LeaseCall { .leaseUntil_ = call.leaseUntil_, .fencingToken_ = call.fencingToken_ }, now_);
        (*poll)(now_ + call.wait_);
    });
    auto giveUp = [this, &agent, call, incarnation, isAnswered] {
        if (!std::exchange(*isAnswered, true))
            intoAgent(agent, incarnation, [this, &agent, call] { agent.core_->receive(LeaseReply { .call_ = call.call_, .answer_ = CallAnswer::NoAnswer, .clock_ = {}, .running_ = {}, .ended_ = {} }, now_); });
    };
    at(giveUpAt, giveUp);
    noteCall(agent, giveUpAt - now_, giveUp);
}

void RunWorld::callTarget(Agent& agent, const std::function<void(StandIns::LeasedTarget&, bool isLate)>& call, const std::function<void()>& giveUp, Duration timeout, bool canBeLate)
{
    bool isLate = canBeLate && chance(faults_.appliedLate_);
    Duration delay = isLate ? between(milliseconds(2000), milliseconds(12'000)) : targetDelay;
    at(now_ + delay, [this, &agent, call, isLate, targetLife = agent.target_->incarnation()] {
        if (now_ >= agent.targetCutUntil_ && agent.target_->incarnation() == targetLife)
            call(*agent.target_, isLate);
    });
    at(now_ + timeout, giveUp);
    noteCall(agent, timeout, giveUp);
}

void RunWorld::noteCall(Agent& agent, Duration timeout, std::function<void()> giveUp)
{
    std::erase_if(agent.calls_, [this](const auto& call) { return call.first <= now_; });
    agent.calls_.emplace_back(now_ + timeout, std::move(giveUp));
}

/// The connections to a process end with it, unless they are cut.
void RunWorld::resetCalls(Agent& agent)
{
    if (now_ < agent.targetCutUntil_)
        return;
    for (auto& [until, giveUp] : std::exchange(agent.calls_, {}))
        at(now_ + linkDelay, giveUp);
}

/// Lets runs and leases end when they do, also on targets that nobody calls.
void RunWorld::advanceTargets()
{
    for (auto& agent : agents_)
        agent->target_->advance(now_);
    at(now_ + targetStep, [this] { advanceTargets(); });
}

void RunWorld::began(std::size_t target, const RunName& name)
{
    auto found = runningOn_.find(name.task_);
    if (found != runningOn_.end())
        report("two runs at a time: " + name.task_ + " number " + std::to_string(name.number_) + " on " + std::to_string(target) + " and " + std::to_string(found->second));
    runningOn_[name.task_] = target;
    std::string job = name.task_.substr(0, name.task_.find('.'));
    trace("target-" + std::to_string(target), { LogLine("began").text("task", name.task_).number("number", name.number_) });
    JobRecord& record = jobs_[job];
    record.hasStarted_ = true;
    ++tasksStarted_;
    if (!record.isOpen_ && record.wasOnlyRejected_)
        report("start of a job that was rejected: " + name.task_);
}

void RunWorld::ended(std::size_t target, const RunName& name, RunEnd end)
{
    auto found = runningOn_.find(name.task_);
    if (found != runningOn_.end() && found->second == target)
        runningOn_.erase(found);
    trace("target-" + std::to_string(target), { LogLine("ended").text("task", name.task_).number("number", name.number_).number("end", toUnderlying(end)) });
    if (end == RunEnd::Done)
        jobs_[name.task_.substr(0, name.task_.find('.'))].doneTasks_.insert(name.task_);
}

} // namespace Lagoonpick
