#include "Lagoonpick/Job/JobCore.h"

#include <algorithm>

// What an entry does about its links: agents that come, go and report.

namespace Lagoonpick {

using Wire::NotStartedReason;
using Wire::RunEnd;

namespace {

/// One in so many pulses from an agent with an older configuration is answered with the newer one: others send it too.
constexpr std::uint64_t copyOneIn = 3;
/// The time for a stop and for the way to another target.
constexpr Duration moveTime = std::chrono::milliseconds(20);
/// A pace is known to about a tenth; a move must gain more than that, for it throws work away.
constexpr double leastOfRemaining = 0.8;
/// Expected times are off by nearly half: a job is hopeless only if half of them would be too long.
constexpr double leastOfExpected = 0.5;

} // namespace

void JobCore::opened(LinkId link, Time)
{
    send(link, Wire::EntryHello { .incarnation_ = settings_.incarnation_, .name_ = settings_.name_, .availabilityZone_ = settings_.availabilityZone_, .address_ = settings_.linkAddress_ });
}

void JobCore::closed(LinkId link, Time now)
{
    if (AgentRow* agent = agentOf(link)) {
        agent->link_.reset();
        agent->linkLostAt_ = now;
        log(LogLine("agent_lost").text("agent", agent->name_).milliseconds("silent_ms", now - agent->lastHeard_).number("runs", agent->runs_.size()));
    }
    links_.erase(link);
}

void JobCore::receive(LinkId link, const Wire::RunMessage& message, Time now)
{
    AgentRow* agent = agentOf(link);
    bool isHello = std::holds_alternative<Wire::AgentHello>(message) || std::holds_alternative<Wire::EntryHello>(message);
    if (!agent && !isHello)
        return;
    if (agent)
        agent->lastHeard_ = now;
    std::visit([&](const auto& alternative) { handle(link, alternative, now); }, message);
}

AgentRow* JobCore::agentOf(LinkId link)
{
    auto found = links_.find(link);
    return found == links_.end() ? nullptr : &agents_[found->second];
}

void JobCore::handle(LinkId link, const Wire::AgentHello& hello, Time now)
{
    if (hello.version_ != Wire::runProtocolVersion) {
        log(LogLine("agent_rejected").text("agent", hello.name_).number("version", hello.version_));
        effects_.linksToAbort_.push_back(link);
        return;
    }
    AgentRow& agent = agents_[hello.incarnation_];
    if (agent.link_ && *agent.link_ != link) {
        effects_.linksToAbort_.push_back(*agent.link_);
        links_.erase(*agent.link_);
    }
    links_[link] = hello.incarnation_;
    agent.name_ = hello.name_;
    agent.availabilityZone_ = hello.availabilityZone_;
    agent.link_ = link;
    agent.lastHeard_ = now;
    agent.nextPulse_ = now;
    log(LogLine("agent_attached").text("agent", hello.name_).number("runs", agent.runs_.size()));
    for (const auto& [run, need] : agent.runs_) {
        // The stop of a job that was answered meanwhile could not be sent.
        if (!runs_.contains(run))
            send(link, Wire::StopRun { run });
        send(link, Wire::QueryRun { run });
    }
}

/// Another entry that no agent knows yet: its address is passed on.
void JobCore::handle(LinkId link, const Wire::EntryHello& hello, Time)
{
    log(LogLine("entry_announced").text("entry", hello.name_).text("address", hello.address_));
    for (const auto& [incarnation, agent] : agents_) {
        if (agent.link_)
            send(*agent.link_, Wire::EntryAddresses { { hello.address_ } });
    }
    if (queues_.version())
        send(link, Wire::ConfigurationCopy { queues_.version(), configurationText_ });
}

void JobCore::handle(LinkId link, const Wire::RunHeartbeat& pulse, Time)
{
    if (pulse.configurationVersion_ < queues_.version() && random_() % copyOneIn == 0)
        send(link, Wire::ConfigurationCopy { queues_.version(), configurationText_ });
}

void JobCore::handle(LinkId, const Wire::ConfigurationCopy& copy, Time)
{
    if (copy.version_ > queues_.version())
        effects_.configurations_.push_back(copy);
}

void JobCore::handle(LinkId link, const Wire::RunEnded& ended, Time now)
{
    AgentRow& agent = *agentOf(link);
    agent.endsSeen_ = std::max(agent.endsSeen_, ended.sequence_);
    // Also when the job was answered before: what it took at the target is free now.
    agent.runs_.erase(ended.run_);
    endRun(ended.run_, ended.end_, ended.reason_, now);
}

/// Answers the load pattern of targets that turn slow or hang under runs which are there: a run that would end much later
/// than a new one elsewhere is stopped and placed anew, and a job that nothing can save is answered at once.
void JobCore::handle(LinkId link, const Wire::RunStalled& stalled, Time now)
{
    auto found = runs_.find(stalled.run_);
    if (found == runs_.end())
        return;
    RunPlace place = found->second;
    HeldJob& job = jobs_[place.job_];
    JobTask& task = job.tasks_[place.task_];
    if (job.isRecalled_ || task.isMoving_ || task.moves_ >= JobTask::maxMoves)
        return;
    task.avoided_.insert(task.agent_);
    Placement elsewhere = chooseAgent(job, task, now);
    Duration remaining = scale(Duration(static_cast<Duration::rep>(stalled.remainingMicroseconds_)), leastOfRemaining);
    bool isElsewhere = elsewhere.agent_.isValid() && elsewhere.agent_ != task.agent_;
    Duration left = job.deadline_ - now;
    if (remaining > left && (!isElsewhere || scale(elsewhere.finish_, leastOfExpected) > left)) {
        recall(place.job_, JobRefusal::Deadline, now);
        return;
    }
    if (!isElsewhere || elsewhere.finish_ + moveTime > remaining)
        return;
    log(LogLine("run_moved").text("job", job.request_.id_).number("task", place.task_).text("agent", agentOf(link)->name_).milliseconds("remaining_ms", remaining).milliseconds("elsewhere_ms", elsewhere.finish_));
    ++counters_.movedRuns_;
    ++task.moves_;
    task.isMoving_ = true;
    send(link, Wire::StopRun { stalled.run_ });
}

void JobCore::handle(LinkId link, const Wire::TargetReport& report, Time now)
{
    AgentRow& agent = *agentOf(link);
    if (report.isOpen_ != agent.report_.isOpen_ || report.isSuspect_ != agent.report_.isSuspect_)
        log(LogLine("target_changed").text("agent", agent.name_).flag("open", report.isOpen_).flag("suspect", report.isSuspect_).text("service", report.service_).number("slowness_permille", report.slowdownPermille_));
    agent.report_ = report;
    agent.reportedAt_ = now;
    if (!report.isOpen_)
        return;
    // A later life of an agent opens only when nothing of the earlier one runs any more.
    std::vector<Incarnation> earlier;
    for (const auto& [incarnation, other] : agents_) {
        if (other.name_ == agent.name_ && !other.link_ && &other != &agent)
            earlier.push_back(incarnation);
    }
    for (Incarnation incarnation : earlier)
        loseRunsOf(incarnation, now);
}

void JobCore::checkAgents(Time now)
{
    std::vector<Incarnation> gone;
    for (auto& [incarnation, agent] : agents_) {
        if (agent.link_ && now - agent.lastHeard_ >= settings_.linkTimeout_) {
            log(LogLine("agent_silent").text("agent", agent.name_).milliseconds("silent_ms", now - agent.lastHeard_).number("runs", agent.runs_.size()));
            effects_.linksToAbort_.push_back(*agent.link_);
            links_.erase(*agent.link_);
            agent.link_.reset();
            agent.linkLostAt_ = now;
        }
        if (!agent.link_ && now - agent.linkLostAt_ >= settings_.times_.orphanTimeout_)
            gone.push_back(incarnation);
        if (agent.link_ && now >= agent.nextPulse_) {
            agent.nextPulse_ = now + settings_.pulseInterval_;
            send(*agent.link_, Wire::RunHeartbeat { .configurationVersion_ = queues_.version(), .endsSeen_ = agent.endsSeen_ });
        }
    }
    for (Incarnation incarnation : gone)
        loseRunsOf(incarnation, now);
}

void JobCore::loseRunsOf(Incarnation incarnation, Time now)
{
    auto found = agents_.find(incarnation);
    if (found == agents_.end())
        return;
    AgentRow agent = std::move(found->second);
    agents_.erase(found);
    if (!agent.runs_.empty())
        log(LogLine("agent_forgotten").text("agent", agent.name_).milliseconds("silent_ms", now - agent.lastHeard_).number("runs", agent.runs_.size()));
    for (const auto& [run, need] : agent.runs_)
        endRun(run, RunEnd::Lost, NotStartedReason::None, now);
}

} // namespace Lagoonpick
