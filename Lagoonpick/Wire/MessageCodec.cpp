#include "Lagoonpick/Wire/MessageCodec.h"

#include "Lagoonpick/Wire/FrameCodec.h"
#include "Lagoonpick/Wire/MessageFields.h"

namespace Lagoonpick::Wire {

template <>
constexpr Role lastEnumerator<Role>() { return Role::Agent; }
template <>
constexpr TaskOutcome lastEnumerator<TaskOutcome>() { return TaskOutcome::Unknown; }
template <>
constexpr RefusalReason lastEnumerator<RefusalReason>() { return RefusalReason::LedgerFull; }
template <>
constexpr Phase lastEnumerator<Phase>() { return Phase::Done; }
template <>
constexpr RequestKind lastEnumerator<RequestKind>() { return RequestKind::CancelJob; }

std::string_view nameOfKind(std::size_t kind)
{
    constexpr std::array<std::string_view, messageKindCount> names { "hello", "heartbeat", "start", "refusal", "result",
        "result_acks", "query", "task_state", "cancel", "dropped", "fence", "fence_ack", "collect", "collected", "forward",
        "forward_reply", "recall" };
    return names[kind];
}

std::string encode(std::span<const Message> messages)
{
    return encodeFrame(messages);
}

Outcome<std::vector<Message>> decode(std::string_view frame)
{
    return decodeFrame<Message>(frame, nameOfKind);
}

} // namespace Lagoonpick::Wire
