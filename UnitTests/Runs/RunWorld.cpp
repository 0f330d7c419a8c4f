#include "UnitTests/Runs/RunWorld.h"

#include "Lagoonpick/Core/Underlying.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace Lagoonpick {

using std::chrono::milliseconds;
using Wire::RunEnd;

namespace {

constexpr std::size_t entryCount = 3;
constexpr std::size_t agentCount = 4;
constexpr std::size_t plannedEntryCount = 4;
constexpr Duration tickInterval = milliseconds(20);
constexpr Duration faultInterval = milliseconds(100);
/// A fraction of the time that agents leave for a stop.
constexpr Duration targetStep = milliseconds(5);
constexpr Duration resendInterval = milliseconds(1300);
constexpr Duration drainLimit = milliseconds(2000);
constexpr Duration maxGap = milliseconds(400);
constexpr Duration linkDelay = milliseconds(1);
constexpr Duration targetDelay = milliseconds(2);
constexpr Duration startTimeout = milliseconds(35);
constexpr Duration heartbeatInterval = milliseconds(1500);
constexpr int maxAttempts = 3;
const Wire::Resources capacity { 10'000, 10'000, 0 };
const Wire::Resources need { 1'000, 64, 0 };

} // namespace

struct RunWorld::Link {
    LinkId id_;
    Entry* entry_;
    Agent* agent_;
    std::uint64_t entryLife_;
    std::uint64_t agentLife_;
    bool isOpen_ { true };
    bool isCut_ { false };
    std::vector<std::pair<bool, Wire::RunMessage>> held_ {};
};

struct RunWorld::Entry {
    std::unique_ptr<JobCore> core_;
    std::uint64_t life_ { 0 };
    bool isUp_ { false };
    Time frozenUntil_;
    Time lastRan_;
    std::vector<std::function<void()>> inbox_;
};

struct RunWorld::Agent {
    std::size_t index_;
    std::unique_ptr<RunCore> core_;
    std::unique_ptr<StandIns::LeasedTarget> target_;
    std::uint64_t life_ { 0 };
    bool isUp_ { false };
    Time frozenUntil_;
    Time lastRan_;
    Time targetCutUntil_;
    std::optional<Time> drainAcknowledgedAt_;
    std::int64_t clockOffsetMs_ { 0 };
    std::vector<std::function<void()>> inbox_;
    /// What becomes of the calls that are under way if their connections are reset, and until when they are.
    std::vector<std::pair<Time, std::function<void()>>> calls_;
};

struct RunWorld::Caller {
    std::string id_;
    JobRequest request_;
    int attempt_;
    std::size_t entry_;
    std::uint64_t entryLife_;
};

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
    for (std::size_t i = 0; i < (plan_ ? plannedEntryCount : entryCount); ++i) {
        entries_.push_back(std::make_unique<Entry>());
        startEntry(*entries_.back());
    }
    for (std::size_t i = 0; i < (plan_ ? plan_->targets_.size() : agentCount); ++i) {
        auto agent = std::make_unique<Agent>();
        agent->index_ = i;
        StandIns::LeasedTarget::Hooks hooks {
            [this, i](const RunName& name) { began(i, name); },
            [this, i](const RunName& name, RunEnd end) { ended(i, name, end); },
            [this](const RunName& name) { return describe(name); }
        };
        double clockRate = 1 - 0.02 * std::uniform_real_distribution<double>(0, 1)(random_);
        agent->target_ = std::make_unique<StandIns::LeasedTarget>("target-" + std::to_string(i), plan_ ? plan_->targets_[i].capacity_ : capacity, clockRate, hooks);
        agent->target_->restart(now_);
        if (plan_)
            agent->target_->setSpeed(plan_->targets_[i].speed_, now_);
        agents_.push_back(std::move(agent));
        startAgent(*agents_.back());
    }
}

RunWorld::~RunWorld() = default;

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

void RunWorld::at(Time time, std::function<void()> action)
{
    events_.push({ time, ++lastEvent_, std::make_shared<std::function<void()>>(std::move(action)) });
}

