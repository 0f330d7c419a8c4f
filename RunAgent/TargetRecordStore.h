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
class TargetRecordStore {
public:
    TargetRecordStore(boost::asio::io_context& context, UsersPlatform::StoreClient& store, const std::string& agent);

    /// Reads the record of an earlier incarnation of the agent; calls `onRestored` with it, unless there is none that can be
    /// decoded or this incarnation has written one meanwhile.
    void restore(std::function<void(const TargetHeartbeat&)> onRestored);

    /// Writes the target's record if it has changed, then calls `onSaved` with whether the store is known to hold it.
    void save(const TargetHeartbeat& heartbeat, std::function<void(bool)> onSaved);

private:
    boost::asio::awaitable<void> read(std::function<void(const TargetHeartbeat&)> onRestored);
    boost::asio::awaitable<void> write(std::string record, std::function<void(bool)> onSaved);

    boost::asio::io_context& context_;
    UsersPlatform::StoreClient& store_;
    std::string key_;
    /// The record that was last read or written; empty before.
    std::string storedRecord_;
};

} // namespace Lagoonpick
