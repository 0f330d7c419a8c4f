#include "TargetStandIn.h"

#include "Clock.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <utility>

namespace Review {

namespace json = boost::json;

namespace {

constexpr std::int64_t maxHoldMs = 1000;
constexpr std::int64_t tickMs = 2;
constexpr std::size_t maxListedEnds = 500;
constexpr std::int64_t heartbeatTimeoutMs = 1000;
constexpr std::int64_t heartbeatRetryMs = 100;

/// The number that follows `name=` in a task's text.
std::int64_t numberIn(const std::string& text, const std::string& name, std::int64_t defaultValue)
{
    auto position = text.find(name + "=");
    return position == std::string::npos ? defaultValue : std::stoll(text.substr(position + name.size() + 1));
}

std::int64_t numberOf(const json::object& body, std::string_view name)
{
    return body.contains(name) ? body.at(name).to_number<std::int64_t>() : 0;
}

} // namespace

TargetStandIn::TargetStandIn(TargetSettings settings, Record& record)
    : settings_(std::move(settings))
    , record_(record)
    , startedAt_(nowMs())
    , bornMs_(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , server_(settings_.app_, [this](const Request& request) { return handle(request); })
{
    std::thread([this] {
        while (true) {
            sleepUntilMs(nowMs() + tickMs);
            std::lock_guard lock(mutex_);
            advance();
        }
    }).detach();
    std::thread([this] { sendHeartbeats(); }).detach();
}

std::int64_t TargetStandIn::clock() const
{
    return nowMs() - startedAt_;
}

std::vector<RunSpan> TargetStandIn::runs()
{
    std::lock_guard lock(mutex_);
    return spans_;
}

void TargetStandIn::sendHeartbeats()
{
    std::int64_t sequence = 0;
    while (true) {
        json::object body { { "service", settings_.service_ }, { "address", settings_.app_.text() }, { "zone", settings_.zone_ }, { "version", "v1" },
            { "slots", 8 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "capacity", json::object { { "cpu", settings_.milliCores_ }, { "mem_mb", 131'072 }, { "gpu", 0 } } },
            { "labels", json::array { "a", "r1-1" } }, { "clock_ms", clock() }, { "seq", ++sequence }, { "born", bornMs_ } };
        auto reply = call(settings_.control_, "POST", "/lagoonpick/instances/" + settings_.id_ + "/heartbeat", json::serialize(body), "", heartbeatTimeoutMs);
        sleepUntilMs(nowMs() + (reply.status_ == 200 ? settings_.heartbeatMs_ : heartbeatRetryMs));
    }
}

Response TargetStandIn::handle(const Request& request)
{
    auto expected = request.headers_.find("lagoonpick-expect-instance");
    if (expected != request.headers_.end() && expected->second != settings_.id_)
        return { .status_ = 421 };
    if (request.path_ == "/lagoonpick/run-start")
        return start(request.body_);
    if (request.path_ == "/lagoonpick/run-stop")
        return stop(request.body_);
    if (request.path_ == "/lagoonpick/hold")
        return hold(request.body_);
    return { .status_ = request.path_ == "/health" ? 200 : 404 };
}

Response TargetStandIn::refuse(const std::string& reason) const
{
    return { .status_ = 409, .body_ = json::serialize(json::object { { "clock_ms", clock() }, { "reason", reason } }) };
}

bool TargetStandIn::isFenced(std::int64_t token)
{
    if (token < fencingToken_)
        return true;
    fencingToken_ = token;
    return false;
}

void TargetStandIn::extendLease(std::int64_t deadline)
{
    leaseUntil_ = std::max(leaseUntil_, std::min(deadline, clock() + maxHoldMs));
}

std::int64_t TargetStandIn::usedMilliCores() const
{
    std::int64_t used = 0;
    for (const auto& [name, run] : running_)
        used += run.milliCores_;
    return used;
}

Response TargetStandIn::start(const std::string& text)
{
    auto body = json::parse(text).as_object();
    std::lock_guard lock(mutex_);
    advance();
    Name name { std::string(body.at("task").as_string()), numberOf(body, "run") };
    std::string spec(body.at("spec").as_string());
    auto deadline = numberOf(body, "deadline_ms");
    if (isFenced(numberOf(body, "fencing_token")))
        return refuse("fence");
    if (deadline <= clock())
        return refuse("late");
    extendLease(deadline);
    auto highest = highest_.find(name.first);
    if (!running_.contains(name)) {
        if (highest != highest_.end() && name.second <= highest->second)
            return refuse("old");
        Running run { numberIn(spec, "work_ms", 50), numberIn(spec, "cpu", 1000), nowMs(), spans_.size() };
        if (usedMilliCores() + run.milliCores_ > settings_.milliCores_)
            return refuse("room");
        running_[name] = run;
        spans_.push_back({ name.first, name.second, settings_.id_, run.beganAt_, 0, {} });
        record_.write("began " + name.first + " run " + std::to_string(name.second) + " on " + settings_.id_);
    }
    return { .body_ = json::serialize(json::object { { "clock_ms", clock() } }) };
}

Response TargetStandIn::stop(const std::string& text)
{
    auto body = json::parse(text).as_object();
    std::lock_guard lock(mutex_);
    advance();
    Name name { std::string(body.at("task").as_string()), numberOf(body, "run") };
    if (isFenced(numberOf(body, "fencing_token")))
        return refuse("fence");
    highest_[name.first] = std::max(highest_[name.first], name.second);
    if (running_.contains(name))
        finish(name, "stopped");
    return { .body_ = json::serialize(json::object { { "clock_ms", clock() } }) };
}

Response TargetStandIn::hold(const std::string& text)
{
    auto body = json::parse(text).as_object();
    std::unique_lock lock(mutex_);
    advance();
    if (isFenced(numberOf(body, "fencing_token")))
        return refuse("fence");
    if (body.contains("deadline_ms"))
        extendLease(numberOf(body, "deadline_ms"));
    auto seen = numberOf(body, "ack_seq");
    std::erase_if(ends_, [seen](const End& end) { return end.number_ <= seen; });
    ended_.wait_for(lock, std::chrono::milliseconds(numberOf(body, "wait_ms")), [this] { return !ends_.empty(); });
    json::array running;
    for (const auto& [name, run] : running_) {
        auto percent = std::min<std::int64_t>((nowMs() - run.beganAt_) * 100 / std::max<std::int64_t>(run.workMs_, 1), 99);
        running.push_back(json::array { name.first, name.second, "", percent, run.milliCores_ });
    }
    json::array finished;
    for (const auto& end : ends_) {
        if (finished.size() < maxListedEnds)
            finished.push_back(json::array { end.number_, end.name_.first, end.name_.second, end.how_, "" });
    }
    return { .body_ = json::serialize(json::object { { "clock_ms", clock() }, { "born", bornMs_ }, { "running", running }, { "finished", finished } }) };
}

void TargetStandIn::finish(const Name& name, const std::string& how)
{
    auto found = running_.find(name);
    RunSpan& span = spans_[found->second.span_];
    span.endedAt_ = nowMs();
    span.end_ = how;
    running_.erase(found);
    highest_[name.first] = std::max(highest_[name.first], name.second);
    ends_.push_back({ ++lastEnd_, name, how });
    record_.write("ended " + name.first + " run " + std::to_string(name.second) + " on " + settings_.id_ + " " + how);
    ended_.notify_all();
}

/// Ends what has done its work, and everything if the lease is over.
void TargetStandIn::advance()
{
    std::vector<std::pair<Name, std::string>> over;
    for (const auto& [name, run] : running_) {
        if (nowMs() - run.beganAt_ >= run.workMs_)
            over.emplace_back(name, "done");
        else if (clock() > leaseUntil_)
            over.emplace_back(name, "lapsed");
    }
    for (const auto& [name, how] : over)
        finish(name, how);
}

} // namespace Review
