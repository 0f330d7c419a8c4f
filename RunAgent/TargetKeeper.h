#pragma once

#include "Lagoonpick/Run/TargetCalls.h"
#include "platform/StoreClient.h"

#include <functional>
#include <optional>

namespace Lagoonpick {

/// Keeps in the platform's store what an agent's next life has to know of its target.
///
/// A target that leaves is written down before that is acknowledged: a later life must not start work there.
class TargetKeeper {
public:
    TargetKeeper(boost::asio::io_context& context, UsersPlatform::StoreClient& store, const std::string& agent);

    /// Reads what an earlier life kept; calls `found` if there is something.
    void restore(std::function<void(const TargetHeartbeat&)> found);

    /// Writes what has changed, then calls `kept` with whether what the store holds is up to date.
    void keep(const TargetHeartbeat& heartbeat, std::function<void(bool)> kept);

private:
    boost::asio::awaitable<void> read(std::function<void(const TargetHeartbeat&)> found);
    boost::asio::awaitable<void> write(std::string record, std::function<void(bool)> kept);

    boost::asio::io_context& context_;
    UsersPlatform::StoreClient& store_;
    std::string key_;
    std::string written_;
};

} // namespace Lagoonpick
