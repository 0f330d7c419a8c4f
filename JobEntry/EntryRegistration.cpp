#include "JobEntry/EntryRegistration.h"

#include "Lagoonpick/Core/StoreKeys.h"
#include "Lagoonpick/Transport/Spawn.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Lagoonpick {

namespace {

/// Outlasts a restart of the store. Agents detect by themselves that an entry has stopped, so the TTL need not be short.
constexpr Duration leaseTtl = std::chrono::seconds(10);
/// Several renewals fit into one lease. A removed address is noticed at the next renewal, so apart from `retryDelay` and the
/// calls, this is also the longest time that it is missing.
constexpr Duration renewalInterval = std::chrono::milliseconds(1500);
/// The delay after a renewal or registration that failed.
constexpr Duration retryDelay = std::chrono::milliseconds(300);

} // namespace

EntryRegistration::EntryRegistration(boost::asio::io_context& context, UsersPlatform::StoreClient& store, std::string name,
    std::string address, std::function<void(bool)> onChanged)
    : context_(context)
    , store_(store)
    , key_(std::string(entriesPrefix) + std::move(name))
    , address_(std::move(address))
    , onChanged_(std::move(onChanged))
{
}

void EntryRegistration::start()
{
    spawn(context_, run(), "registration");
}

void EntryRegistration::stop()
{
    isStopped_ = true;
    spawn(context_, withdraw(), "end of the registration");
}

boost::asio::awaitable<void> EntryRegistration::run()
{
    boost::asio::steady_timer timer(context_);
    while (!isStopped_) {
        bool hasSucceeded = leaseId_.empty() ? co_await enroll() : co_await renew();
        if (hasSucceeded != isRegistered_) {
            isRegistered_ = hasSucceeded;
            onChanged_(hasSucceeded);
        }
        timer.expires_after(hasSucceeded ? renewalInterval : retryDelay);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

boost::asio::awaitable<bool> EntryRegistration::enroll()
{
    auto leaseId = co_await store_.grantLease(leaseTtl);
    if (!leaseId)
        co_return false;
    auto written = co_await store_.put(key_, address_, leaseId.value());
    if (!written)
        co_return false;
    leaseId_ = leaseId.value();
    co_return true;
}

/// Also checks that the key exists and holds this entry's address, because a renewal can succeed although the key was removed, or
/// taken by an entry of the same name on another instance.
boost::asio::awaitable<bool> EntryRegistration::renew()
{
    auto renewed = co_await store_.renewLease(leaseId_);
    if (!renewed) {
        if (renewed.error().code_ == ErrorCode::NotFound)
            leaseId_.clear();
        co_return false;
    }
    auto listed = co_await store_.list(key_);
    // The list also holds the entries whose names begin with this one's.
    auto isOwn = [this](const auto& item) { return item.key_ == key_ && item.value_ == address_; };
    if (listed && std::none_of(listed.value().begin(), listed.value().end(), isOwn))
        leaseId_.clear();
    co_return !leaseId_.empty();
}

boost::asio::awaitable<void> EntryRegistration::withdraw()
{
    if (leaseId_.empty())
        co_return;
    auto ended = co_await store_.endLease(std::exchange(leaseId_, {}));
    // After a failed call the lease expires at the end of its TTL.
    onChanged_(!ended);
}

} // namespace Lagoonpick
