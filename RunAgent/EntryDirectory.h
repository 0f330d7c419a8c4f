#pragma once

#include "platform/StoreClient.h"

#include <functional>
#include <map>
#include <set>

namespace Lagoonpick {

/// The addresses of the entries, from the platform's store and from what others tell. An address that the store no
/// longer lists is kept for a while, for the store may have lost it although its entry lives.
class EntryDirectory {
public:
    EntryDirectory(boost::asio::io_context& context, UsersPlatform::StoreClient& store, std::function<void()> changed, std::function<void(bool isReached)> reached);

    void start();

    /// Takes in addresses from elsewhere.
    void add(const std::set<std::string>& addresses);

    std::vector<std::string> addresses() const;

private:
    boost::asio::awaitable<void> run();
    void note(const std::string& address);
    void forgetOld();

    boost::asio::io_context& context_;
    UsersPlatform::StoreClient& store_;
    std::function<void()> changed_;
    std::function<void(bool)> reached_;
    bool isReached_ { true };
    /// When each address was last listed or told.
    std::map<std::string, std::chrono::steady_clock::time_point> seenAt_;
};

} // namespace Lagoonpick
