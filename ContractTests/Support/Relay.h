#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace Lagoonpick::Contract {

/// Forwards TCP connections to another address on a thread of its own; can cut them, withhold their data or deliver it late.
/// Data stays in order, and what was read before its sender closed is delivered before the close, unless the connection is
/// cut. The functions may be called from any thread, return at once and take
/// effect in the order of the calls.
class Relay {
public:
    /// From the end that connects to the relay, or to it.
    enum class Way {
        Up,
        Down,
    };

    /// Listens on `from` and forwards each connection to `to`.
    Relay(const std::string& from, const std::string& to);
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    /// Closes every connection that is open now; later ones are forwarded as before.
    void cut();

    /// While silent, forwards neither data nor a close, as when a cable is pulled. New connections are still accepted.
    void setSilent(bool isSilent);
    void setSilent(Way way, bool isSilent);

    /// Sets how long data and closes take one way. The latency grows or shrinks to it evenly within `rampTime`.
    void setLatency(Way way, std::chrono::milliseconds latency, std::chrono::milliseconds rampTime = {});

    /// Limits the bytes a second one way, of all connections together; 0 for no limit.
    void setRate(Way way, std::uint64_t bytesPerSecond);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace Lagoonpick::Contract
