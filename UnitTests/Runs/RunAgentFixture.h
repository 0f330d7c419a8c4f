#pragma once

#include "Lagoonpick/Run/RunAgentCore.h"

namespace Lagoonpick {

/// The link between a `RunAgentFixture` and its entry, which is open from the start.
inline constexpr LinkId link { 1 };

/// The expected run time of a task, how long its caller waits for the job, and the priority of the job's queue.
struct TaskTimes {
    Duration work_ { std::chrono::milliseconds(1) };
    Duration callerTimeout_ { std::chrono::seconds(10) };
    std::uint32_t priority_ { 0 };
};

/// Test fixture: an agent with one entry and one target, whose inputs and clock the test controls.
class RunAgentFixture {
public:
    RunAgentFixture()
        : core_(RunAgentCoreSettings { .name_ = "agent", .availabilityZone_ = "zone", .incarnation_ = Incarnation(7), .fencingToken_ = 100 })
    {
        attach(link, Incarnation(1));
        sendHeartbeat();
        answerLease({});
        collect();
    }

    void attach(LinkId on, Incarnation entry)
    {
        core_.linkOpened(on, now_);
        core_.receive(on, Wire::EntryHello { .incarnation_ = entry, .name_ = "entry", .address_ = "10.0.0.1:1" }, now_);
        sendZones(on, 1, {});
    }

    void sendZones(LinkId on, std::uint64_t revision, std::vector<std::string> names)
    {
        core_.receive(on, Wire::EvacuatedZones { revision, std::move(names) }, now_);
        collect();
    }

    void sendHeartbeat(bool isDraining = false, std::uint64_t startedAt = 1, const std::string& id = "target")
    {
        core_.receive(TargetHeartbeat { .incarnation_ = { id, startedAt }, .sequence_ = ++sequence_, .service_ = "service", .availabilityZone_ = "a", .labels_ = {}, .capacity_ = { 2000, 1000, 0 }, .isDraining_ = isDraining }, now_);
        collect();
    }

    /// Delivers a heartbeat with this capacity.
    void sendHeartbeatWithCapacity(std::uint32_t milliCores)
    {
        core_.receive(TargetHeartbeat { .incarnation_ = { "target", 1 }, .sequence_ = ++sequence_, .service_ = "service", .availabilityZone_ = "a", .labels_ = {}, .capacity_ = { milliCores, 1000, 0 }, .isDraining_ = false }, now_);
        collect();
    }

    /// Accepts every pending lease call with the same reply.
    void answerLease(LeaseReply reply)
    {
        reply.clock_ = 1000;
        reply.startedAt_ = reply.startedAt_ ? reply.startedAt_ : 1;
        reply.answer_ = CallAnswer::Accepted;
        answerLeases(reply);
    }

    /// Answers every pending lease call with the same reply.
    void answerLeases(LeaseReply reply)
    {
        std::size_t count = leases_.size();
        for (; answeredCount_ < count; ++answeredCount_) {
            reply.call_ = leases_[answeredCount_].call_;
            core_.receive(reply, now_);
        }
        collect();
    }

    /// Delivers another target's heartbeat, and the answer of the target's address that the known one isn't there any more.
    void replaceTarget(const std::string& id, std::uint64_t startedAt)
    {
        sendHeartbeat(false, startedAt, id);
        answerLeases({ .answer_ = CallAnswer::WrongTarget, .clock_ = {}, .running_ = {}, .ended_ = {} });
    }

    /// The agent's time `ago`, as entries confirm it.
    std::uint64_t agentTime(Duration ago = {}) const { return static_cast<std::uint64_t>(toUnixMilliseconds(now_ - ago)); }

    void startRun(std::uint64_t run, Duration wait = std::chrono::milliseconds(100), std::uint32_t milliCores = 1000, Duration due = std::chrono::milliseconds(100), TaskTimes times = {}, Duration confirmedAgo = {})
    {
        core_.receive(link, Wire::StartRun { .run_ = run, .task_ = "job.0.0." + std::to_string(run), .number_ = 1, .payload_ = "p", .service_ = "service", .need_ = { milliCores, 10, 0 }, .workMicroseconds_ = static_cast<std::uint64_t>(times.work_.count()), .waitMicroseconds_ = static_cast<std::uint64_t>(wait.count()), .dueInMicroseconds_ = due.count(), .priority_ = times.priority_, .callerTimeoutMicroseconds_ = static_cast<std::uint64_t>(times.callerTimeout_.count()), .agentTime_ = agentTime(confirmedAgo) }, now_);
        advance({});
    }

    void reply(std::size_t start, CallAnswer answer)
    {
        core_.receiveStartReply({ starts_.at(start).call_, answer, 1000 }, now_);
        advance({});
    }

    void advance(Duration span)
    {
        now_ += span;
        core_.tick(now_);
        collect();
    }

    /// Advances the time in steps of 100 ms while the entry keeps its link alive.
    void advanceWithHeartbeats(Duration span)
    {
        for (Duration passed {}; passed < span; passed += std::chrono::milliseconds(100)) {
            core_.receive(link, Wire::RunHeartbeat { .agentTime_ = agentTime() }, now_);
            advance(std::chrono::milliseconds(100));
        }
    }

    /// Advances the time while the target answers nothing and the entry keeps its link alive.
    void fallSilent(Duration span)
    {
        for (Duration passed {}; passed < span; passed += std::chrono::milliseconds(100)) {
            answerLeases({ .answer_ = CallAnswer::NoAnswer, .clock_ = {}, .running_ = {}, .ended_ = {} });
            advanceWithHeartbeats(std::chrono::milliseconds(100));
        }
    }

    std::vector<Wire::RunEnded> ends() const
    {
        std::vector<Wire::RunEnded> found;
        for (const auto& item : messages_) {
            if (const auto* ended = std::get_if<Wire::RunEnded>(&item.message_))
                found.push_back(*ended);
        }
        return found;
    }

    void collect()
    {
        auto effects = core_.takeEffects();
        messages_.insert(messages_.end(), effects.messages_.begin(), effects.messages_.end());
        starts_.insert(starts_.end(), effects.starts_.begin(), effects.starts_.end());
        stops_.insert(stops_.end(), effects.stops_.begin(), effects.stops_.end());
        leases_.insert(leases_.end(), effects.leases_.begin(), effects.leases_.end());
        aborted_.insert(aborted_.end(), effects.linksToAbort_.begin(), effects.linksToAbort_.end());
    }

    Time now_ { std::chrono::hours(1) };
    RunAgentCore core_;
    std::uint64_t sequence_ { 0 };
    std::size_t answeredCount_ { 0 };
    std::vector<OutgoingRunMessage> messages_;
    std::vector<StartCall> starts_;
    std::vector<StopCall> stops_;
    std::vector<LeaseCall> leases_;
    std::vector<LinkId> aborted_;
};

} // namespace Lagoonpick
