#include "JobEntry/ConfigurationWatch.h"

#include "Lagoonpick/Transport/Spawn.h"
#include "platform/ConfigurationCodec.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Lagoonpick {

namespace {

/// How long one watch waits for a change: half of the time within which a change must be in force.
constexpr Duration watchWait = std::chrono::milliseconds(1000);
/// The delay after a call that failed, or a read that found no configuration.
constexpr Duration retryDelay = std::chrono::milliseconds(100);
/// The number of watches after which the configuration is read, because a watch may miss a change.
constexpr int watchesPerRead = 2;

} // namespace

ConfigurationWatch::ConfigurationWatch(boost::asio::io_context& context, UsersPlatform::StoreClient& store, const BootTime& clock, Events events)
    : context_(context)
    , store_(store)
    , clock_(clock)
    , events_(std::move(events))
{
}

void ConfigurationWatch::start()
{
    spawn(context_, run(), "watch of the configuration");
}

boost::asio::awaitable<void> ConfigurationWatch::run()
{
    boost::asio::steady_timer timer(context_);
    while (true) {
        bool hasSucceeded = isReadDue_ ? co_await readNewest() : co_await watchOnce();
        if (hasSucceeded)
            continue;
        isReadDue_ = true;
        timer.expires_after(retryDelay);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

boost::asio::awaitable<bool> ConfigurationWatch::readNewest()
{
    const Time sentAt = clock_.now();
    auto result = co_await store_.read(std::string(UsersPlatform::configurationKey));
    updateReachability(result.has_value(), result ? nullptr : &result.error());
    if (!result)
        co_return false;
    watchesSinceRead_ = 0;
    const auto& read = result.value();
    if (!read.item_)
        co_return false;
    revision_ = std::max(read.revision_, read.item_->revision_);
    events_.onChanged_(read.item_->value_);
    events_.onConfirmed_(sentAt);
    isReadDue_ = false;
    co_return true;
}

boost::asio::awaitable<bool> ConfigurationWatch::watchOnce()
{
    auto result = co_await store_.watch(std::string(UsersPlatform::configurationKey), revision_, watchWait);
    updateReachability(result.has_value(), result ? nullptr : &result.error());
    if (!result)
        co_return false;
    for (const auto& item : result.value().items_) {
        if (item.key_ == UsersPlatform::configurationKey)
            events_.onChanged_(item.value_);
    }
    revision_ = result.value().revision_;
    isReadDue_ = ++watchesSinceRead_ >= watchesPerRead;
    co_return true;
}

void ConfigurationWatch::updateReachability(bool isReachable, const Error* error)
{
    if (isReachable == isStoreReachable_)
        return;
    isStoreReachable_ = isReachable;
    if (isReachable)
        events_.onStoreRegained_();
    else
        events_.onStoreLost_(*error);
}

} // namespace Lagoonpick
