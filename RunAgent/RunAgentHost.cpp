#include "RunAgent/RunAgentHost.h"

#include "Lagoonpick/Transport/RunLinks.h"
#include "Lagoonpick/Transport/Spawn.h"

#include <fmt/format.h>

namespace Lagoonpick {

namespace {

constexpr std::size_t maxLogBytes = 65'536;
/// Interval at which the entries to attach to are chosen anew, also while the store is unreachable.
constexpr Duration linkUpdateInterval = std::chrono::milliseconds(500);
/// How long an idle connection to the target is kept: longer than the usual time between starts, so that starts reuse it.
constexpr Duration maxTargetIdleTime = std::chrono::seconds(10);
/// The time limit of a start or a stop. A start takes a few milliseconds; one that takes 35 ms was not accepted, or its
/// answer was lost.
constexpr Duration targetCallTimeout = std::chrono::milliseconds(35);
constexpr std::uint64_t maxTargetBodyBytes = 4'194'304;
/// Two heartbeats of the largest size at a time; about a tenth of the agent's memory.
constexpr std::uint64_t maxHeldHeartbeatBytes = 2 * maxTargetBodyBytes;
/// One response of the store of the largest size (16 MiB), with the spare room of a string that grows by doubling.
constexpr std::uint64_t maxHeldStoreBytes = 33'554'432;
/// What links hold in either direction.
constexpr std::uint64_t maxHeldLinkBytes = 16'777'216;

HttpLimits makeServerLimits()
{
    HttpLimits limits;
    limits.maxConnections_ = 64;
    limits.maxBodyBytes_ = maxTargetBodyBytes;
    limits.maxHeldBytes_ = maxHeldHeartbeatBytes;
    return limits;
}

} // namespace

RunAgentHost::RunAgentHost(boost::asio::io_context& context, RunAgentSettings settings, std::string settingsFile, std::uint64_t seed)
    : context_(context)
    , settings_(std::move(settings))
    , settingsFile_(std::move(settingsFile), readRunAgentSettings, [this](const std::string& fault) { log(LogLine("settings_faulty").text("fault", fault)); })
    , suspensionDetector_(maxSuspension)
    , log_(settings_.run_.name_, maxLogBytes)
    , core_(settings_.run_)
    , links_(context, makeRunLinkLimits(maxHeldLinkBytes),
          makeRunLinkEvents(
              core_, [this] { return beginInput(); }, [this] { loop_.scheduleTick(); },
              [this](const std::string& sender, const Error& fault) { logFault("frame_unreadable", sender, fault.message_); }),
          seed)
    , control_(context, makeServerLimits(), [this](const HttpRequest& request, const HttpServer::Respond& respond) { handleControl(request, respond); })
    , metrics_(context, makeServerLimits(), [this](const HttpRequest& request, const HttpServer::Respond& respond) { handleMetrics(request, respond); })
    , target_(context, settings_.run_.targetAddress_, maxTargetBodyBytes, maxTargetIdleTime)
    , store_(context, settings_.storeAddress_, maxHeldStoreBytes)
    , entryDirectory_(
          context, store_, clock_,
          { [this] { updateEntryLinks(); }, [this](bool isReachable) { log(LogLine(isReachable ? "store_regained" : "store_lost")); },
              [this](const std::string& key) { log(LogLine("entry_unreadable").text("key", key)); } })
    , targetRecordStore_(context, store_, settings_.run_.name_)
    , loop_(context, { [this] { tick(); }, [this] { beginShutdown(); }, [this] { log_.write(clock_.now(), LogLine("state").text("state", dumpState())); }, [this] { reload(); } })
{
}

std::string RunAgentHost::start()
{
    watchPeers();
    beginInput();
    log(LogLine("started").text("availability_zone", settings_.run_.availabilityZone_).text("incarnation", settings_.run_.incarnation_.toString()).number("fencing_token", settings_.run_.fencingToken_));
    auto fault = control_.listen(settings_.run_.controlAddress_);
    if (fault.empty())
        fault = metrics_.listen(settings_.metricsAddress_);
    if (!fault.empty()) {
        log(LogLine("start_failed").text("error", fault));
        log_.flush();
        return fault;
    }
    targetRecordStore_.restore([this](const TargetHeartbeat& restored) {
        log(LogLine("target_restored").text("target", restored.incarnation_.id_).flag("draining", restored.isDraining_));
        core_.restore(restored, beginInput());
        loop_.scheduleTick();
    });
    entryDirectory_.start();
    updateEntryLinks();
    loop_.start();
    return {};
}

void RunAgentHost::reportFailure(const std::string& failure)
{
    log(LogLine("failed").text("error", failure));
    log_.flush();
}

Time RunAgentHost::beginInput()
{
    Time now = clock_.now();
    if (auto suspension = suspensionDetector_.check(now)) {
        core_.processResumed(*suspension, now);
        target_.closeIdle();
    }
    return now;
}

void RunAgentHost::watchPeers()
{
    auto watch = [this](PeerFaults& faults, std::string_view event) {
        faults.setHandler([this, event](PeerFault fault, const std::string& peer) { logFault(event, peer, std::string(nameOf(fault))); });
    };
    watch(control_.faults(), "caller_refused");
    watch(metrics_.faults(), "probe_refused");
    watch(links_.faults(), "link_refused");
    watch(target_.faults(), "target_response_dropped");
    watch(store_.faults(), "store_response_dropped");
}

void RunAgentHost::logFault(std::string_view event, std::string_view sender, const std::string& fault)
{
    Time now = clock_.now();
    if (auto line = faultLog_.makeLine(event, sender, fault, now))
        log_.write(now, *line);
}

void RunAgentHost::handleControl(const HttpRequest& request, const HttpServer::Respond& respond)
{
    constexpr std::uint32_t statusBadRequest = 400;
    constexpr std::uint32_t statusNotFound = 404;
    Time now = beginInput();
    loop_.scheduleTick();
    auto notice = UsersPlatform::decodeNotice(request);
    if (!notice) {
        respond({ .status_ = statusNotFound, .body_ = "{}", .stream_ = {} });
        return;
    }
    if (notice->isDeparture_) {
        core_.handleDeparture(notice->id_, now);
        receiveHeartbeat(core_.target().heartbeat(), respond);
        return;
    }
    auto heartbeat = UsersPlatform::decodeHeartbeat(notice->id_, request.body_);
    if (!heartbeat) {
        logFault("heartbeat_unreadable", notice->id_, heartbeat.error().message_);
        respond({ .status_ = statusBadRequest, .body_ = "{}", .stream_ = {} });
        return;
    }
    receiveHeartbeat(heartbeat.value(), respond);
}

void RunAgentHost::receiveHeartbeat(const TargetHeartbeat& heartbeat, const HttpServer::Respond& respond)
{
    constexpr std::uint32_t statusUnavailable = 503;
    core_.receive(heartbeat, beginInput());
    const TargetHeartbeat& current = core_.target().heartbeat();
    bool isKnown = current.incarnation_ == heartbeat.incarnation_;
    if (heartbeat.isDraining_ && !isKnown) {
        // The target repeats its heartbeat; by then its address has answered.
        log(LogLine("drain_not_acknowledged").text("target", heartbeat.incarnation_.id_).text("why", "another target is known"));
        respond({ .status_ = statusUnavailable, .body_ = "{}", .stream_ = {} });
        return;
    }
    bool mustBeStored = current.isDraining_ && isKnown;
    targetRecordStore_.save(current, [this, respond, mustBeStored](bool isStored) {
        if (mustBeStored && !isStored)
            log(LogLine("drain_not_acknowledged").text("target", core_.target().incarnation().id_).text("why", "the store did not confirm the write of the target's record"));
        respond({ .status_ = mustBeStored && !isStored ? statusUnavailable : 200U, .body_ = "{}", .stream_ = {} });
    });
}

void RunAgentHost::handleMetrics(const HttpRequest& request, const HttpServer::Respond& respond) const
{
    bool wantsState = request.path_ == "/state";
    respond({ .contentType_ = wantsState ? "application/json" : "text/plain; version=0.0.4",
        .body_ = wantsState ? dumpState() : writeRunAgentMetrics(core_, startDurations_, log_, store_, { { "control", &control_.faults() }, { "metrics", &metrics_.faults() }, { "links", &links_.faults() }, { "target", &target_.faults() }, { "store", &store_.faults() } }),
        .stream_ = {} });
}

boost::asio::awaitable<void> RunAgentHost::startRun(StartCall start)
{
    Time sentAt = clock_.now();
    Exchange exchange = co_await target_.exchange(UsersPlatform::encode(start), targetCallTimeout);
    Time now = beginInput();
    startDurations_.add(now - sentAt);
    core_.receiveStartReply(UsersPlatform::decodeCallReply(start.call_, exchange), now);
    loop_.scheduleTick();
}

boost::asio::awaitable<void> RunAgentHost::stopRun(StopCall stop)
{
    Exchange exchange = co_await target_.exchange(UsersPlatform::encode(stop), targetCallTimeout);
    core_.receiveStopReply(UsersPlatform::decodeCallReply(stop.call_, exchange), beginInput());
    loop_.scheduleTick();
}

boost::asio::awaitable<void> RunAgentHost::renewLease(LeaseCall call)
{
    Exchange exchange = co_await target_.exchange(UsersPlatform::encode(call), call.wait_ + settings_.run_.answerTimeout_);
    Time now = beginInput();
    // If a target does not answer, all connections to it may be dead.
    if (exchange.stage_ != ExchangeStage::Answered)
        target_.closeIdle();
    core_.receive(UsersPlatform::decodeLeaseReply(call.call_, exchange), now);
    loop_.scheduleTick();
}

void RunAgentHost::tick()
{
    Time now = beginInput();
    core_.tick(now);
    applyEffects();
    if (now >= nextLinkUpdate_)
        updateEntryLinks();
    if (settingsFile_.isDue(now))
        reload();
    if (shutdownAt_)
        continueShutdown(now);
    log_.flush();
}

void RunAgentHost::applyEffects()
{
    RunAgentEffects effects = core_.takeEffects();
    Time now = clock_.now();
    for (const auto& line : effects.log_)
        log_.write(now, line);
    for (LinkId link : effects.linksToAbort_)
        links_.abort(link);
    links_.send(std::move(effects.messages_));
    for (auto& call : effects.leases_)
        spawn(context_, renewLease(std::move(call)), "renewal of a lease");
    for (auto& stop : effects.stops_)
        spawn(context_, stopRun(std::move(stop)), "stop of a run");
    for (auto& start : effects.starts_)
        spawn(context_, startRun(std::move(start)), "start of a run");
}

void RunAgentHost::updateEntryLinks()
{
    Time now = clock_.now();
    nextLinkUpdate_ = now + linkUpdateInterval;
    auto listed = entryDirectory_.addresses(now);
    std::set<std::string> known(listed.begin(), listed.end());
    for (const auto& seed : settings_.seeds_)
        known.insert(addressOnHostOf(seed, settings_.entryLinkAddress_));
    auto selected = core_.selectEntries(std::move(known), now);
    links_.setPeerAddresses({ selected.begin(), selected.end() });
}

void RunAgentHost::reload()
{
    updateEntryLinks();
    auto settings = settingsFile_.readChanged();
    if (!settings)
        return;
    // Only the seeds can change while the process runs; addresses and times stay as they were at its start.
    settings_.seeds_ = settings->seeds_;
    log(LogLine("settings_reloaded").number("seeds", settings_.seeds_.size()));
}

void RunAgentHost::beginShutdown()
{
    if (shutdownAt_)
        return;
    shutdownAt_ = beginInput();
    log(LogLine("stopping").number("runs", core_.runCount()));
    core_.beginShutdown(*shutdownAt_);
    loop_.scheduleTick();
}

void RunAgentHost::continueShutdown(Time now)
{
    /// Minimum duration of a shutdown, so that the report that this agent accepts no more runs reaches every entry.
    constexpr Duration minShutdownTime = std::chrono::milliseconds(100);
    bool isOver = now - *shutdownAt_ >= settings_.shutdownTimeout_;
    if (!isOver && (!core_.isIdle() || now - *shutdownAt_ < minShutdownTime))
        return;
    log(LogLine("stopped").milliseconds("after_ms", now - *shutdownAt_).number("runs", core_.runCount()));
    log_.flush();
    loop_.stop();
    context_.stop();
}

std::string RunAgentHost::dumpState() const
{
    const TargetHeartbeat& heartbeat = core_.target().heartbeat();
    std::string entries;
    for (const auto& [incarnation, session] : core_.sessions())
        entries += fmt::format("{}{{\"entry\":\"{}\",\"address\":\"{}\",\"linked\":{},\"leaving\":{}}}", entries.empty() ? "" : ",", session.name_, session.address_, session.link_.has_value(), session.leavingSince_.has_value());
    return fmt::format("{{\"agent\":\"{}\",\"target\":\"{}\",\"born_ms\":{},\"draining\":{},\"cold\":{},\"runs\":{},\"configuration\":{},\"evacuation\":{},\"zone_open\":{},\"entries\":[{}]}}", settings_.run_.name_, heartbeat.incarnation_.id_, heartbeat.incarnation_.startedAt_, heartbeat.isDraining_, core_.isTargetCold(clock_.now()), core_.runCount(), core_.configurationVersion(), dumpZones(core_.evacuation(), clock_.now()), core_.isZoneOpen(), entries);
}

} // namespace Lagoonpick