bool RunWorld::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

Duration RunWorld::between(Duration least, Duration most)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(least.count(), most.count())(random_));
}

/// Prints what the decisions log, for the one who looks for a break's cause.
void RunWorld::trace(const std::string& source, const std::vector<LogLine>& lines) const
{
    static const bool isWanted = std::getenv("RUN_HISTORY_TRACE") != nullptr;
    if (!isWanted)
        return;
    for (const auto& line : lines)
        std::cout << toUnixMilliseconds(now_) << " " << source << " " << line.fields() << "\n";
}

void RunWorld::report(std::string text)
{
    breaks_.push_back(std::to_string(toUnixMilliseconds(now_)) + " " + std::move(text));
}

void RunWorld::startEntry(Entry& entry)
{
    JobSettings settings;
    settings.name_ = "entry";
    settings.incarnation_ = Incarnation(++lastIncarnation_);
    settings.linkAddress_ = "10.0.0.1:1";
    entry.core_ = std::make_unique<JobCore>(settings, random_());
    std::vector<QueueRule> rules { { .name_ = "queue", .host_ = "host", .prefix_ = "/queue/", .service_ = "service", .maxAttempts_ = 2, .slackFactor_ = 1.6, .allowance_ = milliseconds(60) } };
    for (const auto& kind : plan_ ? plan_->kinds_ : std::vector<JobKind>()) {
        rules.push_back(rules.front());
        rules.back().name_ = kind.name_;
        rules.back().prefix_ = "/" + kind.name_ + "/";
    }
    entry.core_->setQueues(QueueTable(1, rules), "text", now_);
    entry.isUp_ = true;
    entry.lastRan_ = now_;
    std::uint64_t life = ++entry.life_;
    for (auto& agent : agents_) {
        if (agent->isUp_)
            connect(entry, *agent);
    }
    auto tick = std::make_shared<std::function<void()>>();
    *tick = [this, &entry, life, tick] {
        if (entry.life_ != life || !entry.isUp_)
            return;
        tickEntry(entry);
        at(now_ + tickInterval, *tick);
    };
    at(now_ + between(Duration(), tickInterval), *tick);
}

void RunWorld::startAgent(Agent& agent)
{
    RunSettings settings;
    settings.name_ = "agent-" + std::to_string(agent.index_);
    settings.incarnation_ = Incarnation(++lastIncarnation_);
    settings.fencingToken_ = static_cast<std::uint64_t>(toUnixMilliseconds(now_) + agent.clockOffsetMs_);
    agent.core_ = std::make_unique<RunCore>(settings);
    agent.isUp_ = true;
    agent.lastRan_ = now_;
    std::uint64_t life = ++agent.life_;
    for (auto& entry : entries_) {
        if (entry->isUp_)
            connect(*entry, agent);
    }
    auto tick = std::make_shared<std::function<void()>>();
    *tick = [this, &agent, life, tick] {
        if (agent.life_ != life || !agent.isUp_)
            return;
        tickAgent(agent);
        at(now_ + tickInterval, *tick);
    };
    at(now_ + between(Duration(), tickInterval), *tick);
    auto beats = std::make_shared<std::function<void()>>();
    *beats = [this, &agent, life, beats] {
        if (agent.life_ != life || !agent.isUp_)
            return;
        beat(agent);
        at(now_ + heartbeatInterval, *beats);
    };
    at(now_ + between(Duration(), heartbeatInterval), *beats);
}

void RunWorld::beat(Agent& agent)
{
    if (now_ < agent.targetCutUntil_)
        return;
    intoAgent(agent, agent.life_, [this, &agent, heartbeat = agent.target_->heartbeat()] {
        agent.core_->receive(heartbeat, now_);
        if (agent.target_->isDraining() && heartbeat.isDraining_ && !agent.drainAcknowledgedAt_)
            agent.drainAcknowledgedAt_ = now_;
    });
}

