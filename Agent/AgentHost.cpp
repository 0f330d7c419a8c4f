#include "Agent/AgentHost.h"

#include "Agent/AgentMetrics.h"
#include "Lagoonpick/Core/Underlying.h"
#include "Lagoonpick/Dispatch/HttpStatus.h"
#include "Lagoonpick/Observability/Log.h"
#include "Lagoonpick/Transport/Spawn.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace Lagoonpick {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Minimum duration of a drain, so that the heartbeat that reports the drain reaches every entry.
constexpr Duration minDrainTime = std::chrono::milliseconds(500);

TargetAnswer toTargetAnswer(ExchangeStage stage)
{
    switch (stage) {
    case ExchangeStage::NotWritten:
        return TargetAnswer::NeverWritten;
    case ExchangeStage::Written:
        return TargetAnswer::Ambiguous;
    case ExchangeStage::Answered:
        return TargetAnswer::Answered;
    }
    return TargetAnswer::Ambiguous;
}

Registration makeRegistration(const AgentHostSettings& settings, Incarnation incarnation)
{
    return { .target_ = settings.agent_.name_, .service_ = settings.agent_.service_, .availabilityZone_ = settings.agent_.availabilityZone_, .address_ = settings.advertisedAddress_, .agent_ = incarnation, .registeredAt_ = {}, .ledgerLostAt_ = {} };
}

} // namespace

AgentHost::AgentHost(asio::io_context& context, const AgentHostSettings& settings, Incarnation incarnation, std::uint64_t seed)
    : context_(context)
    , settings_(settings)
    , core_(settings.agent_, incarnation)
    , platform_(context, settings.platformAddress_, settings.platformTimeout_)
    , registrar_(context, platform_, makeRegistration(settings, incarnation))
    , target_(context, settings.targetAddress_, settings.maxAnswerBytes_)
    , links_(context, settings.links_,
          { .onOpened_ = [this](LinkId link) { core_.linkOpened(clock_.now(), link); loop_.scheduleTick(); },
              .onClosed_ = [this](LinkId link) { core_.linkClosed(link); loop_.scheduleTick(); },
              .onReceived_ = [this](LinkId link, const std::vector<Wire::Message>& messages) {
                  for (const auto& message : messages)
                      core_.receive(clock_.now(), link, message);
                  loop_.scheduleTick(); } },
          seed)
    , http_(context, settings.http_, [this](const HttpRequest& request, const HttpServer::Respond& respond) { handleDebug(request, respond); })
    , loop_(context, { .onTick_ = [this] { tick(); }, .onShutdown_ = [this] { beginShutdown(); }, .onDump_ = [this] { Log::info(dumpState()); } })
{
}

std::string AgentHost::start()
{
    auto fault = links_.listen(settings_.address_);
    if (fault.empty())
        fault = http_.listen(settings_.debugAddress_);
    if (!fault.empty())
        return fault;
    spawn(context_, enroll(), "registration");
    loop_.start();
    Log::info("agent of " + settings_.agent_.name_ + " started as incarnation " + core_.incarnation().toString());
    return {};
}

asio::awaitable<void> AgentHost::enroll()
{
    auto fenced = co_await registrar_.enroll([this] { return clock_.now(); });
    core_.becomeReady(registrar_.generation(), fenced);
    Log::info("registered");
}

void AgentHost::handleDebug(const HttpRequest& request, const HttpServer::Respond& respond)
{
    if (request.path_ == "/debug/state")
        respond({ .body_ = dumpState(), .stream_ = {} });
    else if (request.path_ == "/metrics")
        respond({ .contentType_ = "text/plain; version=0.0.4", .body_ = writeMetrics(core_), .stream_ = {} });
    else
        respond({ .status_ = HttpStatus::notFound, .body_ = "{}", .stream_ = {} });
}

asio::awaitable<void> AgentHost::runTask(TargetStart start)
{
    OutgoingRequest request { .path_ = "/" + start.service_, .contentType_ = "application/octet-stream", .idempotencyKey_ = fmt::format("{}/{}", start.key_.submission_.toString(), start.key_.task_), .body_ = std::move(start.payload_) };
    auto timeout = std::chrono::milliseconds(start.timeoutMilliseconds_);
    Exchange exchange = co_await target_.exchange(std::move(request), timeout);
    core_.targetEnded(clock_.now(), { .key_ = start.key_, .answer_ = toTargetAnswer(exchange.stage_), .status_ = exchange.status_, .body_ = std::move(exchange.body_) });
    loop_.scheduleTick();
}

void AgentHost::tick()
{
    core_.tick(clock_.now());
    applyEffects();
    if (core_.isDraining())
        continueShutdown();
}

void AgentHost::applyEffects()
{
    AgentEffects effects = core_.takeEffects();
    // A task's audit line is written before the task starts.
    for (const auto& record : effects.audit_)
        Log::audit(record);
    for (auto& start : effects.starts_)
        spawn(context_, runTask(std::move(start)), "task");
    links_.send(std::move(effects.messages_));
    for (auto link : effects.linksToClose_)
        links_.close(link);
}

void AgentHost::beginShutdown()
{
    if (core_.isDraining())
        return;
    Log::info("shutting down: new starts are refused");
    core_.beginDrain();
    drainStartedAt_ = clock_.now();
    shutdownDeadline_ = drainStartedAt_ + settings_.shutdownTimeout_;
    loop_.scheduleTick();
}

void AgentHost::continueShutdown()
{
    Time now = clock_.now();
    bool isDone = core_.isDrained() && now >= drainStartedAt_ + minDrainTime;
    if (!isDone && now < shutdownDeadline_)
        return;
    if (!isDone)
        exitCode_ = ExitCode::ShutdownTimeout;
    isFinished_ = true;
    loop_.stop();
    Log::info("exiting");
    http_.stopAccepting();
    links_.closeAll();
    auto leave = [](AgentHost& host, Time now) -> asio::awaitable<void> {
        co_await host.registrar_.withdraw(now);
        host.context_.stop();
    };
    spawn(context_, leave(*this, now), "end of the agent");
}

std::string AgentHost::dumpState() const
{
    Wire::Load load = core_.load();
    json::object state { { "role", "agent" }, { "target", settings_.agent_.name_ }, { "service", settings_.agent_.service_ },
        { "incarnation", core_.incarnation().toString() }, { "registered", core_.isReady() }, { "draining", core_.isDraining() },
        { "slots", load.slots_ }, { "running", load.running_ }, { "queued", load.queued_ }, { "ledger_rows", core_.ledger().size() },
        { "links", core_.linkCount() }, { "link_bytes", links_.bytesSent() + links_.bytesReceived() }, { "fenced_entries", core_.fencedCount() } };
    return json::serialize(state);
}

} // namespace Lagoonpick
