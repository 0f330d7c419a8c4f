#include "StandIns/UsersTargetStandIn.h"

#include "Lagoonpick/Transport/Spawn.h"

#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace Lagoonpick::StandIns {

namespace json = boost::json;

namespace {

constexpr auto tickInterval = std::chrono::milliseconds(2);
constexpr auto heartbeatInterval = std::chrono::milliseconds(300);
constexpr auto heartbeatTimeout = std::chrono::milliseconds(500);
constexpr auto lateStartDelay = std::chrono::seconds(2);
constexpr std::uint64_t maxBodyBytes = 65'536;

/// Returns the number that follows `name=` in a payload like `work_ms=50 cpu=1000`.
std::uint32_t numberIn(const std::string& payload, const std::string& name, std::uint32_t defaultValue)
{
    auto position = payload.find(name + "=");
    return position == std::string::npos ? defaultValue : static_cast<std::uint32_t>(std::stoul("0" + payload.substr(position + name.size() + 1)));
}

std::string_view reasonOf(CallAnswer answer)
{
    switch (answer) {
    case CallAnswer::Fenced:
        return "fence";
    case CallAnswer::StaleStartNumber:
        return "old";
    case CallAnswer::Late:
        return "late";
    default:
        return "room";
    }
}

HttpResponse toResponse(const CallReply& reply)
{
    json::object body { { "clock_ms", reply.clock_.value_or(0) } };
    if (reply.answer_ == CallAnswer::Accepted)
        return { .body_ = json::serialize(body), .stream_ = {} };
    body["reason"] = reasonOf(reply.answer_);
    return { .status_ = 409, .body_ = json::serialize(body), .stream_ = {} };
}

/// Without lists in braces: inlined into the loop of a coroutine, clang 14 fills their memory only in the first round.
std::string encode(const TargetHeartbeat& heartbeat, const std::string& address)
{
    json::array labels;
    labels.emplace_back("a");
    labels.emplace_back("rack-1");
    json::object capacity;
    capacity["cpu"] = heartbeat.capacity_.milliCores_;
    capacity["mem_mb"] = heartbeat.capacity_.memoryMegabytes_;
    capacity["gpu"] = 0;
    json::object body;
    body["service"] = "service";
    body["address"] = address;
    body["zone"] = "zone-a";
    body["version"] = "v1";
    body["slots"] = 8;
    body["state"] = heartbeat.isDraining_ ? "draining" : "ready";
    body["cold_left_ms"] = 0;
    body["capacity"] = std::move(capacity);
    body["labels"] = std::move(labels);
    body["seq"] = heartbeat.sequence_;
    body["born"] = heartbeat.incarnation_.startedAt_;
    return json::serialize(body);
}

std::string_view endName(Wire::RunEnd end)
{
    if (end == Wire::RunEnd::Done)
        return "done";
    return end == Wire::RunEnd::Failed ? "failed" : "stopped";
}

} // namespace

UsersTargetStandIn::UsersTargetStandIn(boost::asio::io_context& context, UsersTargetSettings settings)
    : context_(context)
    , settings_(std::move(settings))
    , http_(context, {}, [this](const HttpRequest& request, const HttpServer::Respond& respond) { handle(request, respond); })
    , controlClient_(context, settings_.controlAddress_, maxBodyBytes)
    , target_(settings_.id_, { settings_.milliCores_, settings_.milliCores_, 0 }, 1,
          { [this](const RunName& name) { record("began", name, "-"); }, [this](const RunName& name, Wire::RunEnd end) { record("ended", name, endName(end)); },
              [this](const RunName& name) {
                  const std::string& payload = payloads_[name.task_];
                  return LeasedTarget::Running { name, { numberIn(payload, "cpu", 1000), 1, 0 }, std::chrono::milliseconds(numberIn(payload, "work_ms", 50)) };
              } })
    , recordStream_(settings_.recordFile_, std::ios::app)
    , advancedTo_(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()))
    , timer_(context)
{
    target_.restart(advancedTo_);
}

