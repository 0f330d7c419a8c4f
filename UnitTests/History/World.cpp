#include "UnitTests/History/World.h"

#include <fmt/format.h>

namespace Lagoonpick::History {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t startMilliseconds = 1'800'000'000'000;
constexpr std::uint32_t maxTasks = 3;
constexpr Duration callerTimeout = seconds(20);

EntrySettings entrySettings(std::size_t entry)
{
    EntrySettings settings;
    settings.name_ = fmt::format("entry-{}", entry);
    settings.availabilityZone_ = "zone";
    settings.peerAddress_ = fmt::format("127.0.0.1:{}", entry + 1);
    settings.rememberingWindow_ = seconds(60);
    settings.leaseTtl_ = seconds(2);
    settings.horizon_ = seconds(4);
    settings.queueDepth_ = 2;
    settings.linkTimeout_ = seconds(10);
    return settings;
}

AgentSettings agentSettings(std::size_t agent)
{
    AgentSettings settings;
    settings.name_ = fmt::format("target-{}", agent);
    settings.availabilityZone_ = "zone";
    settings.service_ = "default";
    settings.slots_ = 2;
    settings.maxQueued_ = 2;
    settings.linkTimeout_ = seconds(10);
    settings.rememberingWindow_ = seconds(60);
    return settings;
}

std::string bodyOf(std::uint32_t taskCount)
{
    std::string body = R"({"tasks":[{})";
    for (std::uint32_t i = 1; i < taskCount; ++i)
        body += ",{}";
    return body + "]}";
}

} // namespace

World::World()
    : now_(fromUnixMilliseconds(startMilliseconds))
{
    for (std::size_t i = 0; i < agentCount; ++i) {
        startAgent(i);
        makeAgentReady(i);
    }
    for (std::size_t i = 0; i < entryCount; ++i) {
        startEntry(i);
        readView(i);
        tick();
        resolveSwap(i, 0);
    }
    for (std::size_t i = 0; i < entryCount; ++i)
        readView(i);
    connectAll();
    deliverAll();
    tick();
    deliverAll();
}

bool World::isAlive(const End& end) const
{
    return end.isEntry_ ? entries_[end.process_].core_ != nullptr : agents_[end.process_].core_ != nullptr;
}

bool World::isRunnable(const End& end) const
{
    bool isSuspended = end.isEntry_ ? entries_[end.process_].isSuspended_ : agents_[end.process_].isSuspended_;
    return isAlive(end) && !isSuspended;
}

