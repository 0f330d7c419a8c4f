#pragma once

#include "Lagoonpick/Run/TargetCalls.h"
#include "platform/StoreClient.h"

#include <functional>
#include <optional>

namespace Lagoonpick {

/// Stores the record of an agent's target in the platform's store, from which the agent's next incarnation restores it.
///
/// A drain must be stored before it is acknowledged to the target: a later incarnation of the agent must not start work
/// there. Used from one thread only: the one that runs its `io_context`.
class TargetKeeper {
public:
    TargetKeeper(boost::asio::io_context& context, UsersPlatform::StoreClient& store, const std::string& agent);

    /// Reads the record of an earlier incarnation of the agent; calls `found` with it, unless there is none that can be
    /// decoded or this incarnation has written one meanwhile.
    void restore(std::function<void(const TargetHeartbeat&)> found);

    /// Writes the target's record if it has changed, then calls `kept` with whether the store is known to hold it.
    void keep(const TargetHeartbeat& heartbeat, std::function<void(bool)> kept);

private:
    boost::asio::awaitable<void> read(std::function<void(const TargetHeartbeat&)> found);
    boost::asio::awaitable<void> write(std::string record, std::function<void(bool)> kept);

    boost::asio::io_context& context_;
    UsersPlatform::StoreClient& store_;
    std::string key_;
    /// The record that was last read or written; empty before.
    std::string written_;
};

} // namespace Lagoonpick
