#include "UnitTests/Runs/RunWorldParts.h"

#include "Lagoonpick/Core/Underlying.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <utility>

// Virtual time, and the life cycle and inputs of entries and agents.

namespace Lagoonpick {

using std::chrono::milliseconds;
using Wire::RunEnd;

namespace {

constexpr std::size_t entryCount = 3;
constexpr std::size_t agentCount = 4;
constexpr Duration tickInterval = milliseconds(20);
constexpr Duration faultInterval = milliseconds(100);
/// Interval at which an agent chooses its entries.
constexpr Duration selectionInterval = milliseconds(500);
/// A process that handled no input for longer was suspended.
constexpr Duration maxSuspension = milliseconds(400);
constexpr Duration heartbeatInterval = milliseconds(1500);
/// Time within which a drain must be acknowledged.
constexpr Duration maxDrainReportTime = milliseconds(4000);
/// Capacity of a target, and needs of a task, when there is no plan.
const Wire::Resources capacity { 10'000, 10'000, 0 };
const Wire::Resources need { 1'000, 64, 0 };

} // namespace

RunWorld::RunWorld(RunFaults faults, std::uint64_t seed)
    : RunWorld(std::move(faults), seed, nullptr)
{
}

RunWorld::RunWorld(const LoadPlan& plan, std::uint64_t seed)
    : RunWorld({}, seed, &plan)
{
}

RunWorld::RunWorld(RunFaults faults, std::uint64_t seed, const LoadPlan* plan)
    : faults_(std::move(faults))
    , plan_(plan)
    , random_(seed)
    , now_(milliseconds(1'000'000))
{
    for (std::size_t i = 0; i < (plan_ ? plan_->load_.entryCount_ : entryCount); ++i) {
        entries_.push_back(std::make_unique<Entry>());
        entries_.back()->address_ = "10.0.0." + std::to_string(i + 1) + ":1";
        startEntry(*entries_.back());
    }
    for (std::size_t i = 0; i < (plan_ ? plan_->targets_.size() : agentCount); ++i) {
        Agent& agent = addMachine("agent-" + std::to_string(faults_.hasNamesakes_ ? i / 2 : i), "target-" + std::to_string(i), plan_ ? plan_->targets_[i].capacity_ : capacity);
        if (plan_)
            agent.target_->setSpeed(plan_->targets_[i].speed_, now_);
        startAgent(agent);
    }
}

RunWorld::~RunWorld() = default;

void RunWorld::at(Time time, std::function<void()> action)
{
    events_.push({ time, ++lastEvent_, std::make_shared<std::function<void()>>(std::move(action)) });
}

bool RunWorld::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

Duration RunWorld::randomDuration(Duration minimum, Duration maximum)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(minimum.count(), maximum.count())(random_));
}

/// Prints log lines if RUN_HISTORY_TRACE is set, to find the cause of a violation.
void RunWorld::trace(const std::string& source, const std::vector<LogLine>& lines) const
{
    static const bool isEnabled = std::getenv("RUN_HISTORY_TRACE") != nullptr;
    if (!isEnabled)
        return;
    for (const auto& line : lines)
        std::cout << toUnixMilliseconds(now_) << " " << source << " " << line.fields() << "\n";
}

void RunWorld::reportViolation(std::string text)
{
    violations_.push_back(std::to_string(toUnixMilliseconds(now_)) + " " + std::move(text));
}

RunWorld::Agent& RunWorld::addMachine(std::string agentName, std::string target, const Wire::Resources& capacity)
{
    std::size_t index = agents_.size();
    StandIns::LeasedTarget::Hooks hooks {
        [this, index](const RunName& name) { runStarted(index, name); },
        [this, index](const RunName& name, RunEnd end) { runEnded(index, name, end); },
        [this](const RunName& name) { return describeRun(name); }
    };
    double clockRate = 1 - 0.02 * std::uniform_real_distribution<double>(0, 1)(random_);
    auto& agent = agents_.emplace_back(std::make_unique<Agent>());
    agent->index_ = index;
    agent->name_ = std::move(agentName);
    agent->target_ = std::make_unique<StandIns::LeasedTarget>(std::move(target), capacity, clockRate, hooks);
    agent->target_->restart(now_);
    return *agent;
}

