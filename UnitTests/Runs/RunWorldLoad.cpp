#include "UnitTests/Runs/RunWorldParts.h"

#include <algorithm>

// Playing a plan: its jobs, and the disturbances of its targets.

namespace Lagoonpick {

void RunWorld::sendPlannedJob(const PlannedJob& job)
{
    const std::string& kind = plan_->kinds_[job.kind_].name_;
    auto tasks = static_cast<std::uint32_t>(job.work_.size());
    JobRequest request { .id_ = job.id_, .host_ = "host", .path_ = "/" + kind + "/", .payload_ = "payload", .taskCount_ = tasks, .need_ = plan_->need_, .estimate_ = job.estimate_, .callerTimeout_ = plan_->callerTimeout_ };
    jobs_[job.id_].taskCount_ = tasks;
    plannedJobs_[job.id_] = &job;
    ++jobsSent_;
    sendJob(job.id_, request, maxAttempts, job.callerTimeout_);
}

void RunWorld::powerOff(Agent& agent)
{
    agent.isUp_ = false;
    agent.pendingInputs_.clear();
    agent.target_->restart(now_);
    // The entries are not notified.
    for (auto& [id, link] : links_) {
        if (link->agent_ == &agent)
            link->isCut_ = true;
    }
}

/// Applies the phases that are active now to a target.
void RunWorld::updateTarget(std::size_t index)
{
    Agent& agent = *agents_[index];
    StandIns::LeasedTarget& target = *agent.target_;
    Duration time = now_ - planStartedAt_;
    double speed = plan_->targets_[index].speed_;
    bool isFailing = false;
    bool isHanging = false;
    for (std::size_t number : plan_->targets_[index].phases_) {
        const LoadPhase& phase = plan_->load_.phases_[number];
        if (time < phase.from_ || time >= phase.until_)
            continue;
        isFailing = isFailing || phase.disturbance_ == Disturbance::FailingTargets;
        isHanging = isHanging || phase.disturbance_ == Disturbance::HangingTargets;
        speed /= phase.disturbance_ == Disturbance::SlowTargets ? phase.factor_ : 1;
    }
    target.setSpeed(speed, now_);
    target.setFailing(isFailing);
    target.setHanging(isHanging);
}

void RunWorld::applyPhase(const LoadPhase& phase, std::size_t index, bool hasEnded)
{
    for (std::size_t target = 0; target < agents_.size(); ++target) {
        const auto& phases = plan_->targets_[target].phases_;
        if (std::find(phases.begin(), phases.end(), index) == phases.end())
            continue;
        updateTarget(target);
        if (phase.disturbance_ != Disturbance::LostTargets)
            continue;
        if (hasEnded)
            startAgent(*agents_[target]);
        else
            powerOff(*agents_[target]);
    }
}

LoadOutcome RunWorld::play()
{
    // Leaves time for entries and agents to connect and for the first heartbeats of the targets.
    constexpr Duration start = std::chrono::seconds(3);
    planStartedAt_ = now_ + start;
    outcome_ = LoadOutcome(*plan_);
    for (std::size_t index = 0; index < plan_->load_.phases_.size(); ++index) {
        const LoadPhase& phase = plan_->load_.phases_[index];
        at(planStartedAt_ + phase.from_, [this, &phase, index] { applyPhase(phase, index, false); });
        at(planStartedAt_ + phase.until_, [this, &phase, index] { applyPhase(phase, index, true); });
    }
    for (const auto& job : plan_->jobs_)
        at(planStartedAt_ + job.arrival_, [this, &job] { sendPlannedJob(job); });
    runUntil(planStartedAt_ + plan_->duration_ + std::chrono::seconds(3));
    return *outcome_;
}

} // namespace Lagoonpick
