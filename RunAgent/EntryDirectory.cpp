#include "RunAgent/EntryDirectory.h"

#include "Lagoonpick/Core/StoreKeys.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Lagoonpick {

namespace {

/// Half of the time in which an address that was lost has to be back.
constexpr Duration listInterval = std::chrono::milliseconds(1000);
/// While everything starts, entries are listed as soon as they are there.
constexpr Duration firstListInterval = std::chrono::milliseconds(200);
constexpr int firstLists = 15;
/// How long an address that is no longer listed is still tried.
constexpr auto addressLifetime = std::chrono::seconds(60);

} // namespace

EntryDirectory::EntryDirectory(boost::asio::io_context& context, UsersPlatform::StoreClient& store, std::function<void()> changed, std::function<void(bool)> reached)
    : context_(context)
    , store_(store)
    , changed_(std::move(changed))
    , reached_(std::move(reached))
{
}

void EntryDirectory::start()
{
    boost::asio::co_spawn(context_, run(), boost::asio::detached);
}

boost::asio::awaitable<void> EntryDirectory::run()
{
    boost::asio::steady_timer pause(context_);
    for (int round = 0;; ++round) {
        auto items = co_await store_.list(std::string(entriesPrefix));
        if (items.has_value() != isReached_) {
            isReached_ = items.has_value();
            reached_(isReached_);
        }
        if (items) {
            for (const auto& item : items.value())
                note(item.value_);
            forgetOld();
            changed_();
        }
        pause.expires_after(round < firstLists ? firstListInterval : listInterval);
        co_await pause.async_wait(boost::asio::use_awaitable);
    }
}

void EntryDirectory::add(const std::set<std::string>& addresses)
{
    for (const auto& address : addresses)
        note(address);
}

std::vector<std::string> EntryDirectory::addresses() const
{
    std::vector<std::string> all;
    for (const auto& [address, seenAt] : seenAt_)
        all.push_back(address);
    return all;
}

void EntryDirectory::note(const std::string& address)
{
    seenAt_[address] = std::chrono::steady_clock::now();
}

void EntryDirectory::forgetOld()
{
    auto limit = std::chrono::steady_clock::now() - addressLifetime;
    std::erase_if(seenAt_, [limit](const auto& entry) { return entry.second < limit; });
}

} // namespace Lagoonpick
