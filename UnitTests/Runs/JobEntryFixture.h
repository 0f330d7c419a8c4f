#pragma once

#include "Lagoonpick/Job/JobEntryCore.h"

#include <algorithm>

namespace Lagoonpick {

inline Wire::TargetReport openReport(std::uint32_t milliCores = 10'000)
{
    return { .isOpen_ = true, .service_ = "service", .labels_ = { "a", "rack-1" }, .capacity_ = { milliCores, 10'000, 0 } };
}

/// The report of a target whose only place is taken, and free after the backlog.
inline Wire::TargetReport fullReport(std::uint64_t backlogMicroseconds)
{
    auto report = openReport(1000);
    report.used_ = { 1000, 10, 0 };
    report.backlogMicroseconds_ = backlogMicroseconds;
    return report;
}

inline JobRequest makeRequest(const std::string& id, std::uint32_t tasks = 1)
{
    return { .id_ = id, .host_ = "host", .path_ = "/queue/", .payload_ = "p", .taskCount_ = tasks, .need_ = { 1000, 10, 0 }, .requiredLabel_ = {}, .rack_ = {}, .estimate_ = std::chrono::milliseconds(100), .callerTimeout_ = std::chrono::milliseconds(1500) };
}

/// A `JobEntryCore` with linked agents whose messages and clock the test controls.
class JobEntryFixture {
public:
    explicit JobEntryFixture(std::uint64_t agents = 2, double remoteFactor = 1)
        : core_(JobEntryCoreSettings { .name_ = "entry", .incarnation_ = Incarnation(1), .linkAddress_ = "10.0.0.1:1", .remoteFactor_ = remoteFactor }, 1)
    {
        core_.setQueues(makeQueues(1), "text");
        core_.confirmConfiguration(now_);
        core_.setEvacuatedZones({ 1, {} }, now_);
        for (std::uint64_t i = 1; i <= agents; ++i)
            attach(i, 100 + i);
        collect();
    }

    static QueueTable makeQueues(std::uint64_t version)
    {
        return { version, { { .name_ = "queue", .host_ = "host", .prefix_ = "/queue/", .service_ = "service", .maxAttempts_ = 2, .slackFactor_ = 1.6, .allowance_ = std::chrono::milliseconds(60) } } };
    }

    /// The present time by the agents' clocks, which agree with the entry's.
    std::uint64_t agentTime() const { return static_cast<std::uint64_t>(toUnixMilliseconds(now_)); }

    void attach(std::uint64_t on, std::uint64_t incarnation)
    {
        greet(on, { .incarnation_ = Incarnation(incarnation), .name_ = "agent-" + std::to_string(incarnation) });
        core_.receive(LinkId(on), openReport(), now_);
    }

    /// Opens a link over which an agent greets; its target counts as closed until it reports.
    void greet(std::uint64_t on, Wire::AgentHello hello)
    {
        hello.agentTime_ = agentTime();
        core_.linkOpened(LinkId(on), now_);
        core_.receive(LinkId(on), hello, now_);
    }

    void submit(const JobRequest& request, std::uint64_t caller = 1)
    {
        core_.submit(CallerId(caller), request, now_);
        collect();
    }

    void end(std::size_t start, Wire::RunEnd runEnd, Wire::NotStartedReason reason = Wire::NotStartedReason::None, Duration took = {})
    {
        core_.receive(starts_.at(start).first, Wire::RunEnded { .sequence_ = ++sequence_, .run_ = starts_.at(start).second.run_, .end_ = runEnd, .reason_ = reason, .durationMicroseconds_ = static_cast<std::uint64_t>(took.count()) }, now_);
        collect();
    }

    /// Advances the time in steps of 20 ms, with heartbeats from the first two agents and a tick in each step.
    void advance(Duration span)
    {
        constexpr Duration step = std::chrono::milliseconds(20);
        for (Duration passed {}; passed < span; passed += step) {
            now_ += step;
            for (std::uint64_t i = 1; i <= 2; ++i)
                core_.receive(LinkId(i), Wire::RunHeartbeat { .agentTime_ = agentTime() }, now_);
            core_.tick(now_);
            collect();
        }
    }

    void collect()
    {
        auto effects = core_.takeEffects();
        for (auto& item : effects.messages_) {
            if (const auto* start = std::get_if<Wire::StartRun>(&item.message_))
                starts_.emplace_back(item.link_, *start);
            if (std::holds_alternative<Wire::StopRun>(item.message_))
                ++stops_;
            if (const auto* heartbeat = std::get_if<Wire::RunHeartbeat>(&item.message_))
                confirmed_[item.link_] = fromUnixMilliseconds(static_cast<std::int64_t>(heartbeat->agentTime_));
        }
        answers_.insert(answers_.end(), effects.answers_.begin(), effects.answers_.end());
        for (const auto& line : effects.log_)
            log_.push_back(line.fields());
    }

    /// The last log line with this event, or an empty string.
    std::string lastLine(const std::string& event) const
    {
        auto found = std::find_if(log_.rbegin(), log_.rend(), [&](const auto& line) { return line.find("\"" + event + "\"") != std::string::npos; });
        return found == log_.rend() ? "" : *found;
    }

    Time now_ { std::chrono::hours(1) };
    JobEntryCore core_;
    std::uint64_t sequence_ { 0 };
    std::vector<std::pair<LinkId, Wire::StartRun>> starts_;
    int stops_ { 0 };
    /// The agents' times that heartbeats last confirmed.
    std::map<LinkId, Time> confirmed_;
    std::vector<JobAnswer> answers_;
    std::vector<std::string> log_;
};

} // namespace Lagoonpick
