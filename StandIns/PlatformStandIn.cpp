#include "StandIns/PlatformStandIn.h"

#include <boost/json.hpp>
#include <websocketpp/base64/base64.hpp>

namespace Lagoonpick::StandIns {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto tickInterval = std::chrono::milliseconds(100);
constexpr auto slowResponseDelay = std::chrono::milliseconds(1500);
constexpr std::int64_t millisecondsPerSecond = 1000;

std::string textOf(const json::object& object, const char* member)
{
    const auto* value = object.if_contains(member);
    return value && value->is_string() ? websocketpp::base64_decode(std::string(value->get_string())) : std::string();
}

std::int64_t numberOf(const json::object& object, const char* member)
{
    const auto* value = object.if_contains(member);
    if (!value)
        return 0;
    return value->is_string() ? std::strtoll(value->get_string().c_str(), nullptr, 10) : value->to_number<std::int64_t>();
}

std::int64_t nowMilliseconds()
{
    auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

json::object toKeyValue(const std::string& key, const StoredKey& stored)
{
    return { { "key", websocketpp::base64_encode(key) }, { "value", websocketpp::base64_encode(stored.value_) },
        { "create_revision", std::to_string(stored.createRevision_) }, { "mod_revision", std::to_string(stored.modRevision_) } };
}

bool isWithin(const std::string& key, const std::string& first, const std::string& end)
{
    return end.empty() ? key == first : key >= first && key < end;
}

json::object toEvent(const StoredChange& change)
{
    json::object kv { { "key", websocketpp::base64_encode(change.key_) }, { "mod_revision", std::to_string(change.revision_) } };
    json::object event;
    if (change.value_)
        kv["value"] = websocketpp::base64_encode(*change.value_);
    else
        event["type"] = "DELETE";
    event["kv"] = std::move(kv);
    return event;
}

} // namespace

PlatformFault parsePlatformFault(std::string_view name)
{
    if (name == "outage")
        return PlatformFault::Outage;
    if (name == "slow")
        return PlatformFault::Slow;
    if (name == "lose_answers")
        return PlatformFault::LoseAnswers;
    return PlatformFault::None;
}

PlatformStandIn::PlatformStandIn(asio::io_context& context)
    : context_(context)
    , http_(context, {}, [this](const HttpRequest& request, const HttpServer::Respond& respond) { handle(request, respond); })
    , timer_(context)
{
}

std::string PlatformStandIn::listen(const std::string& address)
{
    scheduleTick();
    return http_.listen(address);
}

void PlatformStandIn::setFault(PlatformFault fault)
{
    fault_ = fault;
    if (fault != PlatformFault::Outage)
        return;
    for (auto& watch : watches_)
        watch.stream_->close();
    watches_.clear();
}

bool PlatformStandIn::handleControlRequest(const HttpRequest& request, const HttpServer::Respond& respond)
{
    if (request.path_ == "/standin/counts") {
        json::object counts;
        for (const auto& [path, count] : counts_)
            counts[path] = count;
        respond({ .body_ = json::serialize(counts), .stream_ = {} });
        return true;
    }
    if (request.path_ != "/standin/fault")
        return false;
    setFault(parsePlatformFault(request.body_));
    respond({ .body_ = "{}", .stream_ = {} });
    return true;
}

void PlatformStandIn::handle(const HttpRequest& request, const HttpServer::Respond& respond)
{
    if (handleControlRequest(request, respond))
        return;
    ++counts_[request.path_];
    if (fault_ == PlatformFault::Outage) {
        respond({ .body_ = {}, .stream_ = {}, .isDropped_ = true });
        return;
    }
    if (fault_ != PlatformFault::Slow) {
        answer(request, respond);
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(context_, slowResponseDelay);
    timer->async_wait([this, timer, request, respond](const boost::system::error_code&) { answer(request, respond); });
}

void PlatformStandIn::answer(const HttpRequest& request, const HttpServer::Respond& respond)
{
    json::error_code error;
    auto body = json::parse(request.body_, error);
    if (error || !body.is_object()) {
        respond({ .status_ = 400, .body_ = "{}", .stream_ = {} });
        return;
    }
    if (request.path_ == "/v3/watch") {
        watch(body.get_object(), respond);
        return;
    }
    store_.expire(nowMilliseconds());
    json::object result = call(request.path_, body.get_object());
    sendChangesToWatches();
    respond({ .body_ = json::serialize(result), .stream_ = {}, .isDropped_ = fault_ == PlatformFault::LoseAnswers });
}

json::object PlatformStandIn::header() const
{
    return { { "revision", std::to_string(store_.revision()) } };
}

json::object PlatformStandIn::call(const std::string& path, const json::object& body)
{
    if (path == "/v3/kv/range")
        return range(body);
    if (path == "/v3/kv/txn")
        return txn(body);
    if (path == "/v3/kv/put") {
        store_.put(textOf(body, "key"), textOf(body, "value"), numberOf(body, "lease"));
        return { { "header", header() } };
    }
    if (path == "/v3/lease/grant") {
        auto lease = store_.grant(numberOf(body, "TTL") * millisecondsPerSecond, nowMilliseconds());
        return { { "header", header() }, { "ID", std::to_string(lease) }, { "TTL", std::to_string(numberOf(body, "TTL")) } };
    }
    if (path == "/v3/lease/keepalive") {
        auto ttl = store_.keepAlive(numberOf(body, "ID"), nowMilliseconds()) / millisecondsPerSecond;
        json::object result { { "header", header() }, { "ID", std::to_string(numberOf(body, "ID")) } };
        if (ttl)
            result["TTL"] = std::to_string(ttl);
        return { { "result", std::move(result) } };
    }
    if (path == "/v3/lease/revoke")
        store_.revoke(numberOf(body, "ID"));
    return { { "header", header() } };
}

json::object PlatformStandIn::range(const json::object& body) const
{
    std::string first = textOf(body, "key");
    std::string end = textOf(body, "range_end");
    json::array kvs;
    for (const auto& [key, stored] : store_.keys()) {
        if (isWithin(key, first, end))
            kvs.push_back(toKeyValue(key, stored));
    }
    auto count = kvs.size();
    return { { "header", header() }, { "kvs", std::move(kvs) }, { "count", std::to_string(count) } };
}

json::object PlatformStandIn::txn(const json::object& body)
{
    bool holds = true;
    for (const auto& item : body.at("compare").as_array()) {
        const auto& compare = item.as_object();
        holds = holds && store_.modRevision(textOf(compare, "key")) == numberOf(compare, "mod_revision");
    }
    json::object result;
    if (holds) {
        for (const auto& item : body.at("success").as_array()) {
            const auto& put = item.as_object().at("request_put").as_object();
            store_.put(textOf(put, "key"), textOf(put, "value"), numberOf(put, "lease"));
        }
        result["succeeded"] = true;
    }
    result["header"] = header();
    return result;
}

void PlatformStandIn::watch(const json::object& body, const HttpServer::Respond& respond)
{
    const auto& create = body.at("create_request").as_object();
    Watch watch { textOf(create, "key"), textOf(create, "range_end"), numberOf(create, "start_revision"), std::make_shared<HttpStream>() };
    if (!watch.nextRevision_)
        watch.nextRevision_ = store_.revision() + 1;
    json::object created { { "result", json::object { { "header", header() }, { "created", true } } } };
    watch.stream_->push(json::serialize(created) + "\n");
    respond({ .body_ = {}, .stream_ = watch.stream_ });
    sendChanges(watch);
    watches_.push_back(std::move(watch));
}

void PlatformStandIn::sendChanges(Watch& watch) const
{
    json::array events;
    // The first change has revision 2 and each further one adds 1, so revision r stands at index r - 2 of the history.
    auto begin = static_cast<std::size_t>(std::max<std::int64_t>(watch.nextRevision_ - 2, 0));
    for (std::size_t i = begin; i < store_.history().size(); ++i) {
        const auto& change = store_.history()[i];
        if (isWithin(change.key_, watch.firstKey_, watch.endKey_))
            events.push_back(toEvent(change));
    }
    watch.nextRevision_ = store_.revision() + 1;
    if (events.empty())
        return;
    json::object line { { "result", json::object { { "header", header() }, { "events", std::move(events) } } } };
    watch.stream_->push(json::serialize(line) + "\n");
}

void PlatformStandIn::sendChangesToWatches()
{
    watches_.remove_if([](const Watch& watch) { return watch.stream_->isClosed(); });
    for (auto& watch : watches_)
        sendChanges(watch);
}

void PlatformStandIn::scheduleTick()
{
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        // Leases don't expire during an outage, as no client could have renewed them.
        if (fault_ != PlatformFault::Outage)
            store_.expire(nowMilliseconds());
        sendChangesToWatches();
        scheduleTick();
    });
}

} // namespace Lagoonpick::StandIns
