#include "RunAgent/TargetRecordStore.h"

#include "Lagoonpick/Core/StoreKeys.h"
#include "Lagoonpick/Transport/Spawn.h"
#include "RunAgent/TargetRecord.h"

#include <utility>

namespace Lagoonpick {

TargetRecordStore::TargetRecordStore(boost::asio::io_context& context, UsersPlatform::StoreClient& store, const std::string& agent)
    : context_(context)
    , store_(store)
    , key_(std::string(targetsPrefix) + agent)
{
}

void TargetRecordStore::restore(std::function<void(const TargetHeartbeat&)> onRestored)
{
    spawn(context_, read(std::move(onRestored)), "read of the target's record");
}

void TargetRecordStore::save(const TargetHeartbeat& heartbeat, std::function<void(bool)> onSaved)
{
    auto record = encodeTargetRecord(heartbeat);
    if (!isWriting_ && record == storedRecord_) {
        onSaved(true);
        return;
    }
    wantedRecord_ = std::move(record);
    waiting_.push_back(std::move(onSaved));
    if (!std::exchange(isWriting_, true))
        spawn(context_, writeWhileWanted(), "write of the target's record");
}

boost::asio::awaitable<void> TargetRecordStore::read(std::function<void(const TargetHeartbeat&)> onRestored)
{
    auto result = co_await store_.read(key_);
    if (!result || !result.value().item_ || hasWritten_)
        co_return;
    // A record that can't be decoded is ignored: the target's next heartbeat has everything that the agent needs.
    auto heartbeat = decodeTargetRecord(result.value().item_->value_);
    if (!heartbeat)
        co_return;
    storedRecord_ = result.value().item_->value_;
    onRestored(heartbeat.value());
}

boost::asio::awaitable<void> TargetRecordStore::writeWhileWanted()
{
    hasWritten_ = true;
    while (!waiting_.empty()) {
        auto saves = std::exchange(waiting_, {});
        std::string record = wantedRecord_;
        auto result = co_await store_.put(key_, record, {});
        // A write without an answer may have been carried out.
        storedRecord_ = result ? std::move(record) : std::string();
        for (const auto& onSaved : saves)
            onSaved(result.has_value());
    }
    isWriting_ = false;
}

} // namespace Lagoonpick