void RunWorld::connect(Entry& entry, Agent& agent)
{
    auto link = std::make_shared<Link>(Link { LinkId(++lastLink_), &entry, &agent, entry.life_, agent.life_ });
    links_[link->id_] = link;
    intoEntry(entry, entry.life_, [this, &entry, link] { entry.core_->opened(link->id_, now_); });
    intoAgent(agent, agent.life_, [this, &agent, link] { agent.core_->opened(link->id_, now_); });
}

std::shared_ptr<RunWorld::Link> RunWorld::linkOf(LinkId id) const
{
    auto found = links_.find(id);
    return found == links_.end() ? nullptr : found->second;
}

void RunWorld::breakLink(Link& link, bool tellEntry, bool tellAgent)
{
    if (!link.isOpen_)
        return;
    link.isOpen_ = false;
    Entry& entry = *link.entry_;
    Agent& agent = *link.agent_;
    LinkId id = link.id_;
    std::uint64_t entryLife = link.entryLife_;
    std::uint64_t agentLife = link.agentLife_;
    auto closeEntry = [&entry, id, entryLife, this] {
        intoEntry(entry, entryLife, [&entry, id, this] { entry.core_->closed(id, now_); });
    };
    auto closeAgent = [&agent, id, agentLife, this] {
        intoAgent(agent, agentLife, [&agent, id, this] { agent.core_->closed(id, now_); });
    };
    // Behind a cut neither end hears of the other's reset.
    if (tellEntry && !link.isCut_)
        at(now_ + linkDelay, closeEntry);
    if (tellAgent && !link.isCut_)
        at(now_ + linkDelay, closeAgent);
    Duration redial = link.isCut_ ? milliseconds(1500) : between(milliseconds(25), milliseconds(100));
    at(now_ + redial, [this, &entry, &agent, entryLife, agentLife] {
        if (entry.isUp_ && agent.isUp_ && entry.life_ == entryLife && agent.life_ == agentLife)
            connect(entry, agent);
    });
    links_.erase(id);
}

void RunWorld::transmit(const std::shared_ptr<Link>& link, bool toAgent, Wire::RunMessage message)
{
    if (!link || !link->isOpen_)
        return;
    taskMessages_ += std::holds_alternative<Wire::StartRun>(message) || std::holds_alternative<Wire::RunEnded>(message) || std::holds_alternative<Wire::StopRun>(message);
    if (link->isCut_) {
        link->held_.emplace_back(toAgent, std::move(message));
        return;
    }
    at(now_ + linkDelay, [this, link, toAgent, message = std::move(message)] {
        if (toAgent) {
            intoAgent(*link->agent_, link->agentLife_, [this, link, message] {
                if (link->isOpen_)
                    link->agent_->core_->receive(link->id_, message, now_);
            });
            return;
        }
        intoEntry(*link->entry_, link->entryLife_, [this, link, message] {
            if (link->isOpen_)
                link->entry_->core_->receive(link->id_, message, now_);
        });
    });
}

void RunWorld::intoEntry(Entry& entry, std::uint64_t life, const std::function<void()>& input)
{
    if (!entry.isUp_ || entry.life_ != life)
        return;
    if (now_ < entry.frozenUntil_) {
        entry.inbox_.push_back([this, &entry, life, input] { intoEntry(entry, life, input); });
        return;
    }
    wakeEntry(entry);
    input();
    applyEntry(entry);
}

void RunWorld::intoAgent(Agent& agent, std::uint64_t life, const std::function<void()>& input)
{
    if (!agent.isUp_ || agent.life_ != life)
        return;
    if (now_ < agent.frozenUntil_) {
        agent.inbox_.push_back([this, &agent, life, input] { intoAgent(agent, life, input); });
        return;
    }
    wakeAgent(agent);
    input();
    applyAgent(agent);
}

void RunWorld::wakeEntry(Entry& entry)
{
    Duration gap = now_ - std::exchange(entry.lastRan_, now_);
    if (gap > maxGap)
        entry.core_->resume(gap, now_);
    applyEntry(entry);
    for (auto& input : std::exchange(entry.inbox_, {}))
        input();
}

