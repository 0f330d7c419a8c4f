#pragma once

#include "Lagoonpick/Membership/PlatformView.h"
#include "Lagoonpick/Platform/PlatformClient.h"

#include <vector>

namespace Lagoonpick {

/// Registers an agent on the platform, and marks the registration as left when the agent leaves.
///
/// Registers first and reads the entries' table second, so that no fence is missed: a fence set earlier is in the table,
/// and entries that set one later find the agent registered and send it the fence. Used from one thread only: the one
/// that runs its `io_context`.
class Registrar {
public:
    Registrar(boost::asio::io_context& context, PlatformClient& client, Registration registration);

    /// Registers the agent, then returns the fenced entries; retries both until they succeed. `now` gives the time of each
    /// attempt to register.
    boost::asio::awaitable<std::vector<Incarnation>> enroll(std::function<Time()> now);

    /// This agent's generation on the platform; valid after `enroll`.
    std::uint64_t generation() const { return registration_.generation_; }

    /// Records on the platform that the agent has left and its ledger is lost; not retried.
    boost::asio::awaitable<void> withdraw(Time now);

private:
    /// Writes the registration; returns true if the platform holds it.
    boost::asio::awaitable<bool> tryWrite();
    /// Reads the keys that begin with this agent's key.
    boost::asio::awaitable<Outcome<PlatformRange>> readOwnRange();
    boost::asio::awaitable<std::vector<Incarnation>> readFenced();
    boost::asio::awaitable<void> waitBeforeRetry();

    boost::asio::io_context& context_;
    PlatformClient& client_;
    Registration registration_;
    std::string key_;
};

} // namespace Lagoonpick
