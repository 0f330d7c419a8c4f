#pragma once

#include "Http.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <vector>

namespace Review {

/// A sound store of the platform: keeps everything, answers at once.
class StoreStandIn {
public:
    explicit StoreStandIn(const Address& address);
    bool isListening() const { return server_.isListening(); }

    /// Writes an item as the operator does.
    void put(const std::string& key, const std::string& value, std::int64_t lease = 0);

private:
    struct Item {
        std::string key_;
        /// As base64 text; empty for a removal.
        std::string value_;
        std::int64_t revision_ { 0 };
        std::int64_t created_ { 0 };
        std::int64_t lease_ { 0 };
        bool isRemoved_ { false };
    };
    struct Lease {
        std::int64_t ttlMs_ { 0 };
        std::int64_t endsAt_ { 0 };
    };

    Response handle(const Request& request);
    Response readKey(const std::string& key);
    Response readRange(const Request& request);
    Response watch(const Request& request);
    Response write(const Request& request);
    Response grant(const Request& request);
    Response keep(std::int64_t id);
    void putLocked(const std::string& key, const std::string& encoded, std::int64_t lease);
    void removeLocked(const std::string& key);
    void endLease(std::int64_t id);
    void expire();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::vector<Item> history_;
    std::map<std::int64_t, Lease> leases_;
    std::int64_t revision_ { 1 };
    std::int64_t lastLease_ { 0 };
    HttpServer server_;
};

} // namespace Review
