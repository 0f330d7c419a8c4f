#include "Lagoonpick/Job/JobEntryCore.h"

#include <algorithm>

// The part of `JobEntryCore` that handles links: agents that connect, disconnect and report.

namespace Lagoonpick {

using Wire::NotStartedReason;
using Wire::RunEnd;

namespace {

/// Time to stop a run and to send its task to another target.
constexpr Duration moveTime = std::chrono::milliseconds(20);
/// Factor on a stalled run's remaining time. The progress rate of a run is known to within about a tenth; a move must gain
/// more than that because it discards work.
constexpr double minRemainingFactor = 0.8;

} // namespace

void JobEntryCore::linkOpened(LinkId link, Time)
{
    send(link, Wire::EntryHello { .incarnation_ = settings_.incarnation_, .name_ = settings_.name_, .availabilityZone_ = settings_.availabilityZone_, .address_ = settings_.linkAddress_ });
    sendZones(link);
}

void JobEntryCore::linkClosed(LinkId link, Time now)
{
    if (AgentRow* agent = findAgent(link)) {
        agent->link_.reset();
        agent->linkLostAt_ = now;
        log(LogLine("agent_lost").text("agent", agent->name_).milliseconds("silent_ms", now - agent->lastReceived_).number("runs", agent->runs_.size()));
    }
    links_.erase(link);
}

void JobEntryCore::receive(LinkId link, const Wire::RunMessage& message, Time now)
{
    AgentRow* agent = findAgent(link);
    bool isHello = std::holds_alternative<Wire::AgentHello>(message) || std::holds_alternative<Wire::EntryHello>(message);
    // Another entry sends its evacuated zones with its hello, and answers a hello with its configuration.
    bool isForAll = isHello || std::holds_alternative<Wire::ConfigurationCopy>(message) || std::holds_alternative<Wire::EvacuatedZones>(message);
    if (!agent && !isForAll)
        return;
    if (agent)
        agent->lastReceived_ = now;
    std::visit([&](const auto& alternative) { handle(link, alternative, now); }, message);
}

AgentRow* JobEntryCore::findAgent(LinkId link)
{
    auto found = links_.find(link);
    return found == links_.end() ? nullptr : &agents_[found->second];
}

void JobEntryCore::recordAgentTime(AgentRow& agent, std::uint64_t agentTime, Time now)
{
    if (agentTime <= agent.agentTime_)
        return;
    agent.agentTime_ = agentTime;
    agent.agentTimeReceivedAt_ = now;
}

std::uint64_t JobEntryCore::confirmAgentTime(AgentRow& agent)
{
    agent.confirmedAt_ = agent.agentTimeReceivedAt_;
    return agent.agentTime_;
}

void JobEntryCore::handle(LinkId link, const Wire::AgentHello& hello, Time now)
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
    agent.controlAddress_ = hello.controlAddress_;
    agent.targetAddress_ = hello.targetAddress_;
    agent.link_ = link;
    agent.latestLink_ = link;
    agent.lastReceived_ = now;
    agent.heartbeatSentAt_ = Time();
    recordAgentTime(agent, hello.agentTime_, now);
    log(LogLine("agent_attached").text("agent", hello.name_).number("runs", agent.runs_.size()));
    for (const auto& [run, sent] : agent.runs_) {
        // The job may have been answered while the link was down, when its stop could not be sent.
        if (!runs_.contains(run))
            send(link, Wire::StopRun { run });
        send(link, Wire::QueryRun { run });
    }
}

/// Announces another entry to all linked agents, which may not have its address yet, and sends it the configuration.
void JobEntryCore::handle(LinkId link, const Wire::EntryHello& hello, Time)
{
    log(LogLine("entry_announced").text("entry", hello.name_).text("address", hello.address_));
    for (const auto& [incarnation, agent] : agents_) {
        if (agent.link_)
            send(*agent.link_, Wire::EntryAddresses { { hello.address_ } });
    }
    if (queues_.version())
        send(link, Wire::ConfigurationCopy { queues_.version(), configurationText_ });
}

