#include "StandIns/UsersStoreStandIn.h"

#include <boost/json.hpp>
#include <chrono>
#include <map>
#include <websocketpp/base64/base64.hpp>

namespace Lagoonpick::StandIns {

namespace json = boost::json;

namespace {

constexpr auto tickInterval = std::chrono::milliseconds(20);
constexpr auto slowResponseDelay = std::chrono::milliseconds(250);
/// Items in a page of a range, so few that tests read several pages.
constexpr std::size_t maxPageItems = 8;
constexpr std::string_view keepPath = "/lagoonpick/kv-keep/";
constexpr std::string_view endPath = "/lagoonpick/kv-lease-end/";

std::int64_t nowMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::string decodePercent(std::string_view text)
{
    constexpr int hexBase = 16;
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, hexBase));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::map<std::string, std::string> parseQuery(const std::string& query)
{
    std::map<std::string, std::string> values;
    std::size_t begin = 0;
    while (begin < query.size()) {
        std::size_t end = std::min(query.find('&', begin), query.size());
        std::string pair = query.substr(begin, end - begin);
        auto equals = pair.find('=');
        if (equals != std::string::npos)
            values[pair.substr(0, equals)] = decodePercent(std::string_view(pair).substr(equals + 1));
        begin = end + 1;
    }
    return values;
}

json::object toItem(const std::string& key, const std::string& value, std::int64_t revision)
{
    return { { "key", key }, { "value", websocketpp::base64_encode(value) }, { "revision", revision } };
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

} // namespace

UsersStoreStandIn::UsersStoreStandIn(boost::asio::io_context& context)
    : context_(context)
    , http_(context, {}, [this](const HttpRequest& request, const HttpServer::Respond& respond) { handle(request, respond); })
    , timer_(context)
{
}

std::string UsersStoreStandIn::listen(const std::string& address)
{
    scheduleTick();
    return http_.listen(address);
}

bool UsersStoreStandIn::handleControlRequest(const HttpRequest& request, const HttpServer::Respond& respond)
{
    if (request.path_ == "/standin/put")
        store_.put(parseQuery(request.query_)["key"], request.body_, 0);
    else if (request.path_ == "/standin/remove")
        store_.erase(parseQuery(request.query_)["key"]);
    else if (request.path_ == "/standin/fault")
        fault_ = parsePlatformFault(request.body_);
    else
        return false;
    respond(respondWith(200));
    answerWatches();
    return true;
}

void UsersStoreStandIn::handle(const HttpRequest& request, const HttpServer::Respond& respond)
{
    if (handleControlRequest(request, respond))
        return;
    if (fault_ == PlatformFault::Outage) {
        respond({ .body_ = {}, .stream_ = {}, .isDropped_ = true });
        return;
    }
    if (fault_ != PlatformFault::Slow) {
        answer(request, respond);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(context_, slowResponseDelay);
    timer->async_wait([this, timer, request, respond](const boost::system::error_code&) { answer(request, respond); });
}

void UsersStoreStandIn::answer(const HttpRequest& request, const HttpServer::Respond& respond)
{
    auto query = parseQuery(request.query_);
    const std::string& path = request.path_;
    HttpResponse response = respondWith(404);
    if (path == "/lagoonpick/kv-watch") {
        watches_.push_back({ query["prefix"], std::stoll("0" + query["after"]), nowMilliseconds() + std::stoll("0" + query["wait_ms"]), respond });
        answerWatches();
        return;
    }
    if (path == "/lagoonpick/kv-key")
        response = readKey(query["key"]);
    else if (path == "/lagoonpick/kv-range")
        response = readRange(query["prefix"], query["after"]);
    else if (path == "/lagoonpick/kv-txn")
        response = write(request.body_);
    else if (path == "/lagoonpick/kv-lease")
        response = grant(request.body_);
    else if (path.starts_with(keepPath))
        response = respondWith(store_.keepAlive(std::stoll("0" + path.substr(keepPath.size())), nowMilliseconds()) ? 200 : 404);
    else if (path.starts_with(endPath)) {
        store_.revoke(std::stoll("0" + path.substr(endPath.size())));
        response = respondWith(200);
    }
    response.isDropped_ = fault_ == PlatformFault::LoseAnswers && request.method_ != "GET";
    respond(std::move(response));
    answerWatches();
}

HttpResponse UsersStoreStandIn::readKey(const std::string& key) const
{
    auto found = store_.keys().find(key);
    if (found == store_.keys().end())
        return respondWith(404, { { "as_of", store_.revision() } });
    auto body = toItem(key, found->second.value_, found->second.modRevision_);
    body["as_of"] = store_.revision();
    return respondWith(200, body);
}

HttpResponse UsersStoreStandIn::readRange(const std::string& prefix, const std::string& after) const
{
    json::array items;
    bool hasMore = false;
    for (const auto& [key, stored] : store_.keys()) {
        if (!key.starts_with(prefix) || key <= after)
            continue;
        hasMore = items.size() == maxPageItems;
        if (hasMore)
            break;
        items.push_back(toItem(key, stored.value_, stored.modRevision_));
    }
    return respondWith(200, { { "items", items }, { "has_more", hasMore }, { "as_of", store_.revision() } });
}

HttpResponse UsersStoreStandIn::write(const std::string& text)
{
    auto body = parseBody(text);
    const json::value* puts = body.if_contains("puts");
    if (!puts || !puts->is_array())
        return respondWith(400);
    for (const auto& value : puts->get_array()) {
        const auto& put = value.as_object();
        auto lease = put.contains("lease") ? put.at("lease").to_number<std::int64_t>() : 0;
        store_.put(std::string(put.at("key").as_string()), websocketpp::base64_decode(std::string(put.at("value").as_string())), lease);
    }
    return respondWith(200, { { "revision", store_.revision() } });
}

HttpResponse UsersStoreStandIn::grant(const std::string& text)
{
    auto ttl = parseBody(text)["ttl_ms"];
    if (!ttl.is_int64())
        return respondWith(400);
    return respondWith(200, { { "lease", store_.grant(ttl.get_int64(), nowMilliseconds()) }, { "ttl_ms", ttl.get_int64() } });
}

void UsersStoreStandIn::answerWatches()
{
    for (auto watch = watches_.begin(); watch != watches_.end();) {
        json::array events;
        for (const auto& change : store_.history()) {
            if (change.revision_ <= watch->after_ || !change.key_.starts_with(watch->prefix_))
                continue;
            if (change.value_)
                events.push_back(toItem(change.key_, *change.value_, change.revision_));
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

void UsersStoreStandIn::scheduleTick()
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

} // namespace Lagoonpick::StandIns
