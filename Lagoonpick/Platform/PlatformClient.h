#pragma once

#include "Lagoonpick/Platform/PlatformRequest.h"
#include "Lagoonpick/Transport/HttpClient.h"

#include <boost/json/fwd.hpp>
#include <functional>
#include <optional>
#include <vector>

namespace Lagoonpick {

/// A lease in the platform's key-value service.
enum class LeaseId : std::int64_t {
    None = 0,
};

/// A key of the platform's key-value service, with its value and the revision of its last change.
struct PlatformItem {
    std::string key_;
    /// Absent if the key was deleted.
    std::optional<std::string> value_;
    std::int64_t revision_ { 0 };
    bool operator==(const PlatformItem&) const = default;
};

/// The keys that one range call has read, all as of `revision_`.
struct PlatformRange {
    std::int64_t revision_ { 0 };
    std::vector<PlatformItem> items_;
    bool operator==(const PlatformRange&) const = default;
};

/// A client of the platform's key-value service over the etcd v3 HTTP/JSON gateway.
///
/// No call is retried; the caller decides what to do about an unknown outcome. Used from one thread only: the one
/// that runs its `io_context`.
class PlatformClient {
public:
    /// `address` is `IP:port`. No call takes longer than `timeout`, except `watch`.
    PlatformClient(boost::asio::io_context& context, std::string address, Duration timeout);

    boost::asio::awaitable<Outcome<LeaseId>> grantLease(Duration ttl);

    /// Renews a lease; `NotFound` if it has expired.
    boost::asio::awaitable<Outcome<void>> keepAlive(LeaseId lease);
    boost::asio::awaitable<Outcome<void>> revoke(LeaseId lease);

    /// Writes a key. The service deletes the key when `lease` ends, unless that is `LeaseId::None`.
    boost::asio::awaitable<Outcome<void>> put(std::string key, std::string value, LeaseId lease);
    boost::asio::awaitable<WriteOutcome> compareAndSwap(CompareAndSwap swap);

    /// Reads every key that begins with `prefix`.
    boost::asio::awaitable<Outcome<PlatformRange>> range(std::string prefix);

    /// Passes every change from `revision` on to `onChange`, with the service's revision at that time. Ends when the
    /// stream ends or fails, the service cancels the watch, or nothing is received for 5 minutes. `onOpen` is called
    /// once the service has confirmed the watch.
    boost::asio::awaitable<void> watch(std::string prefix, std::int64_t revision, std::function<void()> onOpen, std::function<void(std::vector<PlatformItem>, std::int64_t)> onChange);

private:
    boost::asio::awaitable<Outcome<boost::json::object>> call(std::string path, boost::json::object request);

    HttpClient client_;
    Duration timeout_;
};

/// The smallest key that is greater than every key that begins with `prefix`. `prefix` must not be empty.
std::string endOfPrefix(std::string prefix);

} // namespace Lagoonpick
