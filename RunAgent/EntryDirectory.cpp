#include "RunAgent/EntryDirectory.h"

#include "Lagoonpick/Core/StoreKeys.h"
#include "Lagoonpick/Transport/Spawn.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Lagoonpick {

namespace {

/// Half of the 2 s within which a lost address must be restored.
constexpr Duration listInterval = std::chrono::milliseconds(1000);
/// The interval of the first lists, so that entries which start at the same time are found quickly.
constexpr Duration fastListInterval = std::chrono::milliseconds(200);
constexpr int fastListCount = 15;
/// Limits the memory and the log lines that another writer's keys can take.
constexpr std::size_t maxUnreadableKeys = 100;

} // namespace

EntryDirectory::EntryDirectory(boost::asio::io_context& context, UsersPlatform::StoreClient& store, const BootTime& clock, Events events)
    : context_(context)
    , store_(store)
    , clock_(clock)
    , events_(std::move(events))
{
}

void EntryDirectory::start()
{
    spawn(context_, run(), "list of the entries");
}

boost::asio::awaitable<void> EntryDirectory::run()
{
    boost::asio::steady_timer timer(context_);
    for (int round = 0;; ++round) {
        auto items = co_await store_.list(std::string(entriesPrefix));
        if (items.has_value() != isStoreReachable_) {
            isStoreReachable_ = items.has_value();
            events_.onReachabilityChanged_(isStoreReachable_);
        }
        if (items) {
            for (const auto& item : items.value())
                record(item);
            events_.onChanged_();
        }
        timer.expires_after(round < fastListCount ? fastListInterval : listInterval);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

void EntryDirectory::record(const UsersPlatform::StoredItem& item)
{
    if (knownAddresses_.record(item.value_, clock_.now()))
        return;
    if (unreadableKeys_.size() < maxUnreadableKeys && unreadableKeys_.insert(item.key_).second)
        events_.onUnreadable_(item.key_);
}

} // namespace Lagoonpick
