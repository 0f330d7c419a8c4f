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

} // namespace

EntryDirectory::EntryDirectory(boost::asio::io_context& context, UsersPlatform::StoreClient& store, const BootTime& clock, std::function<void()> changed, std::function<void(bool)> reached)
    : context_(context)
    , store_(store)
    , clock_(clock)
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
                listed_.record(item.value_, clock_.now());
            changed_();
        }
        pause.expires_after(round < firstLists ? firstListInterval : listInterval);
        co_await pause.async_wait(boost::asio::use_awaitable);
    }
}

} // namespace Lagoonpick