void World::run(const Step& step)
{
    std::size_t entry = step.first_ % entryCount;
    std::size_t agent = step.first_ % agentCount;
    std::size_t end = 0;
    switch (step.kind_) {
    case StepKind::Submit:
    case StepKind::SubmitCallerId: {
        auto& core = entries_[entry].core_;
        if (!core || entries_[entry].isSuspended_)
            return;
        ++lastCallerId_;
        auto createdAt = now_ + milliseconds(step.third_ % 8000) - seconds(4);
        auto id = step.kind_ == StepKind::Submit
            ? SubmissionId::issue(core->incarnation(), now_, static_cast<std::uint32_t>(lastCallerId_))
            : SubmissionId::makeCallerId(createdAt, lastCallerId_, lastCallerId_ * 7919);
        submit(entry, id, 1 + step.second_ % maxTasks);
        return;
    }
    case StepKind::Resubmit:
        if (!submissions_.empty())
            sendRequest(entry, Wire::RequestKind::Submit, submissions_[step.second_ % submissions_.size()]);
        return;
    case StepKind::Fetch:
        if (!submissions_.empty())
            sendRequest(entry, Wire::RequestKind::Fetch, submissions_[step.second_ % submissions_.size()]);
        return;
    case StepKind::CancelJob:
        if (!submissions_.empty())
            sendRequest(entry, Wire::RequestKind::CancelJob, submissions_[step.second_ % submissions_.size()]);
        return;
    case StepKind::Deliver:
        for (std::uint32_t i = 0; i <= step.second_ % 4; ++i) {
            if (auto* connection = chooseNonEmptyInbox(step.first_, end))
                deliver(*connection, end, 0, false);
        }
        return;
    case StepKind::DeliverAll:
        deliverAll();
        return;
    case StepKind::Duplicate:
        if (auto* connection = chooseNonEmptyInbox(step.first_, end))
            deliver(*connection, end, step.second_ % connection->ends_[end].inbox_.size(), true);
        return;
    case StepKind::Reorder:
        if (auto* connection = chooseNonEmptyInbox(step.first_, end))
            deliver(*connection, end, step.second_ % connection->ends_[end].inbox_.size(), false);
        return;
    case StepKind::Cut:
        if (!connections_.empty()) {
            Connection& connection = connections_[step.first_ % connections_.size()];
            connection.isCut_ = true;
            closeEnd(connection, step.second_ % 2);
        }
        return;
    case StepKind::Connect:
        connectAll();
        return;
    case StepKind::Tick:
        tick();
        return;
    case StepKind::Advance:
        now_ += milliseconds(1 + step.first_ * step.second_ % 3000);
        tick();
        return;
    case StepKind::FinishTask:
        finishTask(agent, step.second_, step.third_);
        return;
    case StepKind::CrashEntry:
        crashEntry(entry);
        return;
    case StepKind::StartEntry:
        if (!entries_[entry].core_)
            startEntry(entry);
        return;
    case StepKind::CrashAgent:
        crashAgent(agent);
        return;
    case StepKind::StartAgent:
        if (!agents_[agent].core_)
            startAgent(agent);
        return;
    case StepKind::MakeAgentReady:
        makeAgentReady(agent);
        return;
    case StepKind::ToggleEntrySuspension:
        entries_[entry].isSuspended_ = !entries_[entry].isSuspended_;
        return;
    case StepKind::ToggleAgentSuspension:
        agents_[agent].isSuspended_ = !agents_[agent].isSuspended_;
        return;
    case StepKind::DrainAgent:
        if (agents_[agent].core_) {
            agents_[agent].core_->beginDrain();
            applyAgentEffects(agent);
        }
        return;
    case StepKind::DrainEntry:
        if (entries_[entry].core_)
            entries_[entry].core_->beginDrain();
        return;
    case StepKind::ToggleOutage:
        platform_.setUnavailable(!platform_.isUnavailable());
        return;
    case StepKind::ReadView:
        readView(entry);
        return;
    case StepKind::ResolveSwap:
        resolveSwap(entry, step.second_);
        return;
    case StepKind::ExpireLease:
        if (!platform_.isUnavailable() && entries_[entry].core_)
            platform_.put(PlatformKeys::entries + entries_[entry].core_->incarnation().toString(), std::nullopt);
        return;
    case StepKind::FenceEntry:
        fenceEntry(entry, step.second_ % 2);
        return;
    }
}

void World::submit(std::size_t entry, const SubmissionId& id, std::uint32_t taskCount)
{
    submissions_.push_back(id);
    taskCounts_.push_back(taskCount);
    record_.recordSubmission(id, taskCount);
    sendRequest(entry, Wire::RequestKind::Submit, id);
}

void World::sendRequest(std::size_t entry, Wire::RequestKind kind, const SubmissionId& id)
{
    EntryProcess& process = entries_[entry];
    if (!process.core_ || process.isSuspended_)
        return;
    auto place = std::find(submissions_.begin(), submissions_.end(), id) - submissions_.begin();
    RequestId request { ++lastRequest_ };
    record_.recordRequest(request, id);
    process.requests_.insert(request);
    process.core_->handle(now_, { .request_ = request, .kind_ = kind, .submission_ = id, .until_ = now_ + callerTimeout, .body_ = bodyOf(taskCounts_[place]) });
    applyEntryEffects(entry);
}

World::Connection* World::chooseNonEmptyInbox(std::uint32_t choice, std::size_t& end)
{
    for (std::size_t i = 0; i < connections_.size() * 2; ++i) {
        std::size_t place = (choice + i) % (connections_.size() * 2);
        Connection& connection = connections_[place / 2];
        End& candidate = connection.ends_[place % 2];
        if (!isRunnable(candidate) || !candidate.isOpen_ || candidate.inbox_.empty())
            continue;
        end = place % 2;
        return &connection;
    }
    return nullptr;
}

