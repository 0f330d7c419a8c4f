#pragma once

#include "Lagoonpick/Platform/PlatformClient.h"

namespace Lagoonpick {

/// Maintains the key under which this entry is listed as alive on the platform. The key is bound to a lease, which is
/// renewed three times per `ttl`; an expired lease is replaced by a new one.
///
/// Used from one thread only: the one that runs its `io_context`.
class LeaseManager {
public:
    LeaseManager(boost::asio::io_context& context, PlatformClient& client, std::string key, std::string value, Duration ttl);

    /// Acquires and renews the lease until `stop`; spawn it on the context.
    boost::asio::awaitable<void> run();

    /// Revokes the lease, which deletes the key, and makes `run` return before its next renewal.
    boost::asio::awaitable<void> stop();

private:
    boost::asio::awaitable<void> acquire();

    boost::asio::io_context& context_;
    PlatformClient& client_;
    std::string key_;
    std::string value_;
    Duration ttl_;
    LeaseId lease_ { LeaseId::None };
    bool isStopped_ { false };
};

} // namespace Lagoonpick
