#pragma once

#include "Lagoonpick/Configuration/SettingsWatch.h"
#include "Lagoonpick/Core/BootTime.h"
#include "Lagoonpick/Observability/EventLog.h"
#include "Lagoonpick/Observability/TimeHistogram.h"
#include "Lagoonpick/Run/RunAgentCore.h"
#include "Lagoonpick/Transport/GapDetector.h"
#include "Lagoonpick/Transport/HostLoop.h"
#include "Lagoonpick/Transport/HttpServer.h"
#include "Lagoonpick/Transport/MessageHub.h"
#include "Lagoonpick/Wire/RunMessageCodec.h"
#include "platform/TargetCodec.h"
#include "RunAgent/EntryDirectory.h"
#include "RunAgent/RunAgentSettings.h"
#include "RunAgent/TargetKeeper.h"

namespace Lagoonpick {

/// Connects a `RunAgentCore` to the world: entries, the target beside it, the platform's store, signals and the clock.
///
/// Lives on one `io_context` that one thread runs.
class RunAgentHost {
public:
    RunAgentHost(boost::asio::io_context& context, RunAgentSettings settings, std::string settingsFile, std::uint64_t seed);

    /// Starts everything; returns what went wrong, or nothing.
    std::string start();

private:
    /// Every input goes through here first: what time it is, and whether the process stood still before it.
    Time enter();
    void handleControl(const HttpRequest& request, const HttpServer::Respond& respond);
    void receiveHeartbeat(const TargetHeartbeat& heartbeat, const HttpServer::Respond& respond);
    void handleMetrics(const HttpRequest& request, const HttpServer::Respond& respond) const;
    boost::asio::awaitable<void> startRun(StartCall start);
    boost::asio::awaitable<void> stopRun(StopCall stop);
    boost::asio::awaitable<void> renewLease(LeaseCall call);
    void tick();
    void applyEffects();
    void wantEntries();
    void reload();
    void beginShutdown();
    void continueShutdown(Time now);
    std::string dumpState() const;
    void log(const LogLine& line) { log_.write(clock_.now(), line); }

    boost::asio::io_context& context_;
    RunAgentSettings settings_;
    SettingsWatch<decltype(&readRunAgentSettings)> settingsFile_;
    BootTime clock_;
    GapDetector gaps_;
    EventLog log_;
    RunAgentCore core_;
    MessageHub<Wire::RunCodec> links_;
    HttpServer control_;
    HttpServer metrics_;
    HttpClient target_;
    UsersPlatform::StoreClient store_;
    EntryDirectory entries_;
    TargetKeeper targetKeeper_;
    HostLoop loop_;
    TimeHistogram startTimes_;
    std::optional<Time> shutdownAt_;
};

/// The agent's counters and histograms, in the Prometheus text format.
std::string writeRunAgentMetrics(const RunAgentCore& core, const TimeHistogram& startTimes, const EventLog& log, const UsersPlatform::StoreClient& store);

} // namespace Lagoonpick
