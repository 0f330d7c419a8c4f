#include "Lagoonpick/Wire/RunMessageCodec.h"

#include "Lagoonpick/Core/Underlying.h"
#include "Lagoonpick/Wire/FrameCodec.h"

namespace Lagoonpick::Wire {

namespace {

template <typename Value, typename Plain>
concept MaybeConst = std::same_as<std::remove_const_t<Value>, Plain>;

} // namespace

template <>
constexpr RunEnd lastEnumerator<RunEnd>() { return RunEnd::NotStarted; }
template <>
constexpr NotStartedReason lastEnumerator<NotStartedReason>() { return NotStartedReason::Unknown; }

void describe(auto& archive, MaybeConst<Resources> auto& value)
{
    archive(value.milliCores_, value.memoryMegabytes_, value.accelerators_);
}

void describe(auto& archive, MaybeConst<EntryHello> auto& value)
{
    archive(value.version_, value.incarnation_, value.name_, value.availabilityZone_, value.address_);
}

void describe(auto& archive, MaybeConst<AgentHello> auto& value)
{
    archive(value.version_, value.incarnation_, value.name_, value.availabilityZone_, value.controlAddress_, value.targetAddress_, value.agentTime_);
}

void describe(auto& archive, MaybeConst<RunHeartbeat> auto& value)
{
    archive(value.configurationVersion_, value.highestSeenEnd_, value.agentTime_);
}

void describe(auto& archive, MaybeConst<ConfigurationRequest> auto& value)
{
    archive(value.version_);
}

void describe(auto& archive, MaybeConst<ConfigurationCopy> auto& value)
{
    archive(value.version_, value.text_);
}

void describe(auto& archive, MaybeConst<EntryAddresses> auto& value)
{
    archive(value.addresses_);
}

void describe(auto& archive, MaybeConst<StartRun> auto& value)
{
    archive(value.run_, value.task_, value.number_, value.payload_, value.service_, value.requiredLabel_, value.need_,
        value.workMicroseconds_, value.waitMicroseconds_, value.dueInMicroseconds_, value.callerTimeoutMicroseconds_,
        value.agentTime_);
}

void describe(auto& archive, MaybeConst<StopRun> auto& value)
{
    archive(value.run_);
}

void describe(auto& archive, MaybeConst<QueryRun> auto& value)
{
    archive(value.run_);
}

void describe(auto& archive, MaybeConst<RunEnded> auto& value)
{
    archive(value.sequence_, value.run_, value.end_, value.reason_, value.durationMicroseconds_);
}

void describe(auto& archive, MaybeConst<RunStalled> auto& value)
{
    archive(value.run_, value.remainingMicroseconds_);
}

void describe(auto& archive, MaybeConst<TargetReport> auto& value)
{
    archive(value.isOpen_, value.isSuspect_, value.service_, value.labels_, value.capacity_, value.used_, value.queued_,
        value.slowdownPermille_, value.backlogMicroseconds_, value.typicalMicroseconds_, value.highestSeenRun_,
        value.agentTime_);
}

std::string_view nameOf(RunEnd end)
{
    constexpr std::array<std::string_view, 5> names { "done", "failed", "stopped", "lost", "not_started" };
    return names[toUnderlying(end)];
}

std::string_view nameOf(NotStartedReason reason)
{
    constexpr std::array<std::string_view, 9> names { "none", "no_room", "draining", "target_unavailable", "old_number",
        "rejected", "unanswered", "recalled", "unknown" };
    return names[toUnderlying(reason)];
}

std::string RunCodec::encode(std::span<const Message> messages)
{
    return encodeFrame(messages);
}

Outcome<std::vector<RunMessage>> RunCodec::decode(const std::string& frame)
{
    return decodeFrame<Message>(frame);
}

} // namespace Lagoonpick::Wire
