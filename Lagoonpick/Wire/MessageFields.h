#pragma once

#include "Lagoonpick/Wire/Message.h"

/// Lists the fields of each message in wire order. `archive` is the encoder or the decoder; `value` is the message, which is
/// const for the encoder. Adding a field changes the wire format: raise `protocolVersion`.
namespace Lagoonpick::Wire {

template <typename Value, typename Plain>
concept MaybeConst = std::same_as<std::remove_const_t<Value>, Plain>;

void describe(auto& archive, MaybeConst<Load> auto& value)
{
    archive(value.slots_, value.running_, value.queued_, value.isDraining_);
}

void describe(auto& archive, MaybeConst<TaskKey> auto& value)
{
    archive(value.submission_, value.task_);
}

void describe(auto& archive, MaybeConst<Hello> auto& value)
{
    archive(value.version_, value.role_, value.incarnation_, value.generation_, value.name_, value.availabilityZone_, value.service_,
        value.load_);
}

void describe(auto& archive, MaybeConst<Heartbeat> auto& value)
{
    archive(value.load_, value.configurationRevision_);
}

void describe(auto& archive, MaybeConst<Start> auto& value)
{
    archive(value.key_, value.attempt_, value.taskCount_, value.service_, value.dueInMicroseconds_,
        value.timeoutMilliseconds_, value.payload_);
}

void describe(auto& archive, MaybeConst<Refusal> auto& value)
{
    archive(value.key_, value.attempt_, value.reason_, value.load_);
}

void describe(auto& archive, MaybeConst<Result> auto& value)
{
    archive(value.key_, value.attempt_, value.outcome_, value.status_, value.runMicroseconds_, value.body_, value.load_);
}

void describe(auto& archive, MaybeConst<ResultAcks> auto& value)
{
    archive(value.keys_);
}

void describe(auto& archive, MaybeConst<Query> auto& value)
{
    archive(value.key_, value.attempt_);
}

void describe(auto& archive, MaybeConst<TaskState> auto& value)
{
    archive(value.key_, value.attempt_, value.phase_, value.load_);
}

void describe(auto& archive, MaybeConst<Cancel> auto& value)
{
    archive(value.submission_);
}

void describe(auto& archive, MaybeConst<DroppedTask> auto& value)
{
    archive(value.task_, value.attempt_);
}

void describe(auto& archive, MaybeConst<Dropped> auto& value)
{
    archive(value.submission_, value.reason_, value.tasks_, value.load_);
}

void describe(auto& archive, MaybeConst<Fence> auto& value)
{
    archive(value.incarnation_);
}

void describe(auto& archive, MaybeConst<FenceAck> auto& value)
{
    archive(value.incarnation_);
}

void describe(auto& archive, MaybeConst<Collect> auto& value)
{
    archive(value.submission_);
}

void describe(auto& archive, MaybeConst<CollectedTask> auto& value)
{
    archive(value.task_, value.phase_, value.outcome_, value.status_, value.isBodyKept_, value.body_);
}

void describe(auto& archive, MaybeConst<Collected> auto& value)
{
    archive(value.submission_, value.taskCount_, value.tasks_);
}

void describe(auto& archive, MaybeConst<Forward> auto& value)
{
    archive(value.request_, value.kind_, value.submission_, value.waitMilliseconds_, value.team_, value.body_);
}

void describe(auto& archive, MaybeConst<ForwardReply> auto& value)
{
    archive(value.request_, value.status_, value.retryAfterSeconds_, value.body_);
}

void describe(auto&, MaybeConst<Recall> auto&)
{
}

} // namespace Lagoonpick::Wire
