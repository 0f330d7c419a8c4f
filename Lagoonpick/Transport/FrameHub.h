#pragma once

#include "Lagoonpick/Core/LinkId.h"
#include "Lagoonpick/Core/Time.h"
#include "Lagoonpick/Transport/PeerFault.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Lagoonpick {

/// Limits and timeouts of the links between processes.
struct LinkLimits {
    std::uint64_t maxFrameBytes_ { 16'777'216 };
    /// A link whose peer reads too slowly is closed if more than this many bytes wait to be written when the next frame is sent.
    std::uint64_t maxBufferedBytes_ { 67'108'864 };
    Duration handshakeTimeout_ { std::chrono::seconds(2) };
    /// The delay between attempts to connect to an address doubles from the minimum to the maximum.
    Duration minReconnectDelay_ { std::chrono::milliseconds(50) };
    Duration maxReconnectDelay_ { std::chrono::seconds(2) };
    /// No connection is accepted while there are this many links. Outgoing connections count but are not limited.
    std::uint32_t maxLinks_ { 16'384 };
    /// How many accepted connections may not yet have sent a frame that could be decoded; for one more, the oldest of them is closed.
    std::uint32_t maxUnidentified_ { 512 };
    /// What all links together hold of frames that have not arrived completely. Beyond it, the link that has held most for longest is
    /// closed.
    std::uint64_t maxHeldBytes_ { 268'435'456 };
    /// What waits to be written on all links together. Beyond it, the link with most of it is closed.
    std::uint64_t maxUnsentBytes_ { 268'435'456 };
};

/// Callbacks for the events of links; called on the thread that runs the `io_context`.
struct FrameEvents {
    std::function<void(LinkId)> onOpened_;
    std::function<void(LinkId)> onClosed_;
    /// Returns whether the frame could be decoded; if not, the link is closed.
    std::function<bool(LinkId, const std::string&)> onReceived_;
};

/// The links to other processes: WebSocket connections that carry binary frames.
///
/// Keeps a connection open to every peer address, reconnecting with exponential backoff and jitter, and accepts connections. A
/// frame that can't be decoded closes its link.
///
/// Not thread-safe: uses one `io_context`, which a single thread runs, and is called on that thread only.
class FrameHub {
public:
    FrameHub(boost::asio::io_context& context, LinkLimits limits, FrameEvents events, std::uint64_t seed);
    ~FrameHub();
    FrameHub(const FrameHub&) = delete;
    FrameHub& operator=(const FrameHub&) = delete;

    /// Starts to accept connections on `IP:port`. Returns an error message, or an empty string on success.
    std::string listen(const std::string& address);

    /// Accepts no further connections; existing links stay open.
    void stopAccepting();

    /// Replaces the set of peer addresses: keeps one connection open to each of them, and closes the connections that it
    /// opened to any other.
    void setPeerAddresses(const std::vector<std::string>& addresses);

    /// Queues a frame behind all earlier frames of the link. Does nothing if the link is closed.
    void send(LinkId link, const std::string& frame);

    /// Closes a link. No further event is raised for it.
    void close(LinkId link);

    /// Resets a link's connection: data that is still buffered at either end is lost. No further event is raised for it.
    void abort(LinkId link);

    /// The address of a link's other end as `IP:port`; empty if the link is closed.
    std::string peerAddress(LinkId link) const;

    /// Bytes of all frames sent and received so far, without the overhead of WebSocket and TCP.
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

    /// Links that were closed because of their peer, by kind. Its handler may be set.
    PeerFaults& faults();
    const PeerFaults& faults() const;

    /// Stops accepting and connecting, and closes all links.
    void closeAll();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace Lagoonpick
