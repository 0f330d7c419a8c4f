#include "review/stand-ins/WorkerStandIn.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

namespace Lagoonpick::Review {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr auto tickInterval = milliseconds(2);
constexpr auto heartbeatTimeout = milliseconds(1000);
constexpr auto heartbeatRetryDelay = milliseconds(100);
/// How long a stop takes; at most `stop_timeout_ms` (50) by PROTOCOL.md.
constexpr auto stopTime = milliseconds(5);
/// `max_hold_ms`
constexpr std::int64_t maxLeaseMs = 1000;
/// Maximum number of ends in one response, by PROTOCOL.md.
constexpr std::size_t maxListedEnds = 500;
constexpr std::uint64_t maxBodyBytes = 65'536;
constexpr std::uint32_t statusConflict = 409;
constexpr std::uint32_t statusMisdirected = 421;

/// The number that follows `name=` in a spec like `ms=300 cpu=4000`.
std::uint32_t numberIn(const std::string& spec, const std::string& name, std::uint32_t defaultValue)
{
    auto found = spec.find(name + "=");
    return found == std::string::npos ? defaultValue : static_cast<std::uint32_t>(std::stoul(spec.substr(found + name.size() + 1)));
}

std::uint64_t readNumber(const json::object& body, std::string_view name)
{
    const json::value* value = body.if_contains(name);
    return value && value->is_number() ? value->to_number<std::uint64_t>() : 0;
}

std::string readText(const json::object& body, std::string_view name)
{
    const json::value* value = body.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

} // namespace

WorkerStandIn::WorkerStandIn(boost::asio::io_context& context, WorkerSettings settings)
    : context_(context)
    , settings_(std::move(settings))
    , http_(context, {}, [this](const HttpRequest& request, const HttpServer::Respond& respond) { handle(request, respond); })
    , control_(context, settings_.controlAddress_, maxBodyBytes)
    , record_(settings_.recordFile_, std::ios::app)
    , timer_(context)
    , startedAt_(steady_clock::now())
    , born_(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
{
}

std::string WorkerStandIn::listen()
{
    auto fault = http_.listen(settings_.address_);
    if (!fault.empty())
        return fault;
    record("worker-up", { settings_.id_, 0 }, settings_.labels_);
    scheduleTick();
    boost::asio::co_spawn(context_, sendHeartbeats(), boost::asio::detached);
    return {};
}

std::int64_t WorkerStandIn::clock() const
{
    return 1 + std::chrono::duration_cast<milliseconds>(steady_clock::now() - startedAt_).count();
}

void WorkerStandIn::respondWith(const HttpServer::Respond& respond, std::uint32_t status, json::object body) const
{
    body["clock_ms"] = clock();
    body["born"] = born_;
    respond({ .status_ = status, .body_ = json::serialize(body), .stream_ = {} });
}

void WorkerStandIn::handle(const HttpRequest& request, const HttpServer::Respond& respond)
{
    advance();
    std::string_view expected = findHeader(request.headers_, "Lagoonpick-Expect-Instance");
    if (!expected.empty() && expected != settings_.id_)
        return respondWith(respond, statusMisdirected, {});
    boost::system::error_code error;
    auto body = json::parse(request.body_, error);
    if (error || !body.is_object())
        return respondWith(respond, 400, {});
    if (request.path_ == "/lagoonpick/run-start")
        return start(body.get_object(), respond);
    if (request.path_ == "/lagoonpick/run-stop")
        return stop(body.get_object(), respond);
    if (request.path_ == "/lagoonpick/hold")
        return hold(body.get_object(), respond);
    respondWith(respond, 404, {});
}

bool WorkerStandIn::isFenced(const json::object& body)
{
    std::uint64_t token = readNumber(body, "fencing_token");
    if (token < fencingToken_)
        return true;
    fencingToken_ = token;
    return false;
}

void WorkerStandIn::extendLease(const json::object& body)
{
    if (body.contains("deadline_ms"))
        leaseUntil_ = std::max(leaseUntil_, std::min(static_cast<std::int64_t>(readNumber(body, "deadline_ms")), clock() + maxLeaseMs));
}

void WorkerStandIn::start(const json::object& body, const HttpServer::Respond& respond)
{
    RunName name { readText(body, "task"), readNumber(body, "run") };
    if (isFenced(body))
        return respondWith(respond, statusConflict, { { "reason", "fence" } });
    if (running_.contains(name))
        return respondWith(respond, 200, {});
    if (static_cast<std::int64_t>(readNumber(body, "deadline_ms")) < clock())
        return respondWith(respond, statusConflict, { { "reason", "late" } });
    extendLease(body);
    auto highest = highestRuns_.find(name.first);
    if (highest != highestRuns_.end() && highest->second >= name.second)
        return respondWith(respond, statusConflict, { { "reason", "old" } });
    Run run { .spec_ = readText(body, "spec"), .startedAt_ = steady_clock::now() };
    run.length_ = milliseconds(numberIn(run.spec_, "ms", 100));
    run.milliCores_ = numberIn(run.spec_, "cpu", 1000);
    run.memoryMegabytes_ = numberIn(run.spec_, "mem", 64);
    std::uint64_t milliCores = run.milliCores_;
    std::uint64_t memory = run.memoryMegabytes_;
    for (const auto& [other, occupied] : running_) {
        milliCores += occupied.milliCores_;
        memory += occupied.memoryMegabytes_;
    }
    if (milliCores > settings_.milliCores_ || memory > settings_.memoryMegabytes_)
        return respondWith(respond, statusConflict, { { "reason", "room" } });
    highestRuns_[name.first] = name.second;
    record("begin", name, run.spec_.substr(0, 60) + " labels=" + settings_.labels_ + " service=" + settings_.service_);
    if (!settings_.crashText_.empty() && run.spec_.find(settings_.crashText_) != std::string::npos) {
        record("crash", name, "");
        std::_Exit(1);
    }
    running_.emplace(name, std::move(run));
    respondWith(respond, 200, {});
}

void WorkerStandIn::stop(const json::object& body, const HttpServer::Respond& respond)
{
    RunName name { readText(body, "task"), readNumber(body, "run") };
    if (isFenced(body))
        return respondWith(respond, statusConflict, { { "reason", "fence" } });
    auto& highest = highestRuns_[name.first];
    highest = std::max(highest, name.second);
    auto run = running_.find(name);
    if (run != running_.end() && !run->second.stopsAt_)
        run->second.stopsAt_ = steady_clock::now() + stopTime;
    respondWith(respond, 200, {});
}

void WorkerStandIn::hold(const json::object& body, const HttpServer::Respond& respond)
{
    if (isFenced(body))
        return respondWith(respond, statusConflict, { { "reason", "fence" } });
    extendLease(body);
    waitingHolds_.push_back({ readNumber(body, "ack_seq"), steady_clock::now() + milliseconds(readNumber(body, "wait_ms")), respond });
    answerHolds();
}

void WorkerStandIn::answerHolds()
{
    auto now = steady_clock::now();
    for (auto hold = waitingHolds_.begin(); hold != waitingHolds_.end();) {
        if (lastEnd_ <= hold->acknowledged_ && now < hold->answerBy_) {
            ++hold;
            continue;
        }
        while (!ended_.empty() && ended_.front().as_array().front().to_number<std::uint64_t>() <= hold->acknowledged_)
            ended_.erase(ended_.begin());
        json::array running;
        for (const auto& [name, run] : running_) {
            auto percent = std::min<std::int64_t>(99, 100 * (now - run.startedAt_) / run.length_);
            running.push_back(json::array { name.first, name.second, "", percent, run.milliCores_ });
        }
        json::array ended(ended_.begin(), ended_.begin() + static_cast<std::ptrdiff_t>(std::min(ended_.size(), maxListedEnds)));
        auto respond = hold->respond_;
        hold = waitingHolds_.erase(hold);
        respondWith(respond, 200, { { "running", std::move(running) }, { "finished", std::move(ended) } });
    }
}

void WorkerStandIn::advance()
{
    auto now = steady_clock::now();
    bool isLeaseOver = clock() > leaseUntil_;
    std::vector<std::pair<RunName, const char*>> over;
    for (const auto& [name, run] : running_) {
        if (now - run.startedAt_ >= run.length_)
            over.emplace_back(name, "done");
        else if (isLeaseOver)
            over.emplace_back(name, "lapsed");
        else if (run.stopsAt_ && now >= *run.stopsAt_)
            over.emplace_back(name, "stopped");
    }
    for (const auto& [name, how] : over)
        finish(name, how);
}

void WorkerStandIn::finish(const RunName& name, const char* how)
{
    running_.erase(name);
    ended_.push_back(json::array { ++lastEnd_, name.first, name.second, how, "" });
    record("end", name, how);
}

void WorkerStandIn::record(const char* what, const RunName& name, const std::string& detail)
{
    double seconds = std::chrono::duration<double>(steady_clock::now().time_since_epoch()).count();
    record_ << fmt::format("{:.6f} {} {} {} {} {}", seconds, settings_.id_, what, name.first, name.second, detail) << std::endl;
}

std::string WorkerStandIn::makeHeartbeat()
{
    std::vector<std::string> labels;
    boost::algorithm::split(labels, settings_.labels_, boost::algorithm::is_any_of(","));
    json::array labelList;
    for (const auto& label : labels)
        labelList.emplace_back(label);
    json::object capacity { { "cpu", settings_.milliCores_ }, { "mem_mb", settings_.memoryMegabytes_ }, { "gpu", 0 } };
    json::object body { { "service", settings_.service_ }, { "address", settings_.address_ }, { "zone", "cl-centro-a" }, { "version", "v1" }, { "slots", 8 },
        { "state", "ready" }, { "cold_left_ms", 0 }, { "capacity", capacity }, { "labels", labelList }, { "clock_ms", clock() }, { "seq", ++sequence_ }, { "born", born_ } };
    return json::serialize(body);
}

boost::asio::awaitable<void> WorkerStandIn::sendHeartbeats()
{
    boost::asio::steady_timer pause(context_);
    while (true) {
        auto exchange = co_await control_.exchange({ .path_ = "/lagoonpick/instances/" + settings_.id_ + "/heartbeat", .idempotencyKey_ = {}, .body_ = makeHeartbeat() }, heartbeatTimeout);
        bool isAcknowledged = exchange.stage_ == ExchangeStage::Answered && exchange.status_ == 200;
        pause.expires_after(isAcknowledged ? milliseconds(settings_.heartbeatMs_) : heartbeatRetryDelay);
        co_await pause.async_wait(boost::asio::use_awaitable);
    }
}

void WorkerStandIn::scheduleTick()
{
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        advance();
        answerHolds();
        scheduleTick();
    });
}

} // namespace Lagoonpick::Review
