#include "Entry/EntryHost.h"

#include "Entry/EntryMetrics.h"
#include "Lagoonpick/Core/Underlying.h"
#include "Lagoonpick/Dispatch/HttpStatus.h"
#include "Lagoonpick/Observability/Log.h"
#include "Lagoonpick/Transport/Spawn.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace Lagoonpick {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration flushInterval = std::chrono::milliseconds(20);

/// How long an entry that leaves waits until the entries' table lists it as fenced.
constexpr Duration leaveTimeout = std::chrono::seconds(3);

/// How long a fenced entry drains before it exits.
constexpr Duration fencedDrainTimeout = std::chrono::seconds(2);

/// The largest number of waits of `flushInterval` for the last responses to be written: 1 s in all.
constexpr int maxFlushWaits = 50;

HttpResponse toResponse(Reply& reply)
{
    HttpResponse response { .status_ = reply.status_, .retryAfterSeconds_ = reply.retryAfterSeconds_, .body_ = std::move(reply.body_), .stream_ = {} };
    if (response.status_ >= HttpStatus::badRequest)
        response.contentType_ = "application/problem+json";
    return response;
}

} // namespace

EntryHost::EntryHost(asio::io_context& context, const EntryHostSettings& settings, Incarnation incarnation, std::uint64_t seed)
    : context_(context)
    , settings_(settings)
    , core_(settings.entry_, incarnation, seed)
    , platform_(context, settings.platformAddress_, settings.platformTimeout_)
    , watcher_(context, platform_, seed, [this](auto view, bool isFresh) { viewChanged(std::move(view), isFresh); })
    , leaseManager_(context, platform_, PlatformKeys::entries + incarnation.toString(), settings.entry_.peerAddress_, settings.entry_.leaseTtl_)
    , links_(context, settings.links_,
          { .onOpened_ = [this](LinkId link) { core_.linkOpened(clock_.now(), link); loop_.scheduleTick(); },
              .onClosed_ = [this](LinkId link) { core_.linkClosed(link); loop_.scheduleTick(); },
              .onReceived_ = [this](LinkId link, const std::vector<Wire::Message>& messages) {
                  for (const auto& message : messages)
                      core_.receive(clock_.now(), link, message);
                  loop_.scheduleTick(); } },
          seed)
    , http_(context, settings.http_, [this](HttpRequest request, HttpServer::Respond respond) { handle(std::move(request), std::move(respond)); })
    , loop_(context, { .onTick_ = [this] { tick(); }, .onShutdown_ = [this] { beginShutdown(); }, .onDump_ = [this] { Log::info(dumpState()); } })
{
}

std::string EntryHost::start()
{
    auto fault = links_.listen(settings_.entry_.peerAddress_);
    if (fault.empty())
        fault = http_.listen(settings_.callerAddress_);
    if (!fault.empty())
        return fault;
    spawn(context_, watcher_.run(), "platform watch");
    spawn(context_, leaseManager_.run(), "lease of the entry");
    loop_.start();
    Log::info("entry " + settings_.entry_.name_ + " started as incarnation " + core_.incarnation().toString());
    return {};
}

void EntryHost::handle(HttpRequest request, HttpServer::Respond respond)
{
    std::visit([&](const auto& call) { handle(call, request, std::move(respond)); }, readCall(request));
    loop_.scheduleTick();
}

RequestId EntryHost::addResponder(HttpServer::Respond respond)
{
    responders_.emplace(++lastRequestId_, std::move(respond));
    return RequestId(lastRequestId_);
}

void EntryHost::handle(const IssueCall& call, HttpRequest&, HttpServer::Respond respond)
{
    core_.issue(clock_.now(), addResponder(std::move(respond)), call.count_);
}

