#pragma once

#include "Lagoonpick/Core/Error.h"
#include "Lagoonpick/Core/Underlying.h"
#include "Lagoonpick/Transport/FrameHub.h"
#include "Lagoonpick/Wire/Outgoing.h"

#include <concepts>
#include <span>
#include <unordered_map>

namespace Lagoonpick {

/// Encodes and decodes frames of messages of one type.
template <typename Codec>
concept FrameCodec = requires(std::span<const typename Codec::Message> messages, const std::string& frame)
{
    {
        Codec::encode(messages)
        } -> std::same_as<std::string>;
    {
        Codec::decode(frame)
        } -> std::same_as<Outcome<std::vector<typename Codec::Message>>>;
};

/// Callbacks for the events of links; called on the thread that runs the `io_context`.
template <typename Message>
struct MessageEvents {
    std::function<void(LinkId)> onOpened_;
    std::function<void(LinkId)> onClosed_;
    std::function<void(LinkId, std::vector<Message>)> onReceived_;
    /// Called with the sender's address and the fault when a frame can't be decoded, before its link is closed.
    std::function<void(const std::string& sender, const Error& fault)> onRejected_ {};
};

/// How many messages a frame carries at most; further ones follow in frames of their own. Far below what a receiver accepts.
inline constexpr std::size_t maxMessagesPerFrame = 1024;

/// A `FrameHub` whose frames carry messages of one type. A frame that can't be decoded closes its link.
///
/// Not thread-safe: see `FrameHub`.
template <FrameCodec Codec>
class MessageHub {
public:
    using Message = typename Codec::Message;
    using Outgoing = Wire::Outgoing<Message>;

    MessageHub(boost::asio::io_context& context, LinkLimits limits, MessageEvents<Message> events, std::uint64_t seed)
        : onReceived_(std::move(events.onReceived_))
        , onRejected_(std::move(events.onRejected_))
        , frameHub_(context, limits, { std::move(events.onOpened_), std::move(events.onClosed_), [this](LinkId link, const std::string& frame) { return receive(link, frame); } }, seed)
    {
    }

    std::string listen(const std::string& address) { return frameHub_.listen(address); }
    void stopAccepting() { frameHub_.stopAccepting(); }
    void setPeerAddresses(const std::vector<std::string>& addresses) { frameHub_.setPeerAddresses(addresses); }

    /// Sends messages as one frame, or as few as possible, in order, behind all earlier frames of the link. Does nothing if the link
    /// is closed.
    void send(LinkId link, std::span<const Message> messages)
    {
        for (; messages.size() > maxMessagesPerFrame; messages = messages.subspan(maxMessagesPerFrame))
            frameHub_.send(link, Codec::encode(messages.first(maxMessagesPerFrame)));
        frameHub_.send(link, Codec::encode(messages));
    }

    /// Sends each message over its link, in as few frames as possible, which keeps the messages' order.
    void send(std::vector<Outgoing> messages)
    {
        std::unordered_map<std::uint64_t, std::vector<Message>> batches;
        for (auto& item : messages)
            batches[toUnderlying(item.link_)].push_back(std::move(item.message_));
        for (const auto& [link, batch] : batches)
            send(LinkId(link), batch);
    }

    void close(LinkId link) { frameHub_.close(link); }
    void abort(LinkId link) { frameHub_.abort(link); }
    std::uint64_t bytesSent() const { return frameHub_.bytesSent(); }
    std::uint64_t bytesReceived() const { return frameHub_.bytesReceived(); }
    PeerFaults& faults() { return frameHub_.faults(); }
    const PeerFaults& faults() const { return frameHub_.faults(); }
    void closeAll() { frameHub_.closeAll(); }

private:
    bool receive(LinkId link, const std::string& frame)
    {
        auto messages = Codec::decode(frame);
        if (!messages) {
            if (onRejected_)
                onRejected_(frameHub_.peerAddress(link), messages.error());
            return false;
        }
        onReceived_(link, std::move(messages).value());
        return true;
    }

    std::function<void(LinkId, std::vector<Message>)> onReceived_;
    std::function<void(const std::string&, const Error&)> onRejected_;
    FrameHub frameHub_;
};

} // namespace Lagoonpick
