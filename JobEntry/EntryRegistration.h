#pragma once

#include "platform/StoreClient.h"

#include <functional>

namespace Lagoonpick {

/// Keeps an entry's address in the platform's store, under a lease, for agents to find.
class EntryRegistration {
public:
    EntryRegistration(boost::asio::io_context& context, UsersPlatform::StoreClient& store, std::string name, std::string address,
        std::function<void(bool isRegistered)> changed);

    void start();
    /// Takes the address away, so that agents stop looking for it.
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
    std::function<void(bool)> changed_;
    std::string lease_;
    bool isRegistered_ { false };
    bool isStopped_ { false };
};

} // namespace Lagoonpick
