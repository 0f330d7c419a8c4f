#include "StandIns/KeyValueStore.h"

namespace Lagoonpick::StandIns {

std::int64_t KeyValueStore::put(const std::string& key, std::string value, std::int64_t lease)
{
    ++revision_;
    StoredKey& stored = keys_[key];
    if (!stored.createRevision_)
        stored.createRevision_ = revision_;
    stored.modRevision_ = revision_;
    stored.lease_ = lease;
    stored.value_ = value;
    history_.push_back({ key, std::move(value), revision_ });
    return revision_;
}

std::int64_t KeyValueStore::modRevision(const std::string& key) const
{
    auto found = keys_.find(key);
    return found == keys_.end() ? 0 : found->second.modRevision_;
}

std::int64_t KeyValueStore::grant(std::int64_t ttlMilliseconds, std::int64_t now)
{
    leases_[++lastLease_] = { ttlMilliseconds, now + ttlMilliseconds };
    return lastLease_;
}

std::int64_t KeyValueStore::keepAlive(std::int64_t lease, std::int64_t now)
{
    auto found = leases_.find(lease);
    if (found == leases_.end())
        return 0;
    found->second.expiresAt_ = now + found->second.ttlMilliseconds_;
    return found->second.ttlMilliseconds_;
}

void KeyValueStore::revoke(std::int64_t lease)
{
    leases_.erase(lease);
    std::vector<std::string> leasedKeys;
    for (const auto& [key, stored] : keys_) {
        if (stored.lease_ == lease)
            leasedKeys.push_back(key);
    }
    for (const auto& key : leasedKeys)
        erase(key);
}

void KeyValueStore::expire(std::int64_t now)
{
    std::vector<std::int64_t> expired;
    for (const auto& [id, lease] : leases_) {
        if (lease.expiresAt_ <= now)
            expired.push_back(id);
    }
    for (auto id : expired)
        revoke(id);
}

void KeyValueStore::erase(const std::string& key)
{
    keys_.erase(key);
    history_.push_back({ key, std::nullopt, ++revision_ });
}

} // namespace Lagoonpick::StandIns
