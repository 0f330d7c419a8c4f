#pragma once

#include "Lagoonpick/Configuration/SettingsWatch.h"
#include "Lagoonpick/Core/BootTime.h"
#include "Lagoonpick/Observability/EventLog.h"
#include "Lagoonpick/Observability/FaultLog.h"
#include "Lagoonpick/Observability/ProcessMetrics.h"
#include "Lagoonpick/Observability/TimeHistogram.h"
#include "Lagoonpick/Run/RunAgentCore.h"
#include "Lagoonpick/Transport/HostLoop.h"
#include "Lagoonpick/Transport/HttpServer.h"
#include "Lagoonpick/Transport/MessageHub.h"
#include "Lagoonpick/Transport/SuspensionDetector.h"
#include "Lagoonpick/Wire/RunMessageCodec.h"
#include "platform/TargetCodec.h"
#include "RunAgent/EntryDirectory.h"
#include "RunAgent/RunAgentSettings.h"
#include "RunAgent/TargetRecordStore.h"

namespace Lagoonpick {

/// Connects a `RunAgentCore` to entries, the target beside the agent, the platform's store, signals and the clock.
///
/// Used from one thread only: the one that runs its `io_context`.
class RunAgentHost {
public:
    RunAgentHost(boost::asio::io_context& context, RunAgentSettings settings, std::string settingsFile, std::uint64_t seed);

    /// Starts to listen on all addresses and to use the store; returns an error message, empty on success.
    std::string start();

    /// Logs a failure that ended the process's context.
    void reportFailure(const std::string& failure);

private:
    /// Returns the current time, after reporting to the core if the process was suspended. Called before each input is handled.
    Time beginInput();
    /// Logs what peers are refused, within the limits of `FaultLog`.
    void watchPeers();
    /// Handles the notices of the target.
    void handleControl(const HttpRequest& request, const HttpServer::Respond& respond);
    /// Passes a heartbeat to the core and responds when the write of the target's record has ended. A drain is acknowledged
    /// only if the store confirmed the write.
    void receiveHeartbeat(const TargetHeartbeat& heartbeat, const HttpServer::Respond& respond);
    void handleMetrics(const HttpRequest& request, const HttpServer::Respond& respond) const;
    boost::asio::awaitable<void> startRun(StartCall start);
    boost::asio::awaitable<void> stopRun(StopCall stop);
    boost::asio::awaitable<void> renewLease(LeaseCall call);
    void tick();
    void applyEffects();
    /// Has the core choose the entries to keep links to from those that it knows, the store lists and the settings name.
    void updateEntryLinks();
    void reload();
    void beginShutdown();
    /// Stops the process once no run is left and the entries have confirmed the ends, or at the shutdown timeout.
    void continueShutdown(Time now);
    /// The state for operators, as JSON.
    std::string dumpState() const;
    void log(const LogLine& line) { log_.write(clock_.now(), line); }
    /// Logs input that can't be decoded, within the limits of `FaultLog`.
    void logFault(std::string_view event, std::string_view sender, const std::string& fault);

    boost::asio::io_context& context_;
    RunAgentSettings settings_;
    SettingsWatch<decltype(&readRunAgentSettings)> settingsFile_;
    BootTime clock_;
    SuspensionDetector suspensionDetector_;
    EventLog log_;
    FaultLog faultLog_;
    RunAgentCore core_;
    MessageHub<Wire::RunCodec> links_;
    HttpServer control_;
    HttpServer metrics_;
    HttpClient target_;
    UsersPlatform::StoreClient store_;
    EntryDirectory entryDirectory_;
    TargetRecordStore targetRecordStore_;
    HostLoop loop_;
    /// From the sending of a start to the target's answer or the timeout.
    TimeHistogram startDurations_;
    Time nextLinkUpdate_;
    /// When shutdown began.
    std::optional<Time> shutdownAt_;
};

/// The agent's counters and histograms, in the Prometheus text format.
std::string writeRunAgentMetrics(const RunAgentCore& core, const TimeHistogram& startDurations, const EventLog& log, const UsersPlatform::StoreClient& store, const PeerFaultsByPort& peers);

} // namespace Lagoonpick
