#pragma once

#include "Lagoonpick/Core/BootTime.h"
#include "platform/EvacuationCodec.h"
#include "platform/StoreClient.h"

#include <functional>

namespace Lagoonpick {

/// Follows what operators write into the platform's store: the configuration and the evacuated zones. Watches for changes, and
/// reads everything at the start, after a watch failed (for instance because the store no longer keeps the history), and after a
/// number of watches, because a watch may miss a change.
///
/// Used from one thread only: the one that runs its `io_context`.
class OperatorWatch {
public:
    struct Events {
        /// Called with the configuration's text after each read, and for each change that a watch returns.
        std::function<void(const std::string& text)> onConfigurationChanged_;
        /// Called after a read in which the configuration's item could not be decoded.
        std::function<void()> onConfigurationUnreadable_;
        /// Called with the evacuated zones after each read.
        std::function<void(const UsersPlatform::EvacuationReading&)> onZonesRead_;
        /// A read that was sent at `sentAt` has shown that the configuration last passed to `onConfigurationChanged_` was the newest then or later.
        std::function<void(Time sentAt)> onConfigurationConfirmed_;
        /// A call to the store failed; called once until a call succeeds again.
        std::function<void(const Error&)> onStoreLost_;
        /// A call succeeded after one that failed.
        std::function<void()> onStoreRegained_;
    };

    OperatorWatch(boost::asio::io_context& context, UsersPlatform::StoreClient& store, const BootTime& clock, Events events);

    void start();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> readNewest();
    boost::asio::awaitable<bool> watchOnce();
    /// Reports a change of whether the store answers; `error` is used only if it does not.
    void updateReachability(bool isReachable, const Error* error);

    boost::asio::io_context& context_;
    UsersPlatform::StoreClient& store_;
    const BootTime& clock_;
    Events events_;
    /// The revision after which the next watch continues.
    std::uint64_t revision_ { 0 };
    /// True if the last call to the store succeeded, and before the first.
    bool isStoreReachable_ { true };
    bool isReadDue_ { true };
    int watchesSinceRead_ { 0 };
};

} // namespace Lagoonpick