void EntryHost::handle(const JobCall& call, HttpRequest& request, HttpServer::Respond respond)
{
    if (responders_.size() >= settings_.entry_.maxRequests_) {
        handle(BadCall { HttpStatus::serviceUnavailable, "overloaded", "too many requests are waiting" }, request, respond);
        return;
    }
    Duration wait = settings_.entry_.maxWait_;
    if (call.waitMilliseconds_)
        wait = std::min(wait, Duration(std::chrono::milliseconds(*call.waitMilliseconds_)));
    Time now = clock_.now();
    core_.handle(now, { .request_ = addResponder(std::move(respond)), .kind_ = call.kind_, .submission_ = call.submission_, .until_ = now + wait, .body_ = std::move(request.body_) });
}

void EntryHost::handle(const StateCall&, HttpRequest&, const HttpServer::Respond& respond)
{
    respond({ .body_ = dumpState(), .stream_ = {} });
}

void EntryHost::handle(const MetricsCall&, HttpRequest&, const HttpServer::Respond& respond)
{
    respond({ .contentType_ = "text/plain; version=0.0.4", .body_ = writeMetrics(core_), .stream_ = {} });
}

void EntryHost::handle(const HealthCall&, HttpRequest&, const HttpServer::Respond& respond)
{
    bool isReady = !core_.isDraining() && !core_.isFenced() && core_.home().targets().size();
    respond({ .status_ = isReady ? 200U : HttpStatus::serviceUnavailable, .body_ = isReady ? R"({"ready":true})" : R"({"ready":false})", .stream_ = {} });
}

void EntryHost::handle(const BadCall& call, HttpRequest&, const HttpServer::Respond& respond)
{
    Reply reply = writeProblem({}, { call.status_, call.kind_, call.detail_, RunState::No, RunState::Unknown });
    respond(toResponse(reply));
}

void EntryHost::viewChanged(std::shared_ptr<const PlatformView> view, bool isFresh)
{
    updateLinks(*view);
    core_.viewChanged(clock_.now(), std::move(view), isFresh);
    loop_.scheduleTick();
}

void EntryHost::updateLinks(const PlatformView& view)
{
    if (isFinished_)
        return;
    std::vector<std::string> addresses;
    for (const auto& [name, registration] : view.targets_) {
        if (!registration.hasLeft_)
            addresses.push_back(registration.address_);
    }
    // Of two entries, only the one with the smaller incarnation connects, so that there is one link between them.
    for (const auto& member : view.membership_.currentMembers()) {
        if (member.incarnation_ > core_.incarnation())
            addresses.push_back(member.peerAddress_);
    }
    links_.setPeerAddresses(addresses);
}

void EntryHost::tick()
{
    core_.tick(clock_.now());
    applyEffects();
    if (core_.isFenced() && !core_.isDraining()) {
        Log::warning("fenced by the other entries; draining before exit");
        exitCode_ = ExitCode::Fenced;
        core_.beginDrain();
        isLeaving_ = true;
        shutdownDeadline_ = clock_.now() + fencedDrainTimeout;
    }
    if (core_.isDraining())
        continueShutdown();
}

void EntryHost::applyEffects()
{
    EntryEffects effects = core_.takeEffects();
    for (const auto& record : effects.audit_)
        Log::audit(record);
    links_.send(std::move(effects.messages_));
    for (auto& item : effects.replies_)
        reply(item);
    for (auto link : effects.linksToClose_)
        links_.close(link);
    for (auto& item : effects.swaps_)
        startCompareAndSwap(std::move(item));
}

void EntryHost::reply(Reply& item)
{
    auto node = responders_.extract(toUnderlying(item.request_));
    if (!node.empty())
        node.mapped()(toResponse(item));
}

void EntryHost::startCompareAndSwap(CompareAndSwap request)
{
    auto run = [](EntryHost& host, CompareAndSwap request) -> asio::awaitable<void> {
        WriteOutcome outcome = co_await host.platform_.compareAndSwap(std::move(request));
        host.core_.swapEnded(host.clock_.now(), outcome);
        host.loop_.scheduleTick();
    };
    spawn(context_, run(*this, std::move(request)), "compare-and-swap");
}

void EntryHost::beginShutdown()
{
    if (core_.isDraining())
        return;
    Log::info("shutting down: new submissions are refused");
    core_.beginDrain();
    shutdownDeadline_ = clock_.now() + settings_.shutdownTimeout_;
    loop_.scheduleTick();
}

