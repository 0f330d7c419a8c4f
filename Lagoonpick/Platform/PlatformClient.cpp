#include "Lagoonpick/Platform/PlatformClient.h"

#include "Lagoonpick/Core/Underlying.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>
#include <websocketpp/base64/base64.hpp>

namespace Lagoonpick {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::uint64_t maxResponseBytes = 67'108'864;
constexpr std::uint32_t httpOk = 200;

/// A watch that receives nothing for this long may be half open. It ends, and its caller has to start it again.
constexpr Duration watchIdleTimeout = std::chrono::minutes(5);

std::string encodeBase64(const std::string& text)
{
    return websocketpp::base64_encode(text);
}

std::string decodeBase64(const json::object& object, const char* member)
{
    const auto* value = object.if_contains(member);
    return value && value->is_string() ? websocketpp::base64_decode(std::string(value->get_string())) : std::string();
}

/// The gateway writes 64-bit numbers as strings and leaves zeros out.
std::int64_t numberOf(const json::object& object, const char* member)
{
    const auto* value = object.if_contains(member);
    if (!value)
        return 0;
    if (value->is_string())
        return std::strtoll(value->get_string().c_str(), nullptr, 10);
    json::error_code error;
    auto number = value->to_number<std::int64_t>(error);
    return error ? 0 : number;
}

std::int64_t revisionOf(const json::object& object)
{
    const auto* header = object.if_contains("header");
    return header && header->is_object() ? numberOf(header->get_object(), "revision") : 0;
}

PlatformItem itemOf(const json::object& object, bool isDeleted)
{
    PlatformItem item { .key_ = decodeBase64(object, "key"), .value_ = {}, .revision_ = numberOf(object, "mod_revision") };
    if (!isDeleted)
        item.value_ = decodeBase64(object, "value");
    return item;
}

const json::array* arrayOf(const json::object& object, const char* member)
{
    const auto* value = object.if_contains(member);
    return value ? value->if_array() : nullptr;
}

std::vector<PlatformItem> eventsOf(const json::object& result)
{
    std::vector<PlatformItem> items;
    const auto* events = arrayOf(result, "events");
    if (!events)
        return items;
    for (const auto& event : *events) {
        const auto* object = event.if_object();
        const auto* kv = object ? object->if_contains("kv") : nullptr;
        const auto* type = object ? object->if_contains("type") : nullptr;
        bool isDeleted = type && type->is_string() && type->get_string() == "DELETE";
        if (kv && kv->is_object())
            items.push_back(itemOf(kv->get_object(), isDeleted));
    }
    return items;
}

/// The `result` of one line of a watch; nothing if the line is malformed or reports that the watch was cancelled.
std::optional<json::object> watchResult(const std::string& line)
{
    json::error_code error;
    auto value = json::parse(line, error);
    const auto* object = error ? nullptr : value.if_object();
    const auto* result = object ? object->if_contains("result") : nullptr;
    if (!result || !result->is_object())
        return std::nullopt;
    const auto* canceled = result->get_object().if_contains("canceled");
    if (canceled && canceled->is_bool() && canceled->get_bool())
        return std::nullopt;
    return result->get_object();
}

} // namespace

std::string endOfPrefix(std::string prefix)
{
    prefix.back() = static_cast<char>(prefix.back() + 1);
    return prefix;
}

PlatformClient::PlatformClient(asio::io_context& context, std::string address, Duration timeout)
    : client_(context, std::move(address), maxResponseBytes)
    , timeout_(timeout)
{
}

asio::awaitable<Outcome<json::object>> PlatformClient::call(std::string path, json::object request)
{
    OutgoingRequest outgoing { .path_ = std::move(path), .body_ = json::serialize(request) };
    Exchange exchange = co_await client_.exchange(std::move(outgoing), timeout_);
    if (exchange.stage_ == ExchangeStage::NotWritten)
        co_return fail(ErrorCode::Unreachable, "the platform can't be reached");
    if (exchange.stage_ != ExchangeStage::Answered || exchange.status_ != httpOk)
        co_return fail(ErrorCode::TimedOut, "no response with status 200 from the platform");
    json::error_code error;
    auto value = json::parse(exchange.body_, error);
    if (error || !value.is_object())
        co_return fail(ErrorCode::Malformed, "the platform's response is not a JSON object");
    co_return value.get_object();
}

