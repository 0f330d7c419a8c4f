#pragma once

#include "platform/StoreClient.h"

#include <functional>

namespace Lagoonpick {

/// Keeps an entry's address in the platform's store, under a lease, where agents look it up.
///
/// Used from one thread only: the one that runs its `io_context`.
class EntryRegistration {
public:
    /// `onChanged` is called when the entry becomes registered, when it no longer is, and once the lease was ended after `stop`.
    EntryRegistration(boost::asio::io_context& context, UsersPlatform::StoreClient& store, std::string name, std::string address,
        std::function<void(bool isRegistered)> onChanged);

    void start();
    /// Ends the lease, which removes the address, so that agents stop connecting to it.
    void stop();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> enroll();
    boost::asio::awaitable<bool> renew();
    boost::asio::awaitable<void> withdraw();

    boost::asio::io_context& context_;
    UsersPlatform::StoreClient& store_;
    std::string key_;
    std::string address_;
    std::function<void(bool)> onChanged_;
    /// Empty while the entry is not registered.
    std::string leaseId_;
    bool isRegistered_ { false };
    bool isStopped_ { false };
};

} // namespace Lagoonpick
