#include "Lagoonpick/Wire/RunMessageCodec.h"

#include "Lagoonpick/Core/Underlying.h"
#include "Lagoonpick/Wire/FrameCodec.h"
#include "Lagoonpick/Wire/RunLimits.h"

#include <algorithm>

namespace Lagoonpick::Wire {

namespace {

template <typename Value, typename Plain>
concept MaybeConst = std::same_as<std::remove_const_t<Value>, Plain>;

template <typename Value>
auto plain(std::string_view name, Value& value)
{
    return Field<Value, AnyValue> { name, value, {} };
}

template <typename Value>
auto counter(std::string_view name, Value& value, std::uint64_t min)
{
    return Field<Value, InRange<std::uint64_t>> { name, value, { min, maxCounter } };
}

template <typename Value>
auto timeSpan(std::string_view name, Value& value)
{
    return Field<Value, Measure<std::uint64_t>> { name, value, { 0, maxSpanMicroseconds } };
}

/// The time until the latest start of a run with which its job ends when it is due; negative if that is past.
template <typename Value>
auto dueIn(Value& value)
{
    constexpr auto maxSpan = static_cast<std::int64_t>(maxSpanMicroseconds);
    return Field<Value, Measure<std::int64_t>> { "due_in", value, { -maxSpan, maxSpan } };
}

template <typename Value>
auto agentTime(Value& value)
{
    return Field<Value, InRange<std::uint64_t>> { "agent_time", value, { 0, maxUnixMilliseconds } };
}

template <typename Value>
auto resources(std::string_view name, Value& value, std::uint32_t max)
{
    return Field<Value, ResourcesUpTo> { name, value, { max } };
}

template <typename Value>
auto text(std::string_view name, Value& value, std::size_t minBytes, std::size_t maxBytes)
{
    return Field<Value, ValidText> { name, value, { minBytes, maxBytes } };
}

template <typename Value>
auto texts(std::string_view name, Value& value, std::size_t maxCount, std::size_t maxBytes)
{
    return Field<Value, ValidTexts> { name, value, { maxCount, { 0, maxBytes } } };
}

template <typename Value>
auto identity(Value& value)
{
    return Field<Value, ValidIncarnation> { "incarnation", value, {} };
}

/// Only a run that never began has a reason for that. An entry takes some reasons as proof that the run was never sent to a target.
struct ReasonFor {
    RunEnd end_;
    std::string_view findFault(NotStartedReason reason) const
    {
        return end_ == RunEnd::NotStarted || reason == NotStartedReason::None ? "" : " contradicts the end";
    }
};

struct InStartOrder {
    std::size_t maxCount_;
    std::string_view findFault(const std::vector<QueuedBacklog>& values) const
    {
        auto order = [](const QueuedBacklog& value) { return std::pair(value.priority_, value.dueInMicroseconds_); };
        auto isBefore = [&](const auto& left, const auto& right) { return order(left) < order(right); };
        return std::is_sorted(values.begin(), values.end(), isBefore) ? "" : " is out of order";
    }
};

} // namespace

template <>
constexpr RunEnd lastEnumerator<RunEnd>() { return RunEnd::NotStarted; }
template <>
constexpr NotStartedReason lastEnumerator<NotStartedReason>() { return NotStartedReason::ZoneEvacuated; }

void describe(auto& archive, MaybeConst<Resources> auto& value)
{
    archive(value.milliCores_, value.memoryMegabytes_, value.accelerators_);
}

void describe(auto& archive, MaybeConst<EntryHello> auto& value)
{
    archive(plain("version", value.version_), identity(value.incarnation_), text("name", value.name_, 1, maxNameBytes),
        text("availability_zone", value.availabilityZone_, 0, maxNameBytes), text("address", value.address_, 1, maxAddressBytes));
}

void describe(auto& archive, MaybeConst<AgentHello> auto& value)
{
    archive(plain("version", value.version_), identity(value.incarnation_), text("name", value.name_, 1, maxNameBytes),
        text("availability_zone", value.availabilityZone_, 0, maxNameBytes),
        text("control_address", value.controlAddress_, 0, maxAddressBytes), text("target_address", value.targetAddress_, 0, maxAddressBytes),
        agentTime(value.agentTime_));
}

void describe(auto& archive, MaybeConst<RunHeartbeat> auto& value)
{
    archive(counter("configuration_version", value.configurationVersion_, 0), counter("highest_seen_end", value.highestSeenEnd_, 0),
        agentTime(value.agentTime_), counter("zones_revision", value.zonesRevision_, 0));
}

void describe(auto& archive, MaybeConst<ConfigurationRequest> auto& value)
{
    archive(counter("version", value.version_, 0));
}

void describe(auto& archive, MaybeConst<ConfigurationCopy> auto& value)
{
    archive(counter("version", value.version_, 1), text("text", value.text_, 1, maxConfigurationBytes));
}

void describe(auto& archive, MaybeConst<EntryAddresses> auto& value)
{
    archive(texts("addresses", value.addresses_, maxAddresses, maxAddressBytes));
}

void describe(auto& archive, MaybeConst<StartRun> auto& value)
{
    using Number = std::remove_reference_t<decltype((value.number_))>;
    archive(counter("run", value.run_, 1), text("task", value.task_, 1, maxTaskNameBytes),
        Field<Number, InRange<std::uint32_t>> { "number", value.number_, { 1, std::numeric_limits<std::uint32_t>::max() } },
        text("payload", value.payload_, 0, maxPayloadBytes), text("service", value.service_, 0, maxNameBytes),
        text("required_label", value.requiredLabel_, 0, maxNameBytes), resources("need", value.need_, maxAmount),
        timeSpan("work", value.workMicroseconds_), timeSpan("wait", value.waitMicroseconds_),
        dueIn(value.dueInMicroseconds_), plain("priority", value.priority_), timeSpan("caller_timeout", value.callerTimeoutMicroseconds_), agentTime(value.agentTime_));
}

void describe(auto& archive, MaybeConst<StopRun> auto& value)
{
    archive(counter("run", value.run_, 1));
}

void describe(auto& archive, MaybeConst<QueryRun> auto& value)
{
    archive(counter("run", value.run_, 1));
}

void describe(auto& archive, MaybeConst<RunEnded> auto& value)
{
    archive(counter("sequence", value.sequence_, 1), counter("run", value.run_, 1), plain("end", value.end_));
    using Reason = std::remove_reference_t<decltype((value.reason_))>;
    archive(Field<Reason, ReasonFor> { "reason", value.reason_, { value.end_ } }, timeSpan("duration", value.durationMicroseconds_));
}

void describe(auto& archive, MaybeConst<RunStalled> auto& value)
{
    archive(counter("run", value.run_, 1), timeSpan("remaining", value.remainingMicroseconds_), timeSpan("work", value.workMicroseconds_));
}

void describe(auto& archive, MaybeConst<QueuedBacklog> auto& value)
{
    archive(plain("priority", value.priority_), dueIn(value.dueInMicroseconds_), timeSpan("wait", value.waitMicroseconds_));
}

void describe(auto& archive, MaybeConst<TargetReport> auto& value)
{
    using Slowdown = std::remove_reference_t<decltype((value.slowdownPermille_))>;
    using Backlogs = std::remove_reference_t<decltype((value.queuedBacklogs_))>;
    archive(plain("open", value.isOpen_), plain("suspect", value.isSuspect_), text("service", value.service_, 0, maxNameBytes),
        texts("labels", value.labels_, maxLabels, maxNameBytes), resources("capacity", value.capacity_, maxAmount),
        // Sums of amounts; adding to them saturates.
        plain("used", value.used_), plain("queued", value.queued_),
        Field<Slowdown, Measure<std::uint64_t>> { "slowdown", value.slowdownPermille_, { 0, maxSlowdownPermille } },
        timeSpan("backlog", value.backlogMicroseconds_),
        Field<Backlogs, InStartOrder> { "queued_backlogs", value.queuedBacklogs_, { maxQueuedBacklogs } },
        timeSpan("typical", value.typicalMicroseconds_),
        counter("highest_seen_run", value.highestSeenRun_, 0), agentTime(value.agentTime_));
}

void describe(auto& archive, MaybeConst<EvacuatedZones> auto& value)
{
    using Names = std::remove_reference_t<decltype((value.names_))>;
    archive(counter("revision", value.revision_, 1), Field<Names, SortedTexts> { "names", value.names_, { maxEvacuatedZones, { 1, maxNameBytes } } });
}

std::string_view nameOfRunMessage(std::size_t kind)
{
    constexpr std::array<std::string_view, std::variant_size_v<RunMessage>> names { "entry_hello", "agent_hello", "heartbeat",
        "configuration_request", "configuration_copy", "entry_addresses", "start_run", "stop_run", "query_run", "run_ended", "run_stalled",
        "target_report", "evacuated_zones" };
    return names[kind];
}

std::string_view nameOf(RunEnd end)
{
    constexpr std::array<std::string_view, 5> names { "done", "failed", "stopped", "lost", "not_started" };
    return names[toUnderlying(end)];
}

std::string_view nameOf(NotStartedReason reason)
{
    constexpr std::array<std::string_view, 10> names { "none", "no_room", "draining", "target_unavailable", "old_number",
        "rejected", "unanswered", "recalled", "unknown", "zone_evacuated" };
    return names[toUnderlying(reason)];
}

std::string RunCodec::encode(std::span<const Message> messages)
{
    return encodeFrame(messages);
}

Outcome<std::vector<RunMessage>> RunCodec::decode(const std::string& frame)
{
    return decodeFrame<Message>(frame, nameOfRunMessage);
}

} // namespace Lagoonpick::Wire