void JobEntryCore::handle(LinkId link, const Wire::RunHeartbeat& heartbeat, Time now)
{
    recordAgentTime(*findAgent(link), heartbeat.agentTime_, now);
    if (configurationFetch_.mustAsk(heartbeat.configurationVersion_, queues_.version(), now))
        send(link, Wire::ConfigurationRequest { queues_.version() });
    if (evacuation_.revision() > heartbeat.zonesRevision_)
        sendZones(link);
}

void JobEntryCore::handle(LinkId link, const Wire::ConfigurationRequest& request, Time)
{
    if (queues_.version() > request.version_)
        send(link, Wire::ConfigurationCopy { queues_.version(), configurationText_ });
}

void JobEntryCore::handle(LinkId, const Wire::ConfigurationCopy& copy, Time)
{
    if (copy.version_ > queues_.version())
        effects_.configurations_.push_back(copy);
}

void JobEntryCore::handle(LinkId link, const Wire::RunEnded& ended, Time now)
{
    AgentRow& agent = *findAgent(link);
    agent.highestSeenEnd_ = std::max(agent.highestSeenEnd_, ended.sequence_);
    // Applies also when the job was answered before: the run's resources on the target are free now.
    agent.runs_.erase(ended.run_);
    endRun(ended.run_, ended.end_, ended.reason_, Duration(static_cast<Duration::rep>(ended.durationMicroseconds_)), now);
}

/// Handles the load pattern of targets that become slow or hang while they run tasks: a run that would end much later than a
/// new run elsewhere is stopped so that its task can be placed anew, and a job that cannot meet its deadline anywhere is
/// recalled at once.
void JobEntryCore::handle(LinkId link, const Wire::RunStalled& stalled, Time now)
{
    auto found = runs_.find(stalled.run_);
    if (found == runs_.end())
        return;
    TaskRef ref = found->second;
    HeldJob& job = jobs_[ref.job_];
    JobTask& task = job.tasks_[ref.task_];
    if (job.isRecalled_ || task.isMoving_ || task.moves_ >= JobTask::maxMoves)
        return;
    task.avoided_.insert(task.agent_);
    Placement elsewhere = chooseAgent(job, task, now);
    Duration remaining = scale(Duration(static_cast<Duration::rep>(stalled.remainingMicroseconds_)), minRemainingFactor);
    bool hasOtherAgent = elsewhere.agent_.isValid() && elsewhere.agent_ != task.agent_;
    Duration timeLeft = job.deadline_ - now;
    const bool isWorkKnown = stalled.workMicroseconds_ > 0;
    const auto expected = static_cast<double>(expectedWork(job, *findAgent(link)).count());
    if (isWorkKnown && hasOtherAgent && expected > 0) {
        // If the task's own work is long, a new run takes longer than expected by the same factor. Its wait does not depend on that.
        double factor = std::max(1.0, static_cast<double>(stalled.workMicroseconds_) / expected);
        const AgentRow& other = agents_[elsewhere.agent_];
        elsewhere.finish_ += scale(scale(expectedWork(job, other), other.slowdown()), factor - 1);
    }
    Duration earliest = isWorkKnown ? elsewhere.finish_ : shortestFinish(elsewhere.finish_, job);
    if (remaining > timeLeft && (!hasOtherAgent || earliest > timeLeft)) {
        withdraw(ref.job_, std::min(remaining, hasOtherAgent ? earliest : remaining), now);
        return;
    }
    // A run on a sound target is moved only if that saves its job.
    if (!hasOtherAgent || elsewhere.finish_ + moveTime > remaining || (isWorkKnown && remaining <= timeLeft))
        return;
    log(LogLine("run_moved").text("job", job.request_.id_).number("task", ref.task_).text("agent", findAgent(link)->name_).milliseconds("remaining_ms", remaining).milliseconds("elsewhere_ms", elsewhere.finish_));
    ++counters_.movedRuns_;
    ++task.moves_;
    task.isMoving_ = true;
    send(link, Wire::StopRun { stalled.run_ });
}

