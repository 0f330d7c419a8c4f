#include "Entry/LeaseManager.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Lagoonpick {

namespace asio = boost::asio;

namespace {

constexpr int renewalsPerTtl = 3;
constexpr Duration retryDelay = std::chrono::milliseconds(300);

} // namespace

LeaseManager::LeaseManager(asio::io_context& context, PlatformClient& client, std::string key, std::string value, Duration ttl)
    : context_(context)
    , client_(client)
    , key_(std::move(key))
    , value_(std::move(value))
    , ttl_(ttl)
{
}

asio::awaitable<void> LeaseManager::acquire()
{
    auto lease = co_await client_.grantLease(ttl_);
    if (!lease)
        co_return;
    auto written = co_await client_.put(key_, value_, lease.value());
    if (written)
        lease_ = lease.value();
}

asio::awaitable<void> LeaseManager::run()
{
    asio::steady_timer timer(context_);
    while (!isStopped_) {
        Duration pause = ttl_ / renewalsPerTtl;
        if (lease_ == LeaseId::None) {
            co_await acquire();
        } else {
            auto renewed = co_await client_.keepAlive(lease_);
            bool hasLapsed = !renewed && renewed.error().code_ == ErrorCode::NotFound;
            if (hasLapsed)
                lease_ = LeaseId::None;
            if (!renewed)
                pause = retryDelay;
        }
        if (lease_ == LeaseId::None)
            pause = retryDelay;
        timer.expires_after(pause);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> LeaseManager::stop()
{
    isStopped_ = true;
    if (lease_ == LeaseId::None)
        co_return;
    auto ignored = co_await client_.revoke(std::exchange(lease_, LeaseId::None));
    (void)ignored;
}

} // namespace Lagoonpick
