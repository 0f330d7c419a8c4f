#pragma once

#include "platform/StoreClient.h"

#include <functional>

namespace Lagoonpick {

/// Follows the operators' configuration in the platform's store: a waiting watch, and a read whenever its history is
/// gone, it fails, or nothing proved for a while that it still brings what changes.
class ConfigurationWatch {
public:
    struct Events {
        std::function<void(const std::string& text)> changed_;
        /// What is in force was found to be the newest.
        std::function<void()> confirmed_;
        std::function<void(const Error&)> lost_;
        std::function<void()> regained_;
    };

    ConfigurationWatch(boost::asio::io_context& context, UsersPlatform::StoreClient& store, Events events);

    void start();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> readNewest();
    boost::asio::awaitable<bool> watchOnce();
    void note(bool isReached, const Error* error);

    boost::asio::io_context& context_;
    UsersPlatform::StoreClient& store_;
    Events events_;
    std::uint64_t revision_ { 0 };
    bool isReached_ { true };
    bool mustRead_ { true };
    int watchesSinceRead_ { 0 };
};

} // namespace Lagoonpick
