#include "JobEntry/OperatorWatch.h"

#include "Lagoonpick/Transport/Spawn.h"
#include "platform/ConfigurationCodec.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Lagoonpick {

namespace {

/// How long one watch waits for a change: half of the time within which a change must be in force.
constexpr Duration watchWait = std::chrono::milliseconds(1000);
/// The delay after a call that failed, or a read that found no configuration.
constexpr Duration retryDelay = std::chrono::milliseconds(100);
/// The number of watches after which everything is read, because a watch may miss a change.
constexpr int watchesPerRead = 2;

} // namespace

OperatorWatch::OperatorWatch(boost::asio::io_context& context, UsersPlatform::StoreClient& store, const BootTime& clock, Events events)
    : context_(context)
    , store_(store)
    , clock_(clock)
    , events_(std::move(events))
{
}

void OperatorWatch::start()
{
    spawn(context_, run(), "watch of the operators' keys");
}

boost::asio::awaitable<void> OperatorWatch::run()
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

boost::asio::awaitable<bool> OperatorWatch::readNewest()
{
    const Time sentAt = clock_.now();
    auto result = co_await store_.readRange(std::string(UsersPlatform::operatorPrefix));
    updateReachability(result.has_value(), result ? nullptr : &result.error());
    if (!result)
        co_return false;
    watchesSinceRead_ = 0;
    const auto& range = result.value();
    events_.onZonesRead_(UsersPlatform::decodeEvacuations(range));
    auto configuration = std::find_if(range.items_.begin(), range.items_.end(), [](const auto& item) { return item.key_ == UsersPlatform::configurationKey; });
    if (configuration == range.items_.end()) {
        bool isThere = std::find(range.keys_.begin(), range.keys_.end(), UsersPlatform::configurationKey) != range.keys_.end();
        if (isThere)
            events_.onConfigurationUnreadable_();
        co_return false;
    }
    revision_ = range.revision_;
    events_.onConfigurationChanged_(configuration->value_);
    events_.onConfigurationConfirmed_(sentAt);
    isReadDue_ = false;
    co_return true;
}

boost::asio::awaitable<bool> OperatorWatch::watchOnce()
{
    auto result = co_await store_.watch(std::string(UsersPlatform::operatorPrefix), revision_, watchWait);
    updateReachability(result.has_value(), result ? nullptr : &result.error());
    if (!result)
        co_return false;
    for (const auto& item : result.value().items_) {
        if (item.key_ == UsersPlatform::configurationKey)
            events_.onConfigurationChanged_(item.value_);
    }
    revision_ = result.value().revision_;
    // A set of zones built from events would be wrong after a lost one, so that a change of a zone only causes a read.
    bool hasZoneChanged = std::any_of(result.value().changedKeys_.begin(), result.value().changedKeys_.end(), [](const auto& key) { return key.starts_with(UsersPlatform::evacuationPrefix); });
    isReadDue_ = ++watchesSinceRead_ >= watchesPerRead || hasZoneChanged;
    co_return true;
}

void OperatorWatch::updateReachability(bool isReachable, const Error* error)
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