asio::awaitable<Outcome<LeaseId>> PlatformClient::grantLease(Duration ttl)
{
    auto seconds = std::chrono::duration_cast<std::chrono::seconds>(ttl).count();
    json::object request { { "TTL", std::to_string(seconds) } };
    auto response = co_await call("/v3/lease/grant", std::move(request));
    if (!response)
        co_return response.as_failure();
    auto lease = numberOf(response.value(), "ID");
    if (!lease)
        co_return fail(ErrorCode::Malformed, "the platform's response has no lease");
    co_return LeaseId(lease);
}

asio::awaitable<Outcome<void>> PlatformClient::keepAlive(LeaseId lease)
{
    json::object request { { "ID", std::to_string(toUnderlying(lease)) } };
    auto response = co_await call("/v3/lease/keepalive", std::move(request));
    if (!response)
        co_return response.as_failure();
    const auto* result = response.value().if_contains("result");
    if (!result || !result->is_object() || numberOf(result->get_object(), "TTL") <= 0)
        co_return fail(ErrorCode::NotFound, "the lease has expired");
    co_return boost::outcome_v2::success();
}

asio::awaitable<Outcome<void>> PlatformClient::revoke(LeaseId lease)
{
    json::object request { { "ID", std::to_string(toUnderlying(lease)) } };
    auto response = co_await call("/v3/lease/revoke", std::move(request));
    if (!response)
        co_return response.as_failure();
    co_return boost::outcome_v2::success();
}

asio::awaitable<Outcome<void>> PlatformClient::put(std::string key, std::string value, LeaseId lease)
{
    json::object request { { "key", encodeBase64(key) }, { "value", encodeBase64(value) } };
    if (lease != LeaseId::None)
        request["lease"] = std::to_string(toUnderlying(lease));
    auto response = co_await call("/v3/kv/put", std::move(request));
    if (!response)
        co_return response.as_failure();
    co_return boost::outcome_v2::success();
}

asio::awaitable<WriteOutcome> PlatformClient::compareAndSwap(CompareAndSwap swap)
{
    json::object compare { { "key", encodeBase64(swap.key_) }, { "target", "MOD" }, { "result", "EQUAL" },
        { "mod_revision", std::to_string(swap.expectedRevision_) } };
    json::object put { { "request_put", json::object { { "key", encodeBase64(swap.key_) }, { "value", encodeBase64(swap.value_) } } } };
    json::object request { { "compare", json::array { std::move(compare) } }, { "success", json::array { std::move(put) } } };
    auto response = co_await call("/v3/kv/txn", std::move(request));
    if (!response)
        co_return WriteOutcome::Unknown;
    const auto* succeeded = response.value().if_contains("succeeded");
    bool isWritten = succeeded && succeeded->is_bool() && succeeded->get_bool();
    co_return isWritten ? WriteOutcome::Written : WriteOutcome::Conflict;
}

asio::awaitable<Outcome<PlatformRange>> PlatformClient::range(std::string prefix)
{
    json::object request { { "key", encodeBase64(prefix) }, { "range_end", encodeBase64(endOfPrefix(prefix)) } };
    auto response = co_await call("/v3/kv/range", std::move(request));
    if (!response)
        co_return response.as_failure();
    PlatformRange range { .revision_ = revisionOf(response.value()), .items_ = {} };
    if (!range.revision_)
        co_return fail(ErrorCode::Malformed, "the platform's response has no revision");
    if (const auto* items = arrayOf(response.value(), "kvs")) {
        for (const auto& item : *items) {
            if (const auto* object = item.if_object())
                range.items_.push_back(itemOf(*object, false));
        }
    }
    co_return range;
}

asio::awaitable<void> PlatformClient::watch(std::string prefix, std::int64_t revision, std::function<void()> onOpen, std::function<void(std::vector<PlatformItem>, std::int64_t)> onChange)
{
    json::object create { { "key", encodeBase64(prefix) }, { "range_end", encodeBase64(endOfPrefix(prefix)) }, { "start_revision", std::to_string(revision) } };
    json::object body { { "create_request", std::move(create) } };
    OutgoingRequest request { .path_ = "/v3/watch", .body_ = json::serialize(body) };
    auto onLine = [&](const std::string& line) {
        auto result = watchResult(line);
        if (!result)
            return false;
        if (result->contains("created"))
            onOpen();
        auto items = eventsOf(*result);
        if (!items.empty())
            onChange(std::move(items), revisionOf(*result));
        return true;
    };
    co_await client_.stream(std::move(request), watchIdleTimeout, onLine);
}

} // namespace Lagoonpick