void RunWorld::startEntry(Entry& entry)
{
    JobEntryCoreSettings settings;
    settings.name_ = entry.address_;
    settings.incarnation_ = Incarnation(++lastIncarnation_);
    settings.linkAddress_ = entry.address_;
    entry.core_ = std::make_unique<JobEntryCore>(settings, random_());
    std::vector<QueueRule> rules { { .name_ = "queue", .host_ = "host", .prefix_ = "/queue/", .service_ = "service", .maxAttempts_ = 2, .slackFactor_ = 1.6, .allowance_ = milliseconds(60) } };
    for (const auto& kind : plan_ ? plan_->kinds_ : std::vector<JobKind>()) {
        rules.push_back(rules.front());
        rules.back().name_ = kind.name_;
        rules.back().prefix_ = "/" + kind.name_ + "/";
        rules.back().priority_ = kind.priority_;
    }
    entry.core_->setQueues(QueueTable(1, rules), "text");
    entry.isUp_ = true;
    entry.lastInputAt_ = now_;
    std::uint64_t incarnation = ++entry.incarnationCount_;
    beginZoneReads(entry);
    for (auto& agent : agents_) {
        if (agent->isUp_ && agent->selected_.contains(entry.address_))
            connect(entry, *agent);
    }
    auto tick = std::make_shared<std::function<void()>>();
    *tick = [this, &entry, incarnation, tick] {
        if (entry.incarnationCount_ != incarnation || !entry.isUp_)
            return;
        tickEntry(entry);
        at(now_ + tickInterval, *tick);
    };
    at(now_ + randomDuration(Duration(), tickInterval), *tick);
}

void RunWorld::startAgent(Agent& agent)
{
    RunAgentCoreSettings settings;
    settings.name_ = agent.name_;
    settings.availabilityZone_ = zoneOf(agent.index_);
    std::string host = "10.1.0." + std::to_string(agent.index_ + 1);
    settings.controlAddress_ = host + ":1";
    settings.targetAddress_ = host + ":2";
    settings.incarnation_ = Incarnation(++lastIncarnation_);
    settings.maxEntries_ = plan_ ? plan_->load_.maxEntries_ : faults_.maxEntries_;
    settings.fencingToken_ = static_cast<std::uint64_t>(toUnixMilliseconds(now_) + agent.clockOffsetMs_);
    agent.core_ = std::make_unique<RunAgentCore>(settings);
    agent.isUp_ = true;
    agent.lastInputAt_ = now_;
    std::uint64_t incarnation = ++agent.incarnationCount_;
    agent.selected_.clear();
    // Whoever has been connected to an entry knows it, so that only a new incarnation can lack one.
    if (faults_.entryHidden_ > 0)
        hideEntry(agent);
    auto selections = std::make_shared<std::function<void()>>();
    *selections = [this, &agent, incarnation, selections] {
        if (agent.incarnationCount_ != incarnation || !agent.isUp_)
            return;
        if (now_ >= agent.suspendedUntil_)
            selectEntries(agent);
        at(now_ + selectionInterval, *selections);
    };
    (*selections)();
    auto tick = std::make_shared<std::function<void()>>();
    *tick = [this, &agent, incarnation, tick] {
        if (agent.incarnationCount_ != incarnation || !agent.isUp_)
            return;
        tickAgent(agent);
        at(now_ + tickInterval, *tick);
    };
    at(now_ + randomDuration(Duration(), tickInterval), *tick);
    auto heartbeats = std::make_shared<std::function<void()>>();
    *heartbeats = [this, &agent, incarnation, heartbeats] {
        if (agent.incarnationCount_ != incarnation || !agent.isUp_)
            return;
        sendHeartbeat(agent);
        at(now_ + heartbeatInterval, *heartbeats);
    };
    at(now_ + randomDuration(Duration(), heartbeatInterval), *heartbeats);
}

void RunWorld::sendHeartbeat(Agent& agent)
{
    if (now_ < agent.targetCutUntil_)
        return;
    deliverToAgent(agent, agent.incarnationCount_, [this, &agent, heartbeat = agent.target_->heartbeat()] {
        agent.core_->receive(heartbeat, now_);
        if (agent.target_->isDraining() && heartbeat.isDraining_ && !agent.drainAcknowledgedAt_)
            recordDrain(agent, heartbeat);
    });
}

/// Records how the agent's host answers the heartbeat of a draining target: it acknowledges the drain of the known one only.
void RunWorld::recordDrain(Agent& agent, const TargetHeartbeat& heartbeat)
{
    if (agent.core_->target().incarnation() == heartbeat.incarnation_)
        agent.drainAcknowledgedAt_ = now_;
    else if (!agent.drainReportedAt_)
        agent.drainReportedAt_ = now_;
    else if (now_ - *agent.drainReportedAt_ > maxDrainReportTime)
        reportViolation("drain not acknowledged on target " + std::to_string(agent.index_));
}

