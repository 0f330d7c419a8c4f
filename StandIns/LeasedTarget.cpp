#include "StandIns/LeasedTarget.h"

#include <algorithm>
#include <utility>

namespace Lagoonpick::StandIns {

using Wire::RunEnd;

namespace {

constexpr std::int64_t maxLeaseMs = 1000;

std::uint32_t percentOf(const LeasedTarget::Running& run)
{
    constexpr double percent = 100;
    double done = 1 - static_cast<double>(run.remainingWork_.count()) / static_cast<double>(std::max<Duration::rep>(run.work_.count(), 1));
    return static_cast<std::uint32_t>(done * percent);
}

} // namespace

LeasedTarget::LeasedTarget(std::string id, Wire::Resources capacity, double clockRate, Hooks hooks)
    : id_(std::move(id))
    , capacity_(capacity)
    , clockRate_(clockRate)
    , hooks_(std::move(hooks))
{
}

std::int64_t LeasedTarget::clock(Time now) const
{
    double milliseconds = std::chrono::duration<double, std::milli>(now - startedAt_).count();
    return static_cast<std::int64_t>(milliseconds * clockRate_);
}

void LeasedTarget::advance(Time now)
{
    std::vector<std::pair<RunName, RunEnd>> finished;
    bool isLeaseOver = clock(now) > leaseUntil_;
    Duration progress = scale(now - std::exchange(advancedAt_, now), speed_);
    for (auto& [name, run] : running_) {
        if (!run.hangs_)
            run.remainingWork_ = std::max<Duration>(run.remainingWork_ - progress, Duration());
        if (!run.remainingWork_.count())
            finished.emplace_back(name, run.fails_ || isFailing_ ? RunEnd::Failed : RunEnd::Done);
        else if (isLeaseOver)
            finished.emplace_back(name, RunEnd::Stopped);
    }
    for (const auto& [name, end] : finished)
        finish(name, end);
}

void LeasedTarget::finish(const RunName& name, RunEnd end)
{
    running_.erase(name);
    ended_.push_back({ ++lastEndNumber_, name, end });
    hooks_.ended_(name, end);
}

CallReply LeasedTarget::receive(const StartCall& start, Time now, bool isLate)
{
    advance(now);
    if (!isMeant(start.expectedTarget_))
        return { start.call_, CallAnswer::WrongTarget, {} };
    CallReply reply { start.call_, CallAnswer::Accepted, clock(now) };
    auto highest = highestNumbers_.find(start.name_.task_);
    Wire::Resources used;
    for (const auto& [name, run] : running_)
        used = used + (run.isLate_ ? Wire::Resources() : run.need_);
    Running run = hooks_.describe_(start.name_);
    if (start.fencingToken_ < fencingToken_)
        reply.answer_ = CallAnswer::Fenced;
    else if (running_.contains(start.name_))
        reply.answer_ = CallAnswer::Accepted;
    else if (start.leaseUntil_ < clock(now))
        reply.answer_ = CallAnswer::Late;
    else if (highest != highestNumbers_.end() && highest->second >= start.name_.number_)
        reply.answer_ = CallAnswer::StaleStartNumber;
    else {
        fencingToken_ = start.fencingToken_;
        leaseUntil_ = std::max(leaseUntil_, std::min(start.leaseUntil_, clock(now) + maxLeaseMs));
        wasOvercommitted_ = wasOvercommitted_ || (!isLate && !hasRoom(capacity_, used, run.need_));
        highestNumbers_[start.name_.task_] = start.name_.number_;
        run.isLate_ = isLate;
        run.hangs_ = isHanging_;
        running_[start.name_] = run;
        hooks_.began_(start.name_);
    }
    return reply;
}

CallReply LeasedTarget::receive(const StopCall& stop, Time now)
{
    advance(now);
    if (!isMeant(stop.expectedTarget_))
        return { stop.call_, CallAnswer::WrongTarget, {} };
    CallReply reply { stop.call_, CallAnswer::Accepted, clock(now) };
    if (stop.fencingToken_ < fencingToken_) {
        reply.answer_ = CallAnswer::Fenced;
        return reply;
    }
    fencingToken_ = stop.fencingToken_;
    auto& highest = highestNumbers_[stop.name_.task_];
    highest = std::max(highest, stop.name_.number_);
    if (running_.contains(stop.name_))
        finish(stop.name_, RunEnd::Stopped);
    return reply;
}

LeaseReply LeasedTarget::receive(const LeaseCall& call, Time now)
{
    advance(now);
    if (!isMeant(call.expectedTarget_))
        return { .call_ = call.call_, .answer_ = CallAnswer::WrongTarget, .clock_ = {}, .running_ = {}, .ended_ = {} };
    LeaseReply reply { .call_ = call.call_, .answer_ = CallAnswer::Accepted, .clock_ = clock(now), .startedAt_ = reportedStart_, .running_ = {}, .ended_ = {} };
    if (call.fencingToken_ < fencingToken_) {
        reply.answer_ = CallAnswer::Fenced;
        return reply;
    }
    fencingToken_ = call.fencingToken_;
    if (call.leaseUntil_)
        leaseUntil_ = std::max(leaseUntil_, std::min(*call.leaseUntil_, clock(now) + maxLeaseMs));
    std::erase_if(ended_, [&](const EndedRow& row) { return row.number_ <= call.highestSeenEnd_; });
    for (const auto& [name, run] : running_)
        reply.running_.push_back({ name, percentOf(run) });
    reply.ended_ = ended_;
    return reply;
}

void LeasedTarget::setSpeed(double speed, Time now)
{
    advance(now);
    speed_ = speed;
}

void LeasedTarget::replace(std::string id, std::vector<std::string> labels, Time now)
{
    restart(now);
    id_ = std::move(id);
    labels_ = std::move(labels);
}

void LeasedTarget::restart(Time now, bool hasClockSteppedBack)
{
    constexpr std::uint64_t clockStep = 1000;
    reportedStart_ += hasClockSteppedBack ? -clockStep : 1;
    auto lost = std::exchange(running_, {});
    for (const auto& [name, run] : lost)
        hooks_.ended_(name, RunEnd::Lost);
    startedAt_ = now;
    advancedAt_ = now;
    ++incarnationNumber_;
    sequence_ = 0;
    fencingToken_ = 0;
    leaseUntil_ = 0;
    lastEndNumber_ = 0;
    isDraining_ = false;
    highestNumbers_.clear();
    ended_.clear();
}

TargetHeartbeat LeasedTarget::heartbeat()
{
    return { .incarnation_ = { id_, reportedStart_ }, .sequence_ = ++sequence_, .service_ = "service", .availabilityZone_ = "a", .labels_ = labels_, .capacity_ = capacity_, .isDraining_ = isDraining_ };
}

} // namespace Lagoonpick::StandIns
