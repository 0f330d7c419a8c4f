#include "RunAgent/TargetKeeper.h"

#include "Lagoonpick/Core/StoreKeys.h"
#include "RunAgent/TargetRecord.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Lagoonpick {

TargetKeeper::TargetKeeper(boost::asio::io_context& context, UsersPlatform::StoreClient& store, const std::string& agent)
    : context_(context)
    , store_(store)
    , key_(std::string(targetsPrefix) + agent)
{
}

void TargetKeeper::restore(std::function<void(const TargetHeartbeat&)> found)
{
    boost::asio::co_spawn(context_, read(std::move(found)), boost::asio::detached);
}

void TargetKeeper::keep(const TargetHeartbeat& heartbeat, std::function<void(bool)> kept)
{
    auto record = encodeTargetRecord(heartbeat);
    if (record == written_) {
        kept(true);
        return;
    }
    boost::asio::co_spawn(context_, write(std::move(record), std::move(kept)), boost::asio::detached);
}

boost::asio::awaitable<void> TargetKeeper::read(std::function<void(const TargetHeartbeat&)> found)
{
    auto result = co_await store_.read(key_);
    if (!result || !result.value().item_ || !written_.empty())
        co_return;
    // A record that can't be decoded is ignored: the target's next heartbeat has everything that the agent needs.
    auto heartbeat = decodeTargetRecord(result.value().item_->value_);
    if (!heartbeat)
        co_return;
    written_ = result.value().item_->value_;
    found(heartbeat.value());
}

boost::asio::awaitable<void> TargetKeeper::write(std::string record, std::function<void(bool)> kept)
{
    auto result = co_await store_.put(key_, record, {});
    if (result)
        written_ = std::move(record);
    kept(result.has_value());
}

} // namespace Lagoonpick