void JobEntryCore::handle(LinkId link, const Wire::TargetReport& report, Time now)
{
    AgentRow& agent = *findAgent(link);
    if (report.isOpen_ != agent.report_.isOpen_ || report.isSuspect_ != agent.report_.isSuspect_)
        log(LogLine("target_changed").text("agent", agent.name_).flag("open", report.isOpen_).flag("suspect", report.isSuspect_).text("service", report.service_).number("slowness_permille", report.slowdownPermille_));
    agent.report_ = report;
    agent.reportedAt_ = now;
    agent.backlog_ = Backlog(report, now);
    recordAgentTime(agent, report.agentTime_, now);
    if (!report.isOpen_)
        return;
    // A later incarnation of an agent reports itself open only when no run of an earlier incarnation is left on its target. An agent
    // of the same name on another instance may be out of reach and go on.
    // Without a link there is only an agent whose link was lost, such as an earlier incarnation.
    if (agents_.size() == links_.size())
        return;
    std::vector<Incarnation> earlier;
    for (const auto& [incarnation, other] : agents_) {
        if (!other.link_ && agent.isSuccessorOf(other))
            earlier.push_back(incarnation);
    }
    for (Incarnation incarnation : earlier)
        removeAgent(incarnation, "successor_open", now);
}

void JobEntryCore::checkAgents(Time now)
{
    std::vector<Incarnation> expiredAgents;
    for (auto& [incarnation, agent] : agents_) {
        if (agent.link_ && now - agent.lastReceived_ >= settings_.linkTimeout_) {
            log(LogLine("agent_silent").text("agent", agent.name_).milliseconds("silent_ms", now - agent.lastReceived_).number("runs", agent.runs_.size()));
            effects_.linksToAbort_.push_back(*agent.link_);
            links_.erase(*agent.link_);
            agent.link_.reset();
            agent.linkLostAt_ = now;
        }
        if (!agent.link_ && now - agent.confirmedAt_ >= settings_.times_.orphanTimeout_)
            expiredAgents.push_back(incarnation);
        Duration interval = agent.runs_.empty() ? settings_.idleHeartbeatInterval_ : settings_.heartbeatInterval_;
        if (agent.link_ && now - agent.heartbeatSentAt_ >= interval) {
            agent.heartbeatSentAt_ = now;
            send(*agent.link_, Wire::RunHeartbeat { .configurationVersion_ = queues_.version(), .highestSeenEnd_ = agent.highestSeenEnd_, .agentTime_ = confirmAgentTime(agent), .zonesRevision_ = evacuation_.revision() });
        }
    }
    for (Incarnation incarnation : expiredAgents)
        removeAgent(incarnation, "out_of_contact", now);
}

void JobEntryCore::recordUtilization(Time now)
{
    if (now - utilizationRecordedAt_ < settings_.heartbeatInterval_)
        return;
    utilizationRecordedAt_ = now;
    struct Sums {
        double used_ { 0 };
        double capacity_ { 0 };
    };
    std::map<std::string, Sums> services;
    for (const auto& [incarnation, agent] : agents_) {
        if (!isUsable(agent))
            continue;
        Sums& sums = services[agent.report_.service_];
        sums.used_ += agent.report_.used_.milliCores_;
        sums.capacity_ += agent.report_.capacity_.milliCores_;
    }
    for (const auto& [service, sums] : services) {
        if (sums.capacity_ > 0)
            urgentLoad_.recordUtilization(service, std::min(sums.used_ / sums.capacity_, 1.0), now);
    }
}

void JobEntryCore::removeAgent(Incarnation incarnation, std::string_view why, Time now)
{
    auto found = agents_.find(incarnation);
    if (found == agents_.end())
        return;
    AgentRow agent = std::move(found->second);
    agents_.erase(found);
    if (!agent.runs_.empty())
        log(LogLine("agent_forgotten").text("agent", agent.name_).text("why", why).milliseconds("silent_ms", now - agent.lastReceived_).milliseconds("confirmed_ms_ago", now - agent.confirmedAt_).milliseconds("link_lost_ms_ago", now - agent.linkLostAt_).number("runs", agent.runs_.size()));
    counters_.forgottenRuns_ += agent.runs_.size();
    for (const auto& [run, sent] : agent.runs_)
        endRun(run, RunEnd::Lost, NotStartedReason::None, {}, now);
}

} // namespace Lagoonpick
