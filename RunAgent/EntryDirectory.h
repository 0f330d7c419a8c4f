#pragma once

#include "Lagoonpick/Core/BootTime.h"
#include "Lagoonpick/Run/AddressTable.h"
#include "platform/StoreClient.h"

#include <functional>
#include <set>

namespace Lagoonpick {

/// The addresses of the entries that the platform's store lists. An address that the store no longer lists is kept for a
/// while, because the store may have lost it although the entry still runs.
///
/// Used from one thread only: the one that runs its `io_context`.
class EntryDirectory {
public:
    struct Events {
        /// Called after each successful list.
        std::function<void()> onChanged_;
        /// Called when the store becomes or stops being reachable.
        std::function<void(bool isReachable)> onReachabilityChanged_;
        /// Called once for a key whose value is no address: another program wrote it. It is left out.
        std::function<void(const std::string& key)> onUnreadable_;
    };

    EntryDirectory(boost::asio::io_context& context, UsersPlatform::StoreClient& store, const BootTime& clock, Events events);

    void start();

    std::vector<std::string> addresses(Time now) const { return knownAddresses_.addresses(now); }

private:
    boost::asio::awaitable<void> run();
    void record(const UsersPlatform::StoredItem& item);

    boost::asio::io_context& context_;
    UsersPlatform::StoreClient& store_;
    const BootTime& clock_;
    Events events_;
    bool isStoreReachable_ { true };
    /// The keys that were reported as unreadable.
    std::set<std::string> unreadableKeys_;
    AddressTable knownAddresses_;
};

} // namespace Lagoonpick