void RunWorld::wakeAgent(Agent& agent)
{
    Duration gap = now_ - std::exchange(agent.lastRan_, now_);
    if (gap > maxGap)
        agent.core_->resume(gap, now_);
    applyAgent(agent);
    for (auto& input : std::exchange(agent.inbox_, {}))
        input();
}

void RunWorld::tickEntry(Entry& entry)
{
    if (now_ < entry.frozenUntil_)
        return;
    wakeEntry(entry);
    entry.core_->tick(now_);
    applyEntry(entry);
}

void RunWorld::tickAgent(Agent& agent)
{
    if (now_ < agent.frozenUntil_)
        return;
    wakeAgent(agent);
    agent.core_->tick(now_);
    applyAgent(agent);
}

void RunWorld::applyEntry(Entry& entry)
{
    auto effects = entry.core_->takeEffects();
    trace("entry", effects.log_);
    for (LinkId id : effects.linksToAbort_) {
        if (auto link = linkOf(id))
            breakLink(*link, false, true);
    }
    for (auto& item : effects.messages_)
        transmit(linkOf(item.link_), true, std::move(item.message_));
    for (const auto& answer : effects.answers_)
        finishAttempt(toUnderlying(answer.caller_), answer);
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
    std::uint64_t life = agent.life_;
    for (const auto& start : effects.starts_) {
        auto reply = std::make_shared<std::optional<CallReply>>();
        callTarget(
            agent, [this, &agent, start, life](StandIns::LeasedTarget& target, bool isLate) {
                CallReply answer = target.receive(start, now_, isLate);
                if (agent.drainAcknowledgedAt_ && answer.answer_ == CallAnswer::Accepted && !isLate && now_ - *agent.drainAcknowledgedAt_ > drainLimit)
                    report("start on a target that drains: " + start.name_.task_);
                if (isLate || chance(faults_.answerLost_))
                    return;
                at(now_ + targetDelay, [this, &agent, answer, life] {
                    intoAgent(agent, life, [this, &agent, answer] { agent.core_->receiveStartReply(answer, now_); });
                }); },
            [this, &agent, start, life] {
                intoAgent(agent, life, [this, &agent, start] { agent.core_->receiveStartReply({ start.call_, CallAnswer::NoAnswer, {} }, now_); });
            },
            startTimeout, true);
    }
    for (const auto& stop : effects.stops_) {
        callTarget(
            agent, [this, &agent, stop, life](StandIns::LeasedTarget& target, bool isLate) {
                CallReply answer = target.receive(stop, now_);
                if (isLate || chance(faults_.answerLost_))
                    return;
                at(now_ + targetDelay, [this, &agent, answer, life] {
                    intoAgent(agent, life, [this, &agent, answer] { agent.core_->receiveStopReply(answer, now_); });
                }); },
            [] {}, startTimeout, true);
    }
    for (const auto& call : effects.leases_) {
        auto isAnswered = std::make_shared<bool>(false);
        auto poll = std::make_shared<std::function<void(Time)>>();
        Time giveUpAt = now_ + call.wait_ + milliseconds(50);
        std::uint64_t targetLife = agent.target_->life();
        *poll = [this, &agent, call, life, isAnswered, poll, targetLife](Time answerBy) {
            if (now_ < agent.targetCutUntil_ || agent.target_->life() != targetLife)
                return;
            agent.target_->advance(now_);
            if (!agent.target_->hasNews(call.endsSeen_) && now_ < answerBy) {
                at(now_ + milliseconds(5), [poll, answerBy] { (*poll)(answerBy); });
                return;
            }
            LeaseReply reply = agent.target_->receive(call, now_);
            if (chance(faults_.answerLost_))
                return;
            at(now_ + targetDelay, [this, &agent, reply, life, isAnswered] {
                if (!std::exchange(*isAnswered, true))
                    intoAgent(agent, life, [this, &agent, reply] { agent.core_->receive(reply, now_); });
            });
        };
        at(now_ + targetDelay, [this, &agent, call, poll, targetLife] {
            if (now_ < agent.targetCutUntil_ || agent.target_->life() != targetLife)
                return;
            // The lease is extended when the call arrives; the answer waits.
            agent.target_->receive(LeaseCall { .leaseUntil_ = call.leaseUntil_, .fencingToken_ = call.fencingToken_ }, now_);
            (*poll)(now_ + call.wait_);
        });
        auto giveUp = [this, &agent, call, life, isAnswered] {
            if (!std::exchange(*isAnswered, true))
                intoAgent(agent, life, [this, &agent, call] { agent.core_->receive(LeaseReply { .call_ = call.call_, .answer_ = CallAnswer::NoAnswer, .clock_ = {}, .running_ = {}, .ended_ = {} }, now_); });
        };
        at(giveUpAt, giveUp);
        noteCall(agent, giveUpAt - now_, giveUp);
    }
}

