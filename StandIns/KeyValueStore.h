#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonpick::StandIns {

/// The state of a key.
struct StoredKey {
    std::string value_;
    std::int64_t createRevision_ { 0 };
    std::int64_t modRevision_ { 0 };
    /// The lease that the key is deleted with; 0 if none.
    std::int64_t lease_ { 0 };
};

/// A change of a key, as reported to watches.
struct StoredChange {
    std::string key_;
    /// Empty if the key was deleted.
    std::optional<std::string> value_;
    std::int64_t revision_ { 0 };
};

/// The state of the stand-ins for key-value services: keys, leases and the whole history of changes. `now` is a time in
/// milliseconds of any monotonic clock.
class KeyValueStore {
public:
    std::int64_t revision() const { return revision_; }
    const std::map<std::string, StoredKey>& keys() const { return keys_; }
    const std::vector<StoredChange>& history() const { return history_; }

    /// Writes one key and returns the new revision.
    std::int64_t put(const std::string& key, std::string value, std::int64_t lease);

    /// Revision of the last write to a key; 0 if the key does not exist.
    std::int64_t modRevision(const std::string& key) const;

    /// Creates a lease and returns its id.
    std::int64_t grant(std::int64_t ttlMilliseconds, std::int64_t now);

    /// Renews a lease. Returns its time to live in milliseconds, or 0 if the lease does not exist (any more).
    std::int64_t keepAlive(std::int64_t lease, std::int64_t now);

    /// Ends a lease and deletes its keys.
    void revoke(std::int64_t lease);

    /// Ends the leases that have expired and deletes their keys.
    void expire(std::int64_t now);

    /// Deletes a key.
    void erase(const std::string& key);

private:
    struct Lease {
        std::int64_t ttlMilliseconds_;
        std::int64_t expiresAt_;
    };

    std::int64_t revision_ { 1 };
    std::int64_t lastLease_ { 1000 };
    std::map<std::string, StoredKey> keys_;
    std::map<std::int64_t, Lease> leases_;
    std::vector<StoredChange> history_;
};

} // namespace Lagoonpick::StandIns