void World::applyEntryEffects(std::size_t entry)
{
    EntryProcess& process = entries_[entry];
    EntryEffects effects = process.core_->takeEffects();
    for (const auto& message : effects.messages_)
        enqueue(true, entry, message);
    for (const auto& reply : effects.replies_) {
        process.requests_.erase(reply.request_);
        record_.recordReply(reply);
    }
    for (auto& swap : effects.swaps_)
        process.swaps_.push_back(std::move(swap));
    cutLinks(effects.linksToClose_);
}

void World::applyAgentEffects(std::size_t agent)
{
    AgentProcess& process = agents_[agent];
    AgentEffects effects = process.core_->takeEffects();
    for (const auto& start : effects.starts_) {
        // For about every fifth start the target is unreachable.
        bool isWritten = (start.key_.task_ + start.key_.submission_.low()) % 5 != 0;
        if (isWritten)
            record_.recordStart(start.key_);
        process.running_.push_back({ start.key_, isWritten });
    }
    for (const auto& message : effects.messages_)
        enqueue(false, agent, message);
    cutLinks(effects.linksToClose_);
}

void World::crashEntry(std::size_t entry)
{
    EntryProcess& process = entries_[entry];
    for (auto request : process.requests_)
        record_.removeRequest(request);
    cutProcessLinks(true, entry);
    process = {};
}

void World::startEntry(std::size_t entry)
{
    Incarnation incarnation(++lastIncarnation_);
    entries_[entry].core_ = std::make_unique<EntryCore>(entrySettings(entry), incarnation, lastIncarnation_);
    if (!platform_.isUnavailable())
        platform_.put(PlatformKeys::entries + incarnation.toString(), "alive");
}

void World::crashAgent(std::size_t agent)
{
    cutProcessLinks(false, agent);
    agents_[agent] = {};
}

void World::startAgent(std::size_t agent)
{
    if (platform_.isUnavailable())
        return;
    Incarnation incarnation(++lastIncarnation_);
    AgentSettings settings = agentSettings(agent);
    platform_.registerTarget({ .target_ = settings.name_, .service_ = settings.service_, .availabilityZone_ = settings.availabilityZone_, .address_ = "127.0.0.1:1", .agent_ = incarnation, .registeredAt_ = now_, .ledgerLostAt_ = {} });
    agents_[agent].core_ = std::make_unique<AgentCore>(std::move(settings), incarnation);
}

void World::replaceIfDrained(std::size_t agent)
{
    if (!agents_[agent].core_ || !agents_[agent].core_->isDrained())
        return;
    crashAgent(agent);
    startAgent(agent);
    makeAgentReady(agent);
}

void World::replaceIfFenced(std::size_t entry)
{
    EntryProcess& process = entries_[entry];
    if (!process.core_ || !process.core_->isFenced())
        return;
    // As in `EntryHost`: a fenced entry answers its requests with an unknown outcome and restarts as a new incarnation.
    process.core_->abandonRequests();
    applyEntryEffects(entry);
    crashEntry(entry);
    startEntry(entry);
}

void World::makeAgentReady(std::size_t agent)
{
    AgentProcess& process = agents_[agent];
    if (!process.core_ || process.isReady_ || platform_.isUnavailable())
        return;
    std::vector<Incarnation> fenced;
    for (const auto& entry : platform_.view().membership_.fenced_)
        fenced.push_back(entry.incarnation_);
    process.core_->becomeReady(platform_.view().targets_.at(process.core_->settings().name_).generation_, fenced);
    process.isReady_ = true;
}

void World::finishTask(std::size_t agent, std::uint32_t choice, std::uint32_t ending)
{
    AgentProcess& process = agents_[agent];
    if (!process.core_ || process.isSuspended_ || process.running_.empty())
        return;
    auto place = process.running_.begin() + choice % process.running_.size();
    RunningTask task = *place;
    process.running_.erase(place);
    TargetEnd end { .key_ = task.key_, .answer_ = TargetAnswer::NeverWritten, .body_ = {} };
    if (task.isWritten_) {
        constexpr std::array<TargetAnswer, 4> answers { TargetAnswer::Answered, TargetAnswer::Answered, TargetAnswer::Answered, TargetAnswer::Ambiguous };
        end.answer_ = answers[ending % answers.size()];
        end.status_ = ending % 8 == 2 ? 500 : 200;
        end.body_ = "body";
        if (end.answer_ == TargetAnswer::Answered && end.status_ == 200)
            record_.recordSuccess(task.key_);
    }
    process.core_->targetEnded(now_, end);
    applyAgentEffects(agent);
}

