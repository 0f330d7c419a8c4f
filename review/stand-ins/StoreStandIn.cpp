#include "review/stand-ins/StoreStandIn.h"

#include <websocketpp/base64/base64.hpp>

namespace Lagoonpick::Review {

namespace json = boost::json;

namespace {

constexpr auto tickInterval = std::chrono::milliseconds(20);
constexpr std::size_t maxRangeItems = 500;
constexpr std::string_view keepPath = "/lagoonpick/kv-keep/";
constexpr std::string_view endPath = "/lagoonpick/kv-lease-end/";
constexpr std::uint32_t statusBadRequest = 400;
constexpr std::uint32_t statusNotFound = 404;
constexpr std::uint32_t statusConditionFailed = 412;

std::int64_t nowMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::int64_t toNumber(const std::string& text)
{
    return text.empty() ? 0 : std::stoll(text);
}

HttpResponse respondWith(std::uint32_t status, const json::object& body = {})
{
    return { .status_ = status, .body_ = json::serialize(body), .stream_ = {} };
}

json::object parseBody(const std::string& text)
{
    boost::system::error_code error;
    auto value = json::parse(text, error);
    return !error && value.is_object() ? value.get_object() : json::object();
}

const json::array& arrayIn(const json::object& body, std::string_view name)
{
    static const json::array none;
    const json::value* value = body.if_contains(name);
    return value && value->is_array() ? value->get_array() : none;
}

} // namespace

StoreStandIn::StoreStandIn(boost::asio::io_context& context, const std::string& configuration)
    : http_(context, {}, [this](const HttpRequest& request, const HttpServer::Respond& respond) { handle(request, respond); })
    , timer_(context)
{
    store_.put("op/config", configuration, 0);
}

std::string StoreStandIn::listen(const std::string& address)
{
    scheduleTick();
    return http_.listen(address);
}

StoreStandIn::Query StoreStandIn::parseQuery(const std::string& text)
{
    constexpr int hexBase = 16;
    Query values;
    std::string name;
    std::string* target = &name;
    for (std::size_t i = 0; i <= text.size(); ++i) {
        if (i == text.size() || text[i] == '&') {
            name.clear();
            target = &name;
        } else if (text[i] == '=') {
            target = &values[name];
        } else if (text[i] == '%' && i + 2 < text.size()) {
            *target += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, hexBase));
            i += 2;
        } else {
            *target += text[i];
        }
    }
    return values;
}

void StoreStandIn::handle(const HttpRequest& request, const HttpServer::Respond& respond)
{
    const std::string& path = request.path_;
    auto query = parseQuery(request.query_);
    HttpResponse response = respondWith(statusNotFound);
    if (path == "/lagoonpick/kv-watch") {
        watches_.push_back({ query["prefix"], toNumber(query["after"]), nowMilliseconds() + toNumber(query["wait_ms"]), respond });
        answerWatches();
        return;
    }
    if (path == "/lagoonpick/kv-key")
        response = readKey(query["key"]);
    else if (path == "/lagoonpick/kv-range")
        response = readRange(query);
    else if (path == "/lagoonpick/kv-txn")
        response = write(parseBody(request.body_));
    else if (path == "/lagoonpick/kv-lease")
        response = grant(parseBody(request.body_));
    else if (path.starts_with(keepPath))
        response = respondWith(store_.keepAlive(toNumber(path.substr(keepPath.size())), nowMilliseconds()) ? 200 : statusNotFound);
    else if (path.starts_with(endPath)) {
        store_.revoke(toNumber(path.substr(endPath.size())));
        response = respondWith(200);
    }
    respond(std::move(response));
    answerWatches();
}

json::object StoreStandIn::toItem(const std::string& key, const StandIns::StoredKey& stored) const
{
    return { { "key", key }, { "value", websocketpp::base64_encode(stored.value_) }, { "revision", stored.modRevision_ }, { "created", stored.createRevision_ }, { "lease", stored.lease_ } };
}

HttpResponse StoreStandIn::readKey(const std::string& key) const
{
    auto found = store_.keys().find(key);
    if (found == store_.keys().end())
        return respondWith(statusNotFound, { { "as_of", store_.revision() } });
    auto body = toItem(key, found->second);
    body["as_of"] = store_.revision();
    return respondWith(200, body);
}

HttpResponse StoreStandIn::readRange(Query query) const
{
    json::array items;
    bool hasMore = false;
    for (const auto& [key, stored] : store_.keys()) {
        if (!key.starts_with(query["prefix"]) || key <= query["after"])
            continue;
        hasMore = items.size() == maxRangeItems;
        if (hasMore)
            break;
        items.push_back(toItem(key, stored));
    }
    return respondWith(200, { { "items", items }, { "has_more", hasMore }, { "as_of", store_.revision() } });
}

bool StoreStandIn::isAsExpected(const json::object& body) const
{
    const auto& rows = arrayIn(body, "expect");
    return std::all_of(rows.begin(), rows.end(), [this](const auto& row) {
        return store_.modRevision(std::string(row.as_object().at("key").as_string())) == row.as_object().at("revision").template to_number<std::int64_t>();
    });
}

HttpResponse StoreStandIn::write(const json::object& body)
{
    if (!isAsExpected(body))
        return respondWith(statusConditionFailed);
    for (const auto& row : arrayIn(body, "puts")) {
        const auto& put = row.as_object();
        const json::value* lease = put.if_contains("lease");
        store_.put(std::string(put.at("key").as_string()), websocketpp::base64_decode(std::string(put.at("value").as_string())), lease ? lease->to_number<std::int64_t>() : 0);
    }
    for (const auto& key : arrayIn(body, "deletes"))
        store_.erase(std::string(key.as_string()));
    return respondWith(200, { { "revision", store_.revision() } });
}

HttpResponse StoreStandIn::grant(const json::object& body)
{
    const json::value* ttl = body.if_contains("ttl_ms");
    if (!ttl || !ttl->is_number())
        return respondWith(statusBadRequest);
    auto milliseconds = ttl->to_number<std::int64_t>();
    return respondWith(200, { { "lease", store_.grant(milliseconds, nowMilliseconds()) }, { "ttl_ms", milliseconds } });
}

void StoreStandIn::answerWatches()
{
    for (auto watch = watches_.begin(); watch != watches_.end();) {
        json::array events;
        for (const auto& change : store_.history()) {
            if (change.revision_ <= watch->after_ || !change.key_.starts_with(watch->prefix_))
                continue;
            if (change.value_)
                events.push_back({ { "key", change.key_ }, { "value", websocketpp::base64_encode(*change.value_) }, { "revision", change.revision_ } });
            else
                events.push_back({ { "key", change.key_ }, { "revision", change.revision_ }, { "removed", true } });
        }
        if (events.empty() && nowMilliseconds() < watch->answerBy_) {
            ++watch;
            continue;
        }
        auto respond = watch->respond_;
        watch = watches_.erase(watch);
        respond(respondWith(200, { { "events", events }, { "as_of", store_.revision() } }));
    }
}

void StoreStandIn::scheduleTick()
{
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        store_.expire(nowMilliseconds());
        answerWatches();
        scheduleTick();
    });
}

} // namespace Lagoonpick::Review
