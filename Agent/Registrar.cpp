#include "Agent/Registrar.h"

#include "Lagoonpick/Observability/Log.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>

namespace Lagoonpick {

namespace asio = boost::asio;

namespace {

constexpr Duration retryDelay = std::chrono::milliseconds(300);

const PlatformItem* findKey(const PlatformRange& range, const std::string& key)
{
    auto found = std::find_if(range.items_.begin(), range.items_.end(), [&](const PlatformItem& item) { return item.key_ == key; });
    return found == range.items_.end() ? nullptr : &*found;
}

/// The fenced entries in the entries' table; nothing if the table is malformed.
std::optional<std::vector<Incarnation>> decodeFenced(const PlatformRange& range)
{
    PlatformView view;
    for (const auto& item : range.items_) {
        if (!view.apply(item.key_, item.value_, item.revision_))
            return std::nullopt;
    }
    std::vector<Incarnation> fenced;
    for (const auto& entry : view.membership_.fenced_)
        fenced.push_back(entry.incarnation_);
    return fenced;
}

} // namespace

Registrar::Registrar(asio::io_context& context, PlatformClient& client, Registration registration)
    : context_(context)
    , client_(client)
    , registration_(std::move(registration))
    , key_(PlatformKeys::targets + registration_.target_)
{
}

asio::awaitable<Outcome<PlatformRange>> Registrar::readOwnRange()
{
    co_return co_await client_.range(key_);
}

asio::awaitable<bool> Registrar::tryWrite()
{
    auto range = co_await readOwnRange();
    if (!range)
        co_return false;
    const PlatformItem* item = findKey(range.value(), key_);
    if (item) {
        auto previous = readRegistration(item->value_.value_or(""));
        bool isOwn = previous && previous.value().agent_ == registration_.agent_ && previous.value().hasLeft_ == registration_.hasLeft_;
        // An earlier attempt took effect, though its response was lost.
        if (isOwn) {
            registration_ = previous.value();
            co_return true;
        }
        // The ledger behind the registration that this one replaces is lost.
        registration_.ledgerLostAt_ = registration_.registeredAt_;
        registration_.generation_ = previous ? previous.value().generation_ + 1 : registration_.generation_ + 1;
    }
    CompareAndSwap swap { key_, item ? item->revision_ : 0, writeRegistration(registration_) };
    WriteOutcome outcome = co_await client_.compareAndSwap(std::move(swap));
    co_return outcome == WriteOutcome::Written;
}

asio::awaitable<void> Registrar::waitBeforeRetry()
{
    asio::steady_timer timer(context_, retryDelay);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<std::vector<Incarnation>> Registrar::readFenced()
{
    while (true) {
        auto range = co_await client_.range(PlatformKeys::membership);
        auto fenced = range ? decodeFenced(range.value()) : std::nullopt;
        if (fenced)
            co_return std::move(*fenced);
        // Without the list, starts of a fenced entry would be accepted.
        if (range)
            Log::error("the entries' table is malformed; this agent does not join before its fence list can be read");
        co_await waitBeforeRetry();
    }
}

asio::awaitable<std::vector<Incarnation>> Registrar::enroll(std::function<Time()> now)
{
    registration_.registeredAt_ = now();
    while (!co_await tryWrite()) {
        co_await waitBeforeRetry();
        registration_.registeredAt_ = now();
    }
    co_return co_await readFenced();
}

asio::awaitable<void> Registrar::withdraw(Time now)
{
    registration_.hasLeft_ = true;
    registration_.registeredAt_ = now;
    bool isWritten = co_await tryWrite();
    if (!isWritten)
        Log::warning("could not record on the platform that this agent has left");
}

} // namespace Lagoonpick
