#include "Load/VirtualSystem.h"

#include "Lagoonpick/Core/Underlying.h"

#include <charconv>
#include <fmt/format.h>

namespace Lagoonpick {

namespace {

/// Unix time at which virtual runs start.
constexpr std::int64_t beginMilliseconds = 1'800'000'000'000;
constexpr Duration tickInterval = std::chrono::milliseconds(20);
/// How long a caller waits for its answer.
constexpr Duration callerTimeout = std::chrono::hours(1);
constexpr std::uint32_t httpOk = 200;
constexpr std::uint32_t httpInternalServerError = 500;
/// Incarnation of the first agent. Those of further agents count up from it, those of the entries from 1.
constexpr Incarnation firstAgentIncarnation { 1000 };

std::string bodyOf(const Scenario& scenario, const PlannedJob& job)
{
    std::string body = fmt::format(R"({{"service":"{}","team":"{}","tasks":[)", scenario.service_, job.team_);
    for (std::size_t i = 0; i < job.work_.size(); ++i) {
        body += fmt::format(R"({}{{"payload":"{}","expected_ms":{}}})", i ? "," : "", job.work_[i].count(),
            std::max<std::int64_t>(1, job.declaredWork_[i].count() / 1000));
    }
    return body + "]}";
}

Duration workOf(const std::string& payload)
{
    Duration::rep microseconds = 0;
    std::from_chars(payload.data(), payload.data() + payload.size(), microseconds);
    return Duration(microseconds);
}

} // namespace

VirtualSystem::VirtualSystem(const Scenario& scenario, const VirtualPlan& plan)
    : scenario_(scenario)
    , plan_(plan)
    , begin_(fromUnixMilliseconds(beginMilliseconds))
    , now_(begin_)
{
    auto view = std::make_shared<PlatformView>();
    view->revision_ = 1;
    view->membershipRevision_ = 1;
    view->membership_.horizon_ = begin_ + std::chrono::hours(24);
    view->membership_.epochs_.push_back({ Time(), {} });
    auto agentCount = static_cast<std::uint32_t>(scenario_.targets_.size());
    result_.startsByTarget_.resize(agentCount);
    for (std::uint32_t i = 0; i < agentCount; ++i) {
        AgentSettings settings = plan_.agent_;
        settings.name_ = fmt::format("target-{}", i);
        settings.availabilityZone_ = fmt::format("zone-{}", i % plan_.availabilityZones_);
        settings.service_ = scenario_.service_;
        settings.slots_ = scenario_.targets_[i].slots_;
        Incarnation incarnation(firstAgentIncarnation.value() + i);
        view->targets_[settings.name_] = { .target_ = settings.name_, .service_ = settings.service_, .availabilityZone_ = settings.availabilityZone_, .address_ = {}, .agent_ = incarnation, .registeredAt_ = {}, .ledgerLostAt_ = {} };
        agents_.push_back(std::make_unique<AgentCore>(settings, incarnation));
        agents_.back()->becomeReady(1, {});
    }
    for (std::uint32_t i = 0; i < plan_.entries_; ++i)
        view->membership_.epochs_[0].members_.push_back({ Incarnation(i + 1), fmt::format("entry-{}", i), {}, {} });
    for (std::uint32_t i = 0; i < plan_.entries_; ++i) {
        EntrySettings settings = plan_.entry_;
        settings.name_ = fmt::format("entry-{}", i);
        settings.availabilityZone_ = fmt::format("zone-{}", i % plan_.availabilityZones_);
        entries_.push_back(std::make_unique<EntryCore>(settings, Incarnation(i + 1), scenario_.seed_ + i));
        entries_.back()->viewChanged(now_, view, false);
    }
    for (std::uint32_t entry = 0; entry < plan_.entries_; ++entry) {
        for (std::uint32_t agent = 0; agent < agentCount; ++agent)
            connect(entry, agent);
    }
}

LinkId VirtualSystem::linkOf(std::uint32_t entry, std::uint32_t agent) const
{
    return LinkId(1 + entry * agents_.size() + agent);
}

Duration VirtualSystem::delay(std::uint32_t entry, std::uint32_t agent) const
{
    bool isNear = entry % plan_.availabilityZones_ == agent % plan_.availabilityZones_;
    return isNear ? plan_.delayWithinZone_ : plan_.delayBetweenZones_;
}

void VirtualSystem::connect(std::uint32_t entry, std::uint32_t agent)
{
    entries_[entry]->linkOpened(now_, linkOf(entry, agent));
    agents_[agent]->linkOpened(now_, linkOf(entry, agent));
    tickEntry(entry);
    tickAgent(agent);
}

void VirtualSystem::schedule(Time time, Action action)
{
    events_.push({ time, ++lastOrder_, std::move(action) });
}

void VirtualSystem::tickEntry(std::uint32_t entry)
{
    EntryCore& core = *entries_[entry];
    core.tick(now_);
    auto effects = core.takeEffects();
    for (auto& item : effects.messages_) {
        auto agent = static_cast<std::uint32_t>((toUnderlying(item.link_) - 1) % agents_.size());
        ++result_.messages_[item.message_.index()];
        schedule(now_ + delay(entry, agent), [this, agent, link = item.link_, message = std::move(item.message_)] {
            agents_[agent]->receive(now_, link, message);
            tickAgent(agent);
        });
    }
    for (const auto& reply : effects.replies_) {
        auto job = static_cast<std::uint32_t>(toUnderlying(reply.request_));
        VirtualJobResult& outcome = result_.jobs_[job];
        outcome.isRefused_ = reply.status_ != httpOk;
        outcome.isComplete_ = reply.body_.find(R"("outcome":"complete")") != std::string::npos;
        outcome.response_ = now_ + plan_.callerDelay_ - (begin_ + (*jobs_)[job].arrival_);
        ++replyCount_;
    }
}

void VirtualSystem::tickAgent(std::uint32_t agent)
{
    AgentCore& core = *agents_[agent];
    core.tick(now_);
    auto effects = core.takeEffects();
    for (const auto& start : effects.starts_)
        startOnTarget(agent, start);
    for (auto& item : effects.messages_) {
        auto entry = static_cast<std::uint32_t>((toUnderlying(item.link_) - 1) / agents_.size());
        ++result_.messages_[item.message_.index()];
        schedule(now_ + delay(entry, agent), [this, entry, link = item.link_, message = std::move(item.message_)] {
            entries_[entry]->receive(now_, link, message);
            tickEntry(entry);
        });
    }
}

void VirtualSystem::startOnTarget(std::uint32_t agent, const TargetStart& start)
{
    ++result_.starts_;
    ++result_.startsByTarget_[agent];
    bool isFailing = static_cast<std::int32_t>(agent) == plan_.failingTarget_;
    double factor = static_cast<std::int32_t>(agent) == plan_.stragglerTarget_ ? plan_.stragglerFactor_ : 1;
    double run = static_cast<double>(workOf(start.payload_).count()) * factor / scenario_.targets_[agent].speed_;
    Duration runTime = isFailing ? std::chrono::milliseconds(1) : Duration(static_cast<Duration::rep>(run));
    if (static_cast<std::int32_t>(agent) == plan_.stalledTarget_)
        return;
    schedule(now_ + runTime, [this, agent, isFailing, key = start.key_] {
        agents_[agent]->targetEnded(now_, { .key_ = key, .answer_ = TargetAnswer::Answered, .status_ = isFailing ? httpInternalServerError : httpOk, .body_ = {} });
        tickAgent(agent);
    });
}

void VirtualSystem::submit(std::uint32_t job)
{
    std::uint32_t entry = job % plan_.entries_;
    auto id = SubmissionId::issue(entries_[entry]->incarnation(), now_, job);
    entries_[entry]->handle(now_, { .request_ = RequestId(job), .submission_ = id, .until_ = now_ + callerTimeout, .body_ = bodyOf(scenario_, (*jobs_)[job]) });
    tickEntry(entry);
}

void VirtualSystem::scheduleTicks()
{
    schedule(now_ + tickInterval, [this] {
        for (std::uint32_t i = 0; i < entries_.size(); ++i)
            tickEntry(i);
        for (std::uint32_t i = 0; i < agents_.size(); ++i)
            tickAgent(i);
        if (!isDone())
            scheduleTicks();
    });
}

VirtualResult VirtualSystem::run(const std::vector<PlannedJob>& jobs)
{
    jobs_ = &jobs;
    result_.jobs_.resize(jobs.size());
    for (std::uint32_t job = 0; job < jobs.size(); ++job)
        schedule(begin_ + jobs[job].arrival_ + plan_.callerDelay_, [this, job] { submit(job); });
    scheduleTicks();
    while (!events_.empty() && !isDone()) {
        Event event = std::move(const_cast<Event&>(events_.top()));
        events_.pop();
        now_ = event.at_;
        event.action_();
    }
    result_.duration_ = now_ - begin_;
    return result_;
}

} // namespace Lagoonpick