void EntryHost::continueShutdown()
{
    Time now = clock_.now();
    bool isDrained = core_.isDrained() && responders_.empty() && !http_.busyConnections();
    if (isLeaving_) {
        if (isDrained && core_.isFenced())
            finish(exitCode_);
        else if (now >= shutdownDeadline_)
            finish(exitCode_);
        return;
    }
    if (!isDrained && now < shutdownDeadline_)
        return;
    if (!isDrained)
        exitCode_ = ExitCode::ShutdownTimeout;
    isLeaving_ = true;
    shutdownDeadline_ = now + leaveTimeout;
    core_.leave();
}

void EntryHost::finish(ExitCode code)
{
    exitCode_ = code;
    core_.abandonRequests();
    applyEffects();
    isFinished_ = true;
    loop_.stop();
    Log::info("exiting");
    http_.stopAccepting();
    links_.closeAll();
    watcher_.stop();
    auto run = [](EntryHost& host) -> asio::awaitable<void> {
        co_await host.leaseManager_.stop();
        // Let the last responses be written.
        asio::steady_timer timer(host.context_);
        for (int i = 0; i < maxFlushWaits && host.http_.busyConnections(); ++i) {
            timer.expires_after(flushInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
        host.context_.stop();
    };
    spawn(context_, run(*this), "end of the entry");
}

std::string EntryHost::dumpState() const
{
    const auto& view = core_.view();
    json::array targets;
    for (TargetIndex i = 0; i < core_.home().targets().size(); ++i) {
        const Target& target = core_.home().targets().at(i);
        const TargetLoad& load = core_.home().targets().loadOf(i);
        targets.push_back(json::object { { "name", target.name_ }, { "service", target.service_ }, { "zone", target.availabilityZone_ },
            { "agent", target.agent_.toString() }, { "connected", target.link_.has_value() }, { "draining", target.load_.isDraining_ },
            { "slots", target.load_.slots_ }, { "running", target.load_.running_ }, { "queued", target.load_.queued_ },
            { "outstanding", load.outstanding_ }, { "slowness", load.slowdown_ } });
    }
    json::array members;
    for (const auto& member : view.membership_.currentMembers())
        members.push_back(json::object { { "name", member.name_ }, { "incarnation", member.incarnation_.toString() }, { "address", member.peerAddress_ } });
    json::array fenced;
    for (const auto& entry : view.membership_.fenced_)
        fenced.push_back(json::value(entry.incarnation_.toString()));
    json::object messages;
    for (std::size_t kind = 0; kind < Wire::messageKindCount; ++kind)
        messages[Wire::nameOfKind(kind)] = core_.messageCounts()[kind];
    json::object state { { "role", "entry" }, { "name", settings_.entry_.name_ }, { "incarnation", core_.incarnation().toString() },
        { "draining", core_.isDraining() }, { "fenced", core_.isFenced() }, { "jobs", core_.home().jobs().size() },
        { "tombstones", core_.home().tombstoneCount() }, { "tasks_pending", core_.home().tasksPending() },
        { "tasks_outstanding", core_.home().tasksOutstanding() }, { "tasks_sent", core_.home().tasksSent() },
        { "requests_waiting", responders_.size() }, { "forwards", core_.forwardCount() }, { "settlements", core_.settlementCount() },
        { "links", core_.linkCount() }, { "connections_busy", http_.busyConnections() }, { "link_bytes", links_.bytesSent() + links_.bytesReceived() }, { "messages", std::move(messages) },
        { "platform", json::object { { "revision", view.revision_ }, { "fresh", core_.isViewFresh() }, { "horizon_ms", toUnixMilliseconds(view.membership_.horizon_) }, { "epochs", view.membership_.epochs_.size() } } },
        { "members", std::move(members) }, { "fenced_entries", std::move(fenced) }, { "targets", std::move(targets) } };
    return json::serialize(state);
}

} // namespace Lagoonpick