Time UsersTargetStandIn::now()
{
    Time time(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
    for (; advancedTo_ + tickInterval < time; advancedTo_ += tickInterval)
        target_.advance(advancedTo_);
    return advancedTo_ = time;
}

std::string UsersTargetStandIn::listen()
{
    scheduleTick();
    spawn(context_, sendHeartbeats(), "heartbeats of the target stand-in");
    return http_.listen(settings_.address_);
}

void UsersTargetStandIn::record(const char* what, const RunName& name, std::string_view end)
{
    recordStream_ << advancedTo_.time_since_epoch().count() << ' ' << what << ' ' << name.task_ << ' ' << name.number_ << ' ' << end << ' ' << settings_.id_ << std::endl;
}

bool UsersTargetStandIn::handleControlRequest(const HttpRequest& request, const HttpServer::Respond& respond)
{
    if (request.path_ == "/standin/drain")
        target_.setDraining();
    else if (request.path_ == "/standin/fail")
        target_.setFailing(request.body_ == "on");
    else if (request.path_ == "/standin/late")
        isNextStartLate_ = true;
    else if (request.path_ == "/standin/restart")
        restart();
    else
        return false;
    respond({ .body_ = "{}", .stream_ = {} });
    return true;
}

void UsersTargetStandIn::restart()
{
    target_.restart(now());
    waitingLeases_.clear();
}

void UsersTargetStandIn::handle(const HttpRequest& request, const HttpServer::Respond& respond)
{
    target_.advance(now());
    if (handleControlRequest(request, respond))
        return;
    if (!target_.isMeant(std::string(findHeader(request.headers_, "Lagoonpick-Expect-Instance")))) {
        respond({ .status_ = 421, .body_ = "{}", .stream_ = {} });
        return;
    }
    boost::system::error_code error;
    auto value = json::parse(request.body_, error);
    if (error || !value.is_object()) {
        respond({ .status_ = 400, .body_ = "{}", .stream_ = {} });
        return;
    }
    const auto& body = value.get_object();
    auto number = [&body](std::string_view name) { return body.contains(name) ? body.at(name).to_number<std::int64_t>() : 0; };
    auto text = [&body](std::string_view name) { return body.contains(name) ? std::string(body.at(name).as_string()) : std::string(); };
    auto token = static_cast<std::uint64_t>(number("fencing_token"));
    RunName name { text("task"), static_cast<std::uint32_t>(number("run")) };
    if (request.path_ == "/lagoonpick/run-start") {
        payloads_[name.task_] = text("spec");
        StartCall start { 0, name, text("spec"), number("deadline_ms"), token, {} };
        if (std::exchange(isNextStartLate_, false)) {
            auto timer = std::make_shared<boost::asio::steady_timer>(context_, lateStartDelay);
            timer->async_wait([this, timer, start, incarnation = target_.incarnation()](const boost::system::error_code&) {
                if (target_.incarnation() == incarnation)
                    target_.receive(start, now(), true);
            });
            return;
        }
        respond(toResponse(target_.receive(start, now(), false)));
    } else if (request.path_ == "/lagoonpick/run-stop") {
        respond(toResponse(target_.receive(StopCall { 0, name, token, {} }, now())));
    } else if (request.path_ == "/lagoonpick/hold") {
        LeaseCall call { .call_ = 0, .leaseUntil_ = {}, .fencingToken_ = token, .highestSeenEnd_ = static_cast<std::uint64_t>(number("ack_seq")), .wait_ = {}, .expectedTarget_ = {} };
        if (body.contains("deadline_ms"))
            call.leaseUntil_ = number("deadline_ms");
        target_.receive(call, now());
        waitingLeases_.push_back({ call, now() + std::chrono::milliseconds(number("wait_ms")), respond });
        answerLeases();
    } else {
        respond({ .status_ = 404, .body_ = "{}", .stream_ = {} });
    }
}

void UsersTargetStandIn::answerLeases()
{
    for (auto lease = waitingLeases_.begin(); lease != waitingLeases_.end();) {
        if (!target_.hasNewEnds(lease->call_.highestSeenEnd_) && now() < lease->answerBy_) {
            ++lease;
            continue;
        }
        auto reply = target_.receive(LeaseCall { .fencingToken_ = lease->call_.fencingToken_, .highestSeenEnd_ = lease->call_.highestSeenEnd_ }, now());
        auto respond = lease->respond_;
        lease = waitingLeases_.erase(lease);
        if (reply.answer_ != CallAnswer::Accepted) {
            respond(toResponse({ 0, reply.answer_, reply.clock_ }));
            continue;
        }
        json::array running;
        for (const auto& row : reply.running_)
            running.push_back(json::array { row.name_.task_, row.name_.number_, "", row.percent_ });
        json::array ended;
        for (const auto& row : reply.ended_)
            ended.push_back(json::array { row.number_, row.name_.task_, row.name_.number_, endName(row.end_), "" });
        respond({ .body_ = json::serialize(json::object { { "clock_ms", reply.clock_.value_or(0) }, { "born", target_.heartbeat().incarnation_.startedAt_ }, { "running", running }, { "finished", ended } }), .stream_ = {} });
    }
}

boost::asio::awaitable<void> UsersTargetStandIn::sendHeartbeats()
{
    boost::asio::steady_timer pause(context_);
    while (true) {
        auto heartbeat = target_.heartbeat();
        co_await controlClient_.exchange({ .path_ = "/lagoonpick/instances/" + settings_.id_ + "/heartbeat", .idempotencyKey_ = {}, .body_ = encode(heartbeat, settings_.address_) }, heartbeatTimeout);
        pause.expires_after(heartbeatInterval);
        co_await pause.async_wait(boost::asio::use_awaitable);
    }
}

void UsersTargetStandIn::scheduleTick()
{
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        target_.advance(now());
        answerLeases();
        scheduleTick();
    });
}

} // namespace Lagoonpick::StandIns
