#include "JobEntry/EntryRegistration.h"

#include "Lagoonpick/Core/StoreKeys.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Lagoonpick {

namespace {

/// Outlasts a restart of the store. Agents detect by themselves that an entry has stopped, so the TTL need not be short.
constexpr Duration leaseTtl = std::chrono::seconds(10);
/// Several renewals fit into one lease. Also the longest time until the removal of the address is noticed.
constexpr Duration renewalInterval = std::chrono::milliseconds(1500);
/// The delay after a renewal or registration that failed.
constexpr Duration retryPause = std::chrono::milliseconds(300);

} // namespace

EntryRegistration::EntryRegistration(boost::asio::io_context& context, UsersPlatform::StoreClient& store, std::string name,
    std::string address, std::function<void(bool)> changed)
    : context_(context)
    , store_(store)
    , key_(std::string(entriesPrefix) + std::move(name))
    , address_(std::move(address))
    , changed_(std::move(changed))
{
}

void EntryRegistration::start()
{
    boost::asio::co_spawn(context_, run(), boost::asio::detached);
}

void EntryRegistration::stop()
{
    isStopped_ = true;
    boost::asio::co_spawn(context_, withdraw(), boost::asio::detached);
}

boost::asio::awaitable<void> EntryRegistration::run()
{
    boost::asio::steady_timer pause(context_);
    while (!isStopped_) {
        bool isGood = lease_.empty() ? co_await enroll() : co_await renew();
        if (isGood != isRegistered_) {
            isRegistered_ = isGood;
            changed_(isGood);
        }
        pause.expires_after(isGood ? renewalInterval : retryPause);
        co_await pause.async_wait(boost::asio::use_awaitable);
    }
}

boost::asio::awaitable<bool> EntryRegistration::enroll()
{
    auto lease = co_await store_.grantLease(leaseTtl);
    if (!lease)
        co_return false;
    auto written = co_await store_.put(key_, address_, lease.value());
    if (!written)
        co_return false;
    lease_ = lease.value();
    co_return true;
}

/// Also checks that the key exists, because a renewal can succeed although the key was removed.
boost::asio::awaitable<bool> EntryRegistration::renew()
{
    auto renewed = co_await store_.renewLease(lease_);
    if (!renewed) {
        if (renewed.error().code_ == ErrorCode::NotFound)
            lease_.clear();
        co_return false;
    }
    auto found = co_await store_.list(key_);
    if (found && found.value().empty())
        lease_.clear();
    co_return !lease_.empty();
}

boost::asio::awaitable<void> EntryRegistration::withdraw()
{
    if (lease_.empty())
        co_return;
    auto ended = co_await store_.endLease(std::exchange(lease_, {}));
    // After a failed call the lease expires at the end of its TTL.
    changed_(!ended);
}

} // namespace Lagoonpick
