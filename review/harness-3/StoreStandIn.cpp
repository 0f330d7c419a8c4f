#include "StoreStandIn.h"

#include "Clock.h"

#include <boost/json.hpp>

namespace Review {

namespace json = boost::json;

namespace {

constexpr std::size_t maxPageItems = 500;
constexpr std::string_view keepPath = "/lagoonpick/kv-keep/";
constexpr std::string_view endPath = "/lagoonpick/kv-lease-end/";

std::string encodeBase64(const std::string& bytes)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63U] : '=';
    }
    return text;
}

std::int64_t numberOf(const std::map<std::string, std::string>& query, const std::string& name)
{
    auto found = query.find(name);
    return found == query.end() || found->second.empty() ? 0 : std::stoll(found->second);
}

std::string textOf(const std::map<std::string, std::string>& query, const std::string& name)
{
    auto found = query.find(name);
    return found == query.end() ? "" : found->second;
}

} // namespace

StoreStandIn::StoreStandIn(const Address& address)
    : server_(address, [this](const Request& request) { return handle(request); })
{
}

void StoreStandIn::put(const std::string& key, const std::string& value, std::int64_t lease)
{
    std::lock_guard lock(mutex_);
    putLocked(key, encodeBase64(value), lease);
}

void StoreStandIn::putLocked(const std::string& key, const std::string& encoded, std::int64_t lease)
{
    ++revision_;
    auto created = items_.contains(key) ? items_[key].created_ : revision_;
    Item item { key, encoded, revision_, created, lease, false };
    items_[key] = item;
    history_.push_back(item);
    changed_.notify_all();
}

void StoreStandIn::removeLocked(const std::string& key)
{
    if (!items_.erase(key))
        return;
    ++revision_;
    history_.push_back({ .key_ = key, .value_ = {}, .revision_ = revision_, .isRemoved_ = true });
    changed_.notify_all();
}

void StoreStandIn::endLease(std::int64_t id)
{
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
        if (item.lease_ == id)
            keys.push_back(key);
    }
    for (const auto& key : keys)
        removeLocked(key);
}

void StoreStandIn::expire()
{
    std::vector<std::int64_t> ended;
    for (const auto& [id, lease] : leases_) {
        if (lease.endsAt_ <= nowMs())
            ended.push_back(id);
    }
    for (auto id : ended)
        endLease(id);
}

Response StoreStandIn::handle(const Request& request)
{
    {
        std::lock_guard lock(mutex_);
        expire();
    }
    const std::string& path = request.path_;
    if (path == "/lagoonpick/kv-key")
        return readKey(textOf(request.query_, "key"));
    if (path == "/lagoonpick/kv-range")
        return readRange(request);
    if (path == "/lagoonpick/kv-watch")
        return watch(request);
    if (path == "/lagoonpick/kv-txn")
        return write(request);
    if (path == "/lagoonpick/kv-lease")
        return grant(request);
    if (path.starts_with(keepPath))
        return keep(std::stoll(path.substr(keepPath.size())));
    if (path.starts_with(endPath)) {
        std::lock_guard lock(mutex_);
        endLease(std::stoll(path.substr(endPath.size())));
        return {};
    }
    return { .status_ = 404 };
}

namespace {

template <typename Item>
json::object toJson(const Item& item)
{
    if (item.isRemoved_)
        return { { "key", item.key_ }, { "revision", item.revision_ }, { "removed", true } };
    return { { "key", item.key_ }, { "value", item.value_ }, { "revision", item.revision_ }, { "created", item.created_ }, { "lease", item.lease_ } };
}

} // namespace

Response StoreStandIn::readKey(const std::string& key)
{
    std::lock_guard lock(mutex_);
    auto found = items_.find(key);
    if (found == items_.end())
        return { .status_ = 404, .body_ = json::serialize(json::object { { "as_of", revision_ } }) };
    auto body = toJson(found->second);
    body["as_of"] = revision_;
    return { .body_ = json::serialize(body) };
}

Response StoreStandIn::readRange(const Request& request)
{
    std::lock_guard lock(mutex_);
    auto prefix = textOf(request.query_, "prefix");
    auto after = textOf(request.query_, "after");
    json::array items;
    bool hasMore = false;
    for (const auto& [key, item] : items_) {
        if (!key.starts_with(prefix) || key <= after)
            continue;
        hasMore = items.size() == maxPageItems;
        if (hasMore)
            break;
        items.push_back(toJson(item));
    }
    return { .body_ = json::serialize(json::object { { "items", items }, { "has_more", hasMore }, { "as_of", revision_ } }) };
}

Response StoreStandIn::watch(const Request& request)
{
    std::unique_lock lock(mutex_);
    auto prefix = textOf(request.query_, "prefix");
    auto after = numberOf(request.query_, "after");
    auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(numberOf(request.query_, "wait_ms"));
    json::array events;
    while (true) {
        for (const auto& item : history_) {
            if (item.revision_ > after && item.key_.starts_with(prefix))
                events.push_back(toJson(item));
        }
        if (!events.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout)
            break;
    }
    return { .body_ = json::serialize(json::object { { "events", events }, { "as_of", revision_ } }) };
}

Response StoreStandIn::write(const Request& request)
{
    std::lock_guard lock(mutex_);
    auto body = json::parse(request.body_).as_object();
    if (body.contains("expect")) {
        for (const auto& row : body["expect"].as_array()) {
            auto found = items_.find(std::string(row.at("key").as_string()));
            auto revision = found == items_.end() ? 0 : found->second.revision_;
            if (row.at("revision").to_number<std::int64_t>() != revision)
                return { .status_ = 412, .body_ = R"({"items":[]})" };
        }
    }
    if (body.contains("puts")) {
        for (const auto& row : body["puts"].as_array()) {
            const auto& put = row.as_object();
            auto lease = put.contains("lease") ? put.at("lease").to_number<std::int64_t>() : 0;
            if (lease && !leases_.contains(lease))
                return { .status_ = 404 };
            putLocked(std::string(put.at("key").as_string()), std::string(put.at("value").as_string()), lease);
        }
    }
    if (body.contains("deletes")) {
        for (const auto& key : body["deletes"].as_array())
            removeLocked(std::string(key.as_string()));
    }
    return { .body_ = json::serialize(json::object { { "revision", revision_ } }) };
}

Response StoreStandIn::grant(const Request& request)
{
    std::lock_guard lock(mutex_);
    auto ttl = json::parse(request.body_).at("ttl_ms").to_number<std::int64_t>();
    leases_[++lastLease_] = { ttl, nowMs() + ttl };
    return { .body_ = json::serialize(json::object { { "lease", lastLease_ }, { "ttl_ms", ttl } }) };
}

Response StoreStandIn::keep(std::int64_t id)
{
    std::lock_guard lock(mutex_);
    auto found = leases_.find(id);
    if (found == leases_.end())
        return { .status_ = 404 };
    found->second.endsAt_ = nowMs() + found->second.ttlMs_;
    return { .body_ = json::serialize(json::object { { "ttl_ms", found->second.ttlMs_ } }) };
}

} // namespace Review
