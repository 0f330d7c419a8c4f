#pragma once

#include <atomic>
#include <memory>
#include <string>

namespace Lagoonpick::Contract {

/// Forwards TCP connections to another address on a thread of its own; can cut them or withhold their data.
/// The functions may be called from any thread.
class Relay {
public:
    /// Listens on `from` and forwards each connection to `to`.
    Relay(const std::string& from, const std::string& to);
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    /// Closes every connection that is open now; later ones are forwarded as before. Returns without waiting for it.
    void cut();

    /// While silent, forwards neither data nor a close, as when a cable is pulled. New connections are still accepted.
    void setSilent(bool isSilent);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace Lagoonpick::Contract
