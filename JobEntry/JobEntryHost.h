#pragma once

#include "JobEntry/ConfigurationWatch.h"
#include "JobEntry/EntryRegistration.h"
#include "JobEntry/JobEntrySettings.h"
#include "Lagoonpick/Configuration/SettingsWatch.h"
#include "Lagoonpick/Core/BootTime.h"
#include "Lagoonpick/Job/JobEntryCore.h"
#include "Lagoonpick/Transport/GapDetector.h"
#include "Lagoonpick/Transport/HostLoop.h"
#include "Lagoonpick/Transport/HttpServer.h"
#include "Lagoonpick/Transport/MessageHub.h"
#include "Lagoonpick/Wire/RunMessageCodec.h"
#include "platform/JobCodec.h"

namespace Lagoonpick {

/// Connects a `JobEntryCore` to the world: callers, agents, the platform's store, signals and the clock.
///
/// Lives on one `io_context` that one thread runs.
class JobEntryHost {
public:
    JobEntryHost(boost::asio::io_context& context, JobEntrySettings settings, std::string settingsFile, std::uint64_t seed);

    /// Starts everything; returns what went wrong, or nothing.
    std::string start();

private:
    /// Every input goes through here first: what time it is, and whether the process stood still before it.
    Time enter();
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
    void tick();
    void applyEffects();
    void announceToSeeds();
    void reload();
    void beginShutdown();
    void continueShutdown(Time now);
    std::string dumpState() const;
    void log(const LogLine& line) { log_.write(clock_.now(), line); }

    boost::asio::io_context& context_;
    JobEntrySettings settings_;
    SettingsWatch<decltype(&readJobEntrySettings)> settingsFile_;
    BootTime clock_;
    GapDetector gaps_;
    EventLog log_;
    JobEntryCore core_;
    MessageHub<Wire::RunCodec> links_;
    HttpServer front_;
    HttpServer ready_;
    HttpServer metrics_;
    UsersPlatform::StoreClient store_;
    ConfigurationWatch configuration_;
    EntryRegistration registration_;
    HostLoop loop_;
    std::unordered_map<std::uint64_t, HttpServer::Respond> callers_;
    std::uint64_t lastCaller_ { 0 };
    std::optional<Time> shutdownAt_;
};

/// The entry's counters and histograms, in the Prometheus text format.
std::string writeJobEntryMetrics(const JobEntryCore& core, const EventLog& log, const UsersPlatform::StoreClient& store, const HttpServer& front);

} // namespace Lagoonpick
