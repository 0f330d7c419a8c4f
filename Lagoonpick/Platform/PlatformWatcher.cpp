#include "Lagoonpick/Platform/PlatformWatcher.h"

#include "Lagoonpick/Observability/Log.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Lagoonpick {

namespace asio = boost::asio;

namespace {

constexpr Duration minRetryDelay = std::chrono::milliseconds(100);
constexpr Duration maxRetryDelay = std::chrono::milliseconds(500);

} // namespace

PlatformWatcher::PlatformWatcher(asio::io_context& context, PlatformClient& client, std::uint64_t seed, OnChange onChange)
    : context_(context)
    , client_(client)
    , random_(seed)
    , onChange_(std::move(onChange))
    , view_(std::make_shared<PlatformView>())
{
}

asio::awaitable<void> PlatformWatcher::run()
{
    while (!isStopped_) {
        if (co_await readView())
            co_await followChanges();
        onChange_(view_, false);
        co_await waitBeforeRetry();
    }
}

asio::awaitable<bool> PlatformWatcher::readView()
{
    auto range = co_await client_.range(PlatformKeys::prefix);
    // A service that responds with an older revision than the view's has stale data and must not be followed.
    if (!range || range.value().revision_ < view_->revision_)
        co_return false;
    PlatformView view;
    apply(view, range.value().items_);
    view.revision_ = range.value().revision_;
    publish(std::move(view), false);
    co_return true;
}

asio::awaitable<void> PlatformWatcher::followChanges()
{
    auto onOpen = [this] { onChange_(view_, true); };
    auto onChange = [this](const std::vector<PlatformItem>& items, std::int64_t) {
        PlatformView view = *view_;
        apply(view, items);
        publish(std::move(view), true);
    };
    co_await client_.watch(PlatformKeys::prefix, view_->revision_ + 1, onOpen, onChange);
}

void PlatformWatcher::apply(PlatformView& view, const std::vector<PlatformItem>& items)
{
    for (const auto& item : items) {
        auto applied = view.apply(item.key_, item.value_, item.revision_);
        if (!applied)
            Log::warning("malformed value of key " + item.key_ + ": " + applied.error().message_);
    }
}

void PlatformWatcher::publish(PlatformView view, bool isFresh)
{
    view_ = std::make_shared<const PlatformView>(std::move(view));
    onChange_(view_, isFresh);
}

asio::awaitable<void> PlatformWatcher::waitBeforeRetry()
{
    std::uniform_int_distribution<Duration::rep> delayDistribution(minRetryDelay.count(), maxRetryDelay.count());
    asio::steady_timer timer(context_, Duration(delayDistribution(random_)));
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace Lagoonpick