void World::fenceEntry(std::size_t entry, bool withSuspension)
{
    if (platform_.isUnavailable() || !entries_[entry].core_)
        return;
    // Random steps seldom complete a fencing, so this step does all of it.
    entries_[entry].isSuspended_ = entries_[entry].isSuspended_ || withSuspension;
    platform_.put(PlatformKeys::entries + entries_[entry].core_->incarnation().toString(), std::nullopt);
    auto forOtherEntries = [&](auto act) {
        for (std::size_t i = 0; i < entryCount; ++i) {
            if (i == entry || !entries_[i].core_ || entries_[i].isSuspended_)
                continue;
            act(i);
        }
    };
    for (int round = 0; round < 2; ++round) {
        forOtherEntries([&](std::size_t i) { readView(i); });
        forOtherEntries([&](std::size_t i) { entries_[i].core_->tick(now_); applyEntryEffects(i); });
        now_ += seconds(2);
    }
    forOtherEntries([&](std::size_t i) { entries_[i].core_->tick(now_); applyEntryEffects(i); });
    forOtherEntries([&](std::size_t i) { resolveSwap(i, 0); });
    forOtherEntries([&](std::size_t i) { readView(i); });
    connectAll();
    deliverAll();
}

void World::resolveSwap(std::size_t entry, std::uint32_t ending)
{
    EntryProcess& process = entries_[entry];
    if (!process.core_ || process.swaps_.empty())
        return;
    CompareAndSwap swap = std::move(process.swaps_.front());
    process.swaps_.pop_front();
    bool isLost = platform_.isUnavailable() || ending % 8 == 3;
    bool isAnswered = !isLost && ending % 8 != 4;
    WriteOutcome outcome = isLost ? WriteOutcome::Unknown : platform_.swap(swap);
    if (process.isSuspended_)
        return;
    process.core_->swapEnded(now_, isAnswered ? outcome : WriteOutcome::Unknown);
    applyEntryEffects(entry);
}

void World::readView(std::size_t entry)
{
    EntryProcess& process = entries_[entry];
    if (!process.core_ || process.isSuspended_ || platform_.isUnavailable())
        return;
    process.core_->viewChanged(now_, platform_.read(), true);
    applyEntryEffects(entry);
}

void World::tick()
{
    for (std::size_t i = 0; i < entryCount; ++i) {
        if (!entries_[i].core_ || entries_[i].isSuspended_)
            continue;
        entries_[i].core_->tick(now_);
        applyEntryEffects(i);
    }
    for (std::size_t i = 0; i < agentCount; ++i) {
        if (!agents_[i].core_ || agents_[i].isSuspended_)
            continue;
        agents_[i].core_->tick(now_);
        applyAgentEffects(i);
    }
}

void World::heal()
{
    platform_.setUnavailable(false);
    for (std::size_t i = 0; i < agentCount; ++i) {
        agents_[i].isSuspended_ = false;
        if (!agents_[i].core_)
            startAgent(i);
        makeAgentReady(i);
    }
    for (auto& entry : entries_)
        entry.isSuspended_ = false;
    // 10 s longer than any caller waits.
    Time end = now_ + callerTimeout + seconds(10);
    while (now_ < end) {
        now_ += milliseconds(250);
        connectAll();
        for (std::size_t i = 0; i < entryCount; ++i) {
            resolveSwap(i, 0);
            readView(i);
            replaceIfFenced(i);
        }
        tick();
        deliverAll();
        for (std::size_t i = 0; i < agentCount; ++i) {
            while (agents_[i].core_ && !agents_[i].running_.empty())
                finishTask(i, 0, 0);
            replaceIfDrained(i);
        }
        deliverAll();
    }
    for (const auto& [request, id] : record_.openRequests())
        record_.reportViolation("no reply to a request for " + id.toString());
    for (std::size_t i = 0; i < entryCount; ++i) {
        if (entries_[i].core_ && entries_[i].core_->home().hasOpenJobs())
            record_.reportViolation(fmt::format("entry {} has jobs that have not ended", i));
    }
}

} // namespace Lagoonpick::History
