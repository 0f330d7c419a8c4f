#pragma once

#include "JobEntry/EntryRegistration.h"
#include "JobEntry/JobEntrySettings.h"
#include "JobEntry/OperatorWatch.h"
#include "Lagoonpick/Configuration/SettingsWatch.h"
#include "Lagoonpick/Core/BootTime.h"
#include "Lagoonpick/Job/JobEntryCore.h"
#include "Lagoonpick/Observability/FaultLog.h"
#include "Lagoonpick/Observability/ProcessMetrics.h"
#include "Lagoonpick/Transport/HostLoop.h"
#include "Lagoonpick/Transport/HttpServer.h"
#include "Lagoonpick/Transport/MessageHub.h"
#include "Lagoonpick/Transport/SuspensionDetector.h"
#include "Lagoonpick/Wire/RunMessageCodec.h"
#include "platform/JobCodec.h"

namespace Lagoonpick {

/// Connects a `JobEntryCore` to its callers, agents and other entries, the platform's store, signals and the clock.
///
/// Used from one thread only: the one that runs its `io_context`.
class JobEntryHost {
public:
    JobEntryHost(boost::asio::io_context& context, JobEntrySettings settings, std::string settingsFile, std::uint64_t seed);

    /// Starts to listen on all addresses and to use the store; returns an error message, empty on success.
    std::string start();

    /// Logs a failure that ended the process's context.
    void reportFailure(const std::string& failure);

private:
    /// Returns the current time, after reporting to the core if the process was suspended. Called before each input is handled.
    Time beginInput();
    /// Logs what peers are refused, within the limits of `FaultLog`.
    void watchPeers();
    void handleFront(const HttpRequest& request, const HttpServer::Respond& respond);
    void handleMetrics(const HttpRequest& request, const HttpServer::Respond& respond) const;
    void handle(const HttpRequest&, const JobRequest&, const HttpServer::Respond&);
    void handle(const HttpRequest&, const UsersPlatform::UnsupportedJob&, const HttpServer::Respond&);
    void handle(const HttpRequest&, const UsersPlatform::StateQuery&, const HttpServer::Respond&);
    void handle(const HttpRequest&, const UsersPlatform::CancelCall&, const HttpServer::Respond&);
    void handle(const HttpRequest&, const UsersPlatform::QueueQuery&, const HttpServer::Respond&);
    void handle(const HttpRequest&, const UsersPlatform::MalformedCall&, const HttpServer::Respond&);
    void respondTo(const HttpServer::Respond&, HttpResponse response) const;

    void installConfiguration(const std::string& text, std::string_view source);
    void recordZones(const UsersPlatform::EvacuationReading& reading);
    void tick();
    void applyEffects();
    void announceToSeeds();
    void reload();
    void beginShutdown();
    /// Once shutdown no longer accepts jobs, stops the process when all requests are answered, or at the shutdown timeout.
    void continueShutdown(Time now);
    /// The state for operators, as JSON.
    std::string dumpState() const;
    void log(const LogLine& line) { log_.write(clock_.now(), line); }
    /// Logs input that can't be decoded, within the limits of `FaultLog`.
    void logFault(std::string_view event, std::string_view sender, const std::string& fault);

    boost::asio::io_context& context_;
    JobEntrySettings settings_;
    SettingsWatch<decltype(&readJobEntrySettings)> settingsFile_;
    BootTime clock_;
    SuspensionDetector suspensionDetector_;
    EventLog log_;
    FaultLog faultLog_;
    JobEntryCore core_;
    MessageHub<Wire::RunCodec> links_;
    HttpServer front_;
    HttpServer ready_;
    HttpServer metrics_;
    UsersPlatform::StoreClient store_;
    OperatorWatch operatorWatch_;
    EntryRegistration registration_;
    HostLoop loop_;
    /// The callers that wait for their answers, by `CallerId`.
    std::unordered_map<std::uint64_t, HttpServer::Respond> callers_;
    std::uint64_t lastCallerId_ { 0 };
    /// When shutdown began.
    std::optional<Time> shutdownAt_;
};

/// The entry's counters and histograms, in the Prometheus text format.
std::string writeJobEntryMetrics(const JobEntryCore& core, const EventLog& log, const UsersPlatform::StoreClient& store, const PeerFaultsByPort& peers);

} // namespace Lagoonpick
