#pragma once

#include "Lagoonpick/Core/LinkId.h"
#include "Lagoonpick/Core/Time.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Lagoonpick {

/// What the links between processes allow.
struct LinkLimits {
    std::uint64_t maxFrameBytes_ { 16'777'216 };
    /// A link whose other end reads too slowly is closed once this much waits to be written.
    std::uint64_t maxBufferedBytes_ { 67'108'864 };
    Duration handshakeTimeout_ { std::chrono::seconds(2) };
    Duration minRedialDelay_ { std::chrono::milliseconds(50) };
    Duration maxRedialDelay_ { std::chrono::seconds(2) };
    std::uint32_t maxLinks_ { 16'384 };
};

/// What a process does about its links; called on the thread that runs the `io_context`.
struct FrameEvents {
    std::function<void(LinkId)> opened_;
    std::function<void(LinkId)> closed_;
    /// Returns whether the frame could be read; if not, its link is closed.
    std::function<bool(LinkId, const std::string&)> received_;
};

/// The links to other processes: WebSocket connections that carry binary frames.
///
/// Keeps a connection to every address that is wanted, with jittered, growing delays between tries, and takes
/// connections in. A frame that can't be read closes its link. Lives on one `io_context` that one thread runs.
class FrameHub {
public:
    FrameHub(boost::asio::io_context& context, LinkLimits limits, FrameEvents events, std::uint64_t seed);
    ~FrameHub();
    FrameHub(const FrameHub&) = delete;
    FrameHub& operator=(const FrameHub&) = delete;

    /// Takes connections on `IP:port`; returns what went wrong, or nothing.
    std::string listen(const std::string& address);

    /// Takes no further connection; those there are go on.
    void stopAccepting();

    /// Keeps one connection open to each of these addresses and to no others.
    void want(const std::vector<std::string>& addresses);

    /// Sends a frame after everything sent before. Does nothing if the link is gone.
    void send(LinkId link, const std::string& frame);

    /// Closes a link. No event follows for it.
    void close(LinkId link);

    /// Resets a link's connection: what it still holds, at either end, is lost. No event follows for it.
    void abort(LinkId link);

    /// Bytes of frames sent and received so far, without what WebSocket and TCP add.
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

    /// Closes everything, as at exit.
    void closeAll();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace Lagoonpick
