#pragma once

#include "Lagoonpick/Core/BootTime.h"
#include "Lagoonpick/Run/AddressTable.h"
#include "platform/StoreClient.h"

#include <functional>

namespace Lagoonpick {

/// The addresses of the entries that the platform's store lists. An address that the store no longer lists is kept for a
/// while, because the store may have lost it although the entry still runs.
///
/// Used from one thread only: the one that runs its `io_context`.
class EntryDirectory {
public:
    /// `onChanged` is called after each successful list; `onReachabilityChanged` when the store becomes or stops being reachable.
    EntryDirectory(boost::asio::io_context& context, UsersPlatform::StoreClient& store, const BootTime& clock, std::function<void()> onChanged, std::function<void(bool isReachable)> onReachabilityChanged);

    void start();

    std::vector<std::string> addresses(Time now) const { return knownAddresses_.addresses(now); }

private:
    boost::asio::awaitable<void> run();

    boost::asio::io_context& context_;
    UsersPlatform::StoreClient& store_;
    const BootTime& clock_;
    std::function<void()> onChanged_;
    std::function<void(bool)> onReachabilityChanged_;
    bool isStoreReachable_ { true };
    AddressTable knownAddresses_;
};

} // namespace Lagoonpick
