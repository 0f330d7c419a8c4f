#include "JobEntry/JobEntryHost.h"

#include "Lagoonpick/Core/Underlying.h"
#include "Lagoonpick/Transport/RunLinks.h"
#include "platform/ConfigurationCodec.h"

#include <fmt/format.h>

namespace Lagoonpick {

namespace {

constexpr std::size_t maxLogBytes = 131'072;

/// The limits of the servers for readiness checks and for metrics.
HttpLimits makeServerLimits()
{
    HttpLimits limits;
    limits.maxConnections_ = 64;
    limits.maxBodyBytes_ = 65'536;
    limits.maxHeldBytes_ = 2'097'152;
    limits.readTimeout_ = std::chrono::seconds(15);
    return limits;
}

} // namespace

JobEntryHost::JobEntryHost(boost::asio::io_context& context, JobEntrySettings settings, std::string settingsFile, std::uint64_t seed)
    : context_(context)
    , settings_(std::move(settings))
    , settingsFile_(std::move(settingsFile), readJobEntrySettings, [this](const std::string& fault) { log(LogLine("settings_faulty").text("fault", fault)); })
    , suspensionDetector_(maxSuspension)
    , log_(settings_.job_.name_, maxLogBytes)
    , core_(settings_.job_, seed)
    , links_(context, makeRunLinkLimits(settings_.linkMemoryBytes_),
          makeRunLinkEvents(
              core_, [this] { return beginInput(); }, [this] { loop_.scheduleTick(); },
              [this](const std::string& sender, const Error& fault) { logFault("frame_unreadable", sender, fault.message_); }),
          seed + 1)
    , front_(context, settings_.frontLimits_, [this](const HttpRequest& request, const HttpServer::Respond& respond) { handleFront(request, respond); })
    , ready_(context, makeServerLimits(), [this](const HttpRequest& request, const HttpServer::Respond& respond) {
        if (UsersPlatform::isReadinessPath(request.path_))
            respond(UsersPlatform::encodeReadiness(core_.isReady()));
        else
            respond(UsersPlatform::encodeNoSuchJob());
    })
    , metrics_(context, makeServerLimits(), [this](const HttpRequest& request, const HttpServer::Respond& respond) { handleMetrics(request, respond); })
    , store_(context, settings_.storeAddress_, settings_.storeMemoryBytes_)
    , operatorWatch_(context, store_, clock_, { [this](const std::string& text) { installConfiguration(text, "store"); }, [this] { logFault("configuration_unreadable", "store", "the item can't be decoded"); }, [this](const UsersPlatform::EvacuationReading& reading) { recordZones(reading); }, [this](Time sentAt) { core_.confirmConfiguration(sentAt); }, [this](const Error& error) { log(LogLine("store_lost").text("error", error.message_)); }, [this] { log(LogLine("store_regained")); } })
    , registration_(context, store_, settings_.job_.name_, settings_.job_.linkAddress_, [this](bool isRegistered) { log(LogLine(isRegistered ? "registered" : "registration_lost")); })
    , loop_(context, { [this] { tick(); }, [this] { beginShutdown(); }, [this] { log_.write(clock_.now(), LogLine("state").text("state", dumpState())); }, [this] { reload(); } })
{
}

std::string JobEntryHost::start()
{
    watchPeers();
    beginInput();
    log(LogLine("started").text("availability_zone", settings_.job_.availabilityZone_).text("incarnation", settings_.job_.incarnation_.toString()));
    auto fault = links_.listen(settings_.linkListenAddress_);
    if (fault.empty())
        fault = front_.listen(settings_.frontAddress_);
    if (fault.empty())
        fault = ready_.listen(settings_.readyAddress_);
    if (fault.empty())
        fault = metrics_.listen(settings_.metricsAddress_);
    if (!fault.empty()) {
        log(LogLine("start_failed").text("error", fault));
        log_.flush();
        return fault;
    }
    operatorWatch_.start();
    registration_.start();
    loop_.start();
    return {};
}

void JobEntryHost::reportFailure(const std::string& failure)
{
    log(LogLine("failed").text("error", failure));
    log_.flush();
}

Time JobEntryHost::beginInput()
{
    Time now = clock_.now();
    if (auto suspension = suspensionDetector_.check(now))
        core_.processResumed(*suspension, now);
    return now;
}

void JobEntryHost::watchPeers()
{
    auto watch = [this](PeerFaults& faults, std::string_view event) {
        faults.setHandler([this, event](PeerFault fault, const std::string& peer) { logFault(event, peer, std::string(nameOf(fault))); });
    };
    watch(front_.faults(), "caller_refused");
    watch(ready_.faults(), "probe_refused");
    watch(metrics_.faults(), "probe_refused");
    watch(links_.faults(), "link_refused");
    watch(store_.faults(), "store_response_dropped");
}

void JobEntryHost::logFault(std::string_view event, std::string_view sender, const std::string& fault)
{
    Time now = clock_.now();
    if (auto line = faultLog_.makeLine(event, sender, fault, now))
        log_.write(now, *line);
}

void JobEntryHost::handleFront(const HttpRequest& request, const HttpServer::Respond& respond)
{
    beginInput();
    auto call = UsersPlatform::decodeJobCall(request);
    std::visit([&](const auto& alternative) { handle(request, alternative, respond); }, call);
    loop_.scheduleTick();
}

void JobEntryHost::handle(const HttpRequest& request, const JobRequest& job, const HttpServer::Respond& respond)
{
    CallerId caller { ++lastCallerId_ };
    callers_[toUnderlying(caller)] = respond;
    request.callerConnection_->onDisconnected_ = [this, caller] {
        core_.callerDisconnected(caller, beginInput());
        loop_.scheduleTick();
    };
    core_.submit(caller, job, clock_.now());
}

void JobEntryHost::handle(const HttpRequest&, const UsersPlatform::UnsupportedJob& job, const HttpServer::Respond& respond)
{
    auto exists = core_.hasQueue(job.host_, job.path_, clock_.now());
    log(LogLine("job_rejected").text("job", job.id_).text("why", "unsupported").text("feature", job.feature_));
    respondTo(respond, exists.value_or(true) ? UsersPlatform::encodeUnsupported(job.feature_) : UsersPlatform::encodeQueueState(exists));
}

void JobEntryHost::handle(const HttpRequest&, const UsersPlatform::StateQuery& query, const HttpServer::Respond& respond)
{
    respondTo(respond, core_.isHeld(query.id_) ? UsersPlatform::encodeRunningState() : UsersPlatform::encodeNoSuchJob());
}

void JobEntryHost::handle(const HttpRequest&, const UsersPlatform::CancelCall& call, const HttpServer::Respond& respond)
{
    respondTo(respond, core_.cancel(call.id_, clock_.now()) ? UsersPlatform::encodeCancelled() : UsersPlatform::encodeNoSuchJob());
}

void JobEntryHost::handle(const HttpRequest&, const UsersPlatform::QueueQuery& query, const HttpServer::Respond& respond)
{
    respondTo(respond, UsersPlatform::encodeQueueState(core_.hasQueue(query.host_, query.path_, clock_.now())));
}

void JobEntryHost::handle(const HttpRequest& request, const UsersPlatform::MalformedCall& call, const HttpServer::Respond& respond)
{
    logFault("request_malformed", request.path_, call.reason_);
    respondTo(respond, UsersPlatform::encodeMalformed(call.reason_));
}

void JobEntryHost::respondTo(const HttpServer::Respond& respond, HttpResponse response) const
{
    response.mustClose_ = shutdownAt_.has_value();
    respond(std::move(response));
}

void JobEntryHost::handleMetrics(const HttpRequest& request, const HttpServer::Respond& respond) const
{
    bool wantsState = request.path_ == "/state";
    respond({ .contentType_ = wantsState ? "application/json" : "text/plain; version=0.0.4",
        .body_ = wantsState ? dumpState() : writeJobEntryMetrics(core_, log_, store_, { { "front", &front_.faults() }, { "ready", &ready_.faults() }, { "metrics", &metrics_.faults() }, { "links", &links_.faults() }, { "store", &store_.faults() } }),
        .stream_ = {} });
}

void JobEntryHost::installConfiguration(const std::string& text, std::string_view source)
{
    beginInput();
    auto queues = UsersPlatform::decodeConfiguration(text);
    if (!queues) {
        logFault("configuration_unreadable", source, queues.error().message_);
        return;
    }
    core_.setQueues(std::move(queues).value(), text);
    loop_.scheduleTick();
}

void JobEntryHost::recordZones(const UsersPlatform::EvacuationReading& reading)
{
    Time now = beginInput();
    for (const auto& key : reading.ignoredKeys_)
        logFault("evacuation_unreadable", "store", key);
    core_.setEvacuatedZones(reading.zones_, now);
    loop_.scheduleTick();
}

void JobEntryHost::tick()
{
    Time now = beginInput();
    core_.tick(now);
    applyEffects();
    announceToSeeds();
    if (settingsFile_.isDue(now))
        reload();
    if (shutdownAt_)
        continueShutdown(now);
    log_.flush();
}

void JobEntryHost::applyEffects()
{
    JobEntryEffects effects = core_.takeEffects();
    Time now = clock_.now();
    for (const auto& line : effects.log_)
        log_.write(now, line);
    for (LinkId link : effects.linksToAbort_)
        links_.abort(link);
    links_.send(std::move(effects.messages_));
    for (const auto& answer : effects.answers_) {
        auto found = callers_.find(toUnderlying(answer.caller_));
        if (found == callers_.end())
            continue;
        auto respond = std::move(found->second);
        callers_.erase(found);
        respondTo(respond, UsersPlatform::encodeAnswer(answer));
    }
    for (const auto& copy : effects.configurations_)
        installConfiguration(copy.text_, "agent");
}

/// While no agent is connected, connects to the entries named in the settings, which pass this entry's address on to their
/// agents.
void JobEntryHost::announceToSeeds()
{
    std::vector<std::string> addresses;
    if (core_.agents().empty() && !shutdownAt_) {
        for (const auto& seed : settings_.seeds_) {
            auto address = addressOnHostOf(seed, settings_.job_.linkAddress_);
            if (address != settings_.job_.linkAddress_)
                addresses.push_back(address);
        }
    }
    links_.setPeerAddresses(addresses);
}

void JobEntryHost::reload()
{
    auto settings = settingsFile_.readChanged();
    if (!settings)
        return;
    // Only the seeds can change while the process runs; addresses and times stay as they were at its start.
    settings_.seeds_ = settings->seeds_;
    log(LogLine("settings_reloaded").number("seeds", settings_.seeds_.size()));
}

void JobEntryHost::beginShutdown()
{
    if (shutdownAt_)
        return;
    shutdownAt_ = beginInput();
    log(LogLine("stopping").number("jobs", core_.jobCount()).number("connections", front_.busyConnections()));
    core_.beginShutdown(*shutdownAt_);
    registration_.stop();
}

void JobEntryHost::continueShutdown(Time now)
{
    bool isAccepting = now - *shutdownAt_ < settings_.job_.shutdownAcceptance_;
    bool isOver = now - *shutdownAt_ >= settings_.job_.shutdownTimeout_;
    if (isAccepting || (front_.busyConnections() && !isOver))
        return;
    log(LogLine("stopped").milliseconds("after_ms", now - *shutdownAt_).number("connections", front_.busyConnections()));
    log_.flush();
    loop_.stop();
    context_.stop();
}

std::string JobEntryHost::dumpState() const
{
    std::string agents;
    Time now = clock_.now();
    for (const auto& [incarnation, agent] : core_.agents())
        agents += fmt::format("{}{{\"agent\":\"{}\",\"availability_zone\":\"{}\",\"report_age_ms\":{},\"linked\":{},\"open\":{},\"suspect\":{},\"used\":{},\"capacity\":{},\"runs\":{}}}", agents.empty() ? "" : ",", agent.name_, agent.availabilityZone_, (now - agent.reportedAt_) / std::chrono::milliseconds(1), agent.link_.has_value(), agent.report_.isOpen_, agent.report_.isSuspect_, agent.report_.used_.milliCores_, agent.report_.capacity_.milliCores_, agent.runs_.size());
    return fmt::format("{{\"entry\":\"{}\",\"ready\":{},\"configuration\":{},\"evacuation\":{},\"jobs\":{},\"agents\":[{}]}}", settings_.job_.name_, core_.isReady(), core_.configurationVersion(), dumpZones(core_.evacuation(), now), core_.jobCount(), agents);
}

} // namespace Lagoonpick