void RunWorld::callTarget(Agent& agent, const std::function<void(StandIns::LeasedTarget&, bool isLate)>& call, const std::function<void()>& giveUp, Duration timeout, bool canBeLate)
{
    bool isLate = canBeLate && chance(faults_.appliedLate_);
    Duration delay = isLate ? between(milliseconds(2000), milliseconds(12'000)) : targetDelay;
    at(now_ + delay, [this, &agent, call, isLate, targetLife = agent.target_->life()] {
        if (now_ >= agent.targetCutUntil_ && agent.target_->life() == targetLife)
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

void RunWorld::sendJob(const std::string& id, const JobRequest& request, int attempt)
{
    std::size_t index = std::uniform_int_distribution<std::size_t>(0, entries_.size() - 1)(random_);
    Entry& entry = *entries_[index];
    std::uint64_t caller = ++lastCaller_;
    callers_[caller] = { id, request, attempt, index, entry.life_ };
    if (!entry.isUp_) {
        at(now_ + linkDelay, [this, caller] { finishAttempt(caller, std::nullopt); });
        return;
    }
    // A request whose caller has gone is not handed over.
    intoEntry(entry, entry.life_, [this, &entry, caller, request] {
        if (callers_.contains(caller))
            entry.core_->submit(CallerId(caller), request, now_);
    });
    Duration patience = chance(faults_.giveUp_) ? between(milliseconds(10), milliseconds(300)) : request.patience_;
    at(now_ + patience, [this, caller, index, life = entry.life_] {
        if (!callers_.contains(caller))
            return;
        Entry& left = *entries_[index];
        intoEntry(left, life, [this, &left, caller] { left.core_->abandon(CallerId(caller), now_); });
        finishAttempt(caller, std::nullopt);
    });
}

void RunWorld::finishAttempt(std::uint64_t caller, std::optional<JobAnswer> answer)
{
    auto found = callers_.find(caller);
    if (found == callers_.end())
        return;
    Caller attempt = found->second;
    callers_.erase(found);
    JobRecord& record = jobs_[attempt.id_];
    bool isRejected = answer && answer->verdict_ == JobVerdict::Rejected;
    record.wasOnlyRejected_ = record.wasOnlyRejected_ && isRejected;
    if (isRejected) {
        record.isOpen_ = false;
        if (auto planned = planned_.find(attempt.id_); planned != planned_.end())
            outcome_->recordRejected(*planned->second);
        if (record.wasOnlyRejected_ && record.hasStarted_)
            report("rejected although it had started: " + attempt.id_);
        return;
    }
    if (answer && answer->verdict_ == JobVerdict::Done) {
        ++done_;
        record.isOpen_ = false;
        if (auto planned = planned_.find(attempt.id_); planned != planned_.end())
            outcome_->recordDone(*planned->second, now_ - planBeganAt_ - planned->second->at_);
        if (record.doneTasks_.size() != record.taskCount_)
            report("answered as done before all of its tasks were: " + attempt.id_);
        return;
    }
    bool isFinal = answer && answer->verdict_ != JobVerdict::GivenUp;
    if (isFinal || attempt.attempt_ >= maxAttempts) {
        record.isOpen_ = false;
        return;
    }
    at(now_ + resendInterval, [this, attempt] { sendJob(attempt.id_, attempt.request_, attempt.attempt_ + 1); });
}

void RunWorld::misbehave()
{
    auto killEntry = [this](Entry& entry) {
        entry.isUp_ = false;
        entry.inbox_.clear();
        for (auto& [id, link] : std::map(links_)) {
            if (link->entry_ == &entry)
                breakLink(*link, false, true);
        }
        for (auto& [caller, attempt] : std::map(callers_)) {
            if (entries_[attempt.entry_].get() == &entry)
                finishAttempt(caller, std::nullopt);
        }
        at(now_ + between(milliseconds(200), milliseconds(2000)), [this, &entry] { startEntry(entry); });
    };
    auto killAgent = [this](Agent& agent) {
        agent.isUp_ = false;
        agent.inbox_.clear();
        for (auto& [id, link] : std::map(links_)) {
            if (link->agent_ == &agent)
                breakLink(*link, true, false);
        }
        agent.drainAcknowledgedAt_.reset();
        at(now_ + between(milliseconds(50), milliseconds(1500)), [this, &agent] { startAgent(agent); });
    };
    for (auto& entry : entries_) {
        if (entry->isUp_ && chance(faults_.entryKill_))
            killEntry(*entry);
        else if (chance(faults_.entryFreeze_))
            entry->frozenUntil_ = std::max(entry->frozenUntil_, now_ + between(milliseconds(100), milliseconds(4000)));
    }
    for (auto& agent : agents_) {
        if (chance(faults_.clockBack_))
            agent->clockOffsetMs_ = -between(Duration(), std::chrono::seconds(5)).count() / 1000;
        if (agent->isUp_ && chance(faults_.agentKill_))
            killAgent(*agent);
        else if (chance(faults_.agentFreeze_))
            agent->frozenUntil_ = std::max(agent->frozenUntil_, now_ + between(milliseconds(100), milliseconds(3000)));
        if (chance(faults_.targetRestart_)) {
            agent->target_->restart(now_);
            resetCalls(*agent);
            agent->drainAcknowledgedAt_.reset();
        }
        if (chance(faults_.targetCut_))
            agent->targetCutUntil_ = now_ + between(milliseconds(50), milliseconds(2500));
        if (chance(faults_.drain_))
            agent->target_->setDraining();
        if (chance(faults_.failing_))
            agent->target_->setFailing(chance(0.5));
        agent->target_->advance(now_);
        if (agent->target_->wasOverfilled())
            report("more than the target's room: " + std::to_string(agent->index_));
    }
    for (auto& [id, link] : std::map(links_)) {
        if (chance(faults_.linkReset_)) {
            breakLink(*link, true, true);
        } else if (!link->isCut_ && chance(faults_.linkCut_)) {
            link->isCut_ = true;
            at(now_ + between(milliseconds(50), milliseconds(3000)), [this, link = link] {
                link->isCut_ = false;
                for (auto& [toAgent, message] : std::exchange(link->held_, {}))
                    transmit(link, toAgent, std::move(message));
            });
        }
    }
}

/// Lets runs and leases end when they do, also on targets that nobody calls.
void RunWorld::advanceTargets()
{
    for (auto& agent : agents_)
        agent->target_->advance(now_);
    at(now_ + targetStep, [this] { advanceTargets(); });
}

void RunWorld::run(Duration span)
{
    end_ = now_ + span;
    advanceTargets();
    auto faults = std::make_shared<std::function<void()>>();
    *faults = [this, faults] {
        misbehave();
        at(now_ + faultInterval, *faults);
    };
    at(now_ + std::chrono::seconds(2), *faults);
    auto jobs = std::make_shared<std::function<void()>>();
    *jobs = [this, jobs] {
        std::string id = "job" + std::to_string(++lastJob_);
        std::uint32_t tasks = std::uniform_int_distribution<std::uint32_t>(1, 6)(random_);
        JobRequest request { .id_ = id, .host_ = "host", .path_ = "/queue/", .payload_ = "payload", .taskCount_ = tasks, .need_ = need, .estimate_ = milliseconds(200), .patience_ = between(milliseconds(500), milliseconds(3000)) };
        jobs_[id].taskCount_ = tasks;
        ++sent_;
        sendJob(id, request, 1);
        // A job takes about 3.5 x 0.3 s of the 40 places.
        at(now_ + between(Duration(), Duration(static_cast<Duration::rep>(52'000 / faults_.load_))), *jobs);
    };
    at(now_ + std::chrono::seconds(2), *jobs);
    runUntil(end_);
}

void RunWorld::sendPlanned(const PlannedJob& job)
{
    const std::string& kind = plan_->kinds_[job.kind_].name_;
    auto tasks = static_cast<std::uint32_t>(job.work_.size());
    JobRequest request { .id_ = job.id_, .host_ = "host", .path_ = "/" + kind + "/", .payload_ = "payload", .taskCount_ = tasks, .need_ = plan_->need_, .estimate_ = job.estimate_, .patience_ = milliseconds(1500) };
    jobs_[job.id_].taskCount_ = tasks;
    planned_[job.id_] = &job;
    ++sent_;
    sendJob(job.id_, request, maxAttempts);
    if (!job.leavesEarly_)
        return;
    at(now_ + job.patience_, [this, id = job.id_] {
        for (const auto& [caller, attempt] : std::map(callers_)) {
            if (attempt.id_ != id)
                continue;
            Entry& entry = *entries_[attempt.entry_];
            intoEntry(entry, attempt.entryLife_, [this, &entry, caller = caller] { entry.core_->abandon(CallerId(caller), now_); });
            finishAttempt(caller, std::nullopt);
        }
    });
}

void RunWorld::losePower(Agent& agent)
{
    agent.isUp_ = false;
    agent.inbox_.clear();
    agent.target_->restart(now_);
    // The other ends hear nothing of it.
    for (auto& [id, link] : links_) {
        if (link->agent_ == &agent)
            link->isCut_ = true;
    }
}

/// Sets a target as the phases that are in force have it.
void RunWorld::updateTarget(std::size_t index)
{
    Agent& agent = *agents_[index];
    StandIns::LeasedTarget& target = *agent.target_;
    Duration time = now_ - planBeganAt_;
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

void RunWorld::apply(const LoadPhase& phase, std::size_t index, bool isOver)
{
    for (std::size_t target = 0; target < agents_.size(); ++target) {
        const auto& hit = plan_->targets_[target].phases_;
        if (std::find(hit.begin(), hit.end(), index) == hit.end())
            continue;
        updateTarget(target);
        if (phase.disturbance_ != Disturbance::LostTargets)
            continue;
        if (isOver)
            startAgent(*agents_[target]);
        else
            losePower(*agents_[target]);
    }
}

LoadOutcome RunWorld::play()
{
    // Time to find each other.
    constexpr Duration start = std::chrono::seconds(3);
    planBeganAt_ = now_ + start;
    outcome_ = LoadOutcome(*plan_);
    for (std::size_t index = 0; index < plan_->load_.phases_.size(); ++index) {
        const LoadPhase& phase = plan_->load_.phases_[index];
        at(planBeganAt_ + phase.from_, [this, &phase, index] { apply(phase, index, false); });
        at(planBeganAt_ + phase.until_, [this, &phase, index] { apply(phase, index, true); });
    }
    for (const auto& job : plan_->jobs_)
        at(planBeganAt_ + job.at_, [this, &job] { sendPlanned(job); });
    runUntil(planBeganAt_ + plan_->span_ + std::chrono::seconds(3));
    return *outcome_;
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
