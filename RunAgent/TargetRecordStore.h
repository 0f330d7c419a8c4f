#pragma once

#include "Lagoonpick/Run/TargetCalls.h"
#include "platform/StoreClient.h"

#include <functional>
#include <vector>

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

    /// Writes the target's record unless the store is known to hold it, then calls `onSaved` with whether it does. One write is
    /// under way at a time, so that an older record can't replace a newer one; saves that come meanwhile share the next write.
    void save(const TargetHeartbeat& heartbeat, std::function<void(bool)> onSaved);

private:
    boost::asio::awaitable<void> read(std::function<void(const TargetHeartbeat&)> onRestored);
    boost::asio::awaitable<void> writeWhileWanted();

    boost::asio::io_context& context_;
    UsersPlatform::StoreClient& store_;
    std::string key_;
    /// The record that the store is known to hold; empty if that is unknown.
    std::string storedRecord_;
    std::string wantedRecord_;
    /// The saves that wait for the next write.
    std::vector<std::function<void(bool)>> waiting_;
    bool isWriting_ { false };
    /// True once this incarnation of the agent has written a record.
    bool hasWritten_ { false };
};

} // namespace Lagoonpick