void RunWorld::resetDrain(Agent& agent)
{
    agent.drainAcknowledgedAt_.reset();
    agent.drainReportedAt_.reset();
}

void RunWorld::deliverToEntry(Entry& entry, std::uint64_t incarnation, const std::function<void()>& input)
{
    if (!entry.isUp_ || entry.incarnationCount_ != incarnation)
        return;
    if (now_ < entry.suspendedUntil_) {
        entry.pendingInputs_.push_back([this, &entry, incarnation, input] { deliverToEntry(entry, incarnation, input); });
        return;
    }
    beginEntryInput(entry);
    input();
    applyEntryEffects(entry);
}

void RunWorld::deliverToAgent(Agent& agent, std::uint64_t incarnation, const std::function<void()>& input)
{
    if (!agent.isUp_ || agent.incarnationCount_ != incarnation)
        return;
    if (now_ < agent.suspendedUntil_) {
        agent.pendingInputs_.push_back([this, &agent, incarnation, input] { deliverToAgent(agent, incarnation, input); });
        return;
    }
    beginAgentInput(agent);
    input();
    applyAgentEffects(agent);
}

void RunWorld::beginEntryInput(Entry& entry)
{
    Duration suspension = now_ - std::exchange(entry.lastInputAt_, now_);
    if (suspension > maxSuspension)
        entry.core_->processResumed(suspension, now_);
    applyEntryEffects(entry);
    for (auto& input : std::exchange(entry.pendingInputs_, {}))
        input();
}

void RunWorld::beginAgentInput(Agent& agent)
{
    Duration suspension = now_ - std::exchange(agent.lastInputAt_, now_);
    if (suspension > maxSuspension)
        agent.core_->processResumed(suspension, now_);
    applyAgentEffects(agent);
    for (auto& input : std::exchange(agent.pendingInputs_, {}))
        input();
}

void RunWorld::tickEntry(Entry& entry)
{
    if (now_ < entry.suspendedUntil_)
        return;
    beginEntryInput(entry);
    entry.core_->tick(now_);
    applyEntryEffects(entry);
}

void RunWorld::tickAgent(Agent& agent)
{
    if (now_ < agent.suspendedUntil_)
        return;
    beginAgentInput(agent);
    agent.core_->tick(now_);
    applyAgentEffects(agent);
}

void RunWorld::applyEntryEffects(Entry& entry)
{
    auto effects = entry.core_->takeEffects();
    trace(entry.address_, effects.log_);
    for (LinkId id : effects.linksToAbort_) {
        if (auto link = findLink(id))
            closeLink(link, false, true);
    }
    for (auto& item : effects.messages_)
        transmit(findLink(item.link_), true, std::move(item.message_));
    for (const auto& answer : effects.answers_)
        finishAttempt(toUnderlying(answer.caller_), answer);
}

void RunWorld::run(Duration span)
{
    end_ = now_ + span;
    advanceTargets();
    auto faults = std::make_shared<std::function<void()>>();
    *faults = [this, faults] {
        injectFaults();
        at(now_ + faultInterval, *faults);
    };
    at(now_ + std::chrono::seconds(2), *faults);
    auto jobs = std::make_shared<std::function<void()>>();
    *jobs = [this, jobs] {
        std::string id = "job" + std::to_string(++lastJob_);
        std::uint32_t tasks = std::uniform_int_distribution<std::uint32_t>(1, 6)(random_);
        JobRequest request { .id_ = id, .host_ = "host", .path_ = "/queue/", .payload_ = "payload", .taskCount_ = tasks, .need_ = need, .estimate_ = milliseconds(200), .callerTimeout_ = randomDuration(milliseconds(500), milliseconds(3000)) };
        if (faults_.targetReplacement_ > 0 && chance(0.5))
            request.requiredLabel_ = requiredLabel;
        jobs_[id].taskCount_ = tasks;
        jobs_[id].requiredLabel_ = request.requiredLabel_;
        ++jobsSent_;
        sendJob(id, request, 1);
        // A job has 3.5 tasks of about 0.3 s on average, and the targets have 40 slots: at load 1, a job arrives every 26 ms.
        at(now_ + randomDuration(Duration(), Duration(static_cast<Duration::rep>(52'000 / faults_.load_))), *jobs);
    };
    at(now_ + std::chrono::seconds(2), *jobs);
    runUntil(end_);
}

void RunWorld::runUntil(Time end)
{
    while (!events_.empty() && events_.top().time_ < end) {
        Event event = events_.top();
        events_.pop();
        now_ = event.time_;
        (*event.action_)();
    }
}

} // namespace Lagoonpick
