#pragma once

#include "Lagoonpick/Core/BootTime.h"
#include "Lagoonpick/Run/AddressTable.h"
#include "platform/StoreClient.h"

#include <functional>

namespace Lagoonpick {

/// The addresses of the entries that the platform's store lists. An address that it no longer lists is kept for a while,
/// for the store may have lost it although its entry lives.
class EntryDirectory {
public:
    EntryDirectory(boost::asio::io_context& context, UsersPlatform::StoreClient& store, const BootTime& clock, std::function<void()> changed, std::function<void(bool isReached)> reached);

    void start();

    std::vector<std::string> addresses(Time now) const { return listed_.addresses(now); }

private:
    boost::asio::awaitable<void> run();

    boost::asio::io_context& context_;
    UsersPlatform::StoreClient& store_;
    const BootTime& clock_;
    std::function<void()> changed_;
    std::function<void(bool)> reached_;
    bool isReached_ { true };
    AddressTable listed_;
};

} // namespace Lagoonpick
