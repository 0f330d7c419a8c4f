#pragma once

#include "Entry/CallerApi.h"
#include "Entry/EntryHostSettings.h"
#include "Entry/LeaseManager.h"
#include "Lagoonpick/Configuration/CommandLine.h"
#include "Lagoonpick/Core/SteadyTime.h"
#include "Lagoonpick/Dispatch/EntryCore.h"
#include "Lagoonpick/Platform/PlatformWatcher.h"
#include "Lagoonpick/Transport/HostLoop.h"

#include <unordered_map>

namespace Lagoonpick {

/// Connects an `EntryCore` to callers' HTTP requests, links, the platform, signals and the clock.
///
/// Used from one thread only: the one that runs its `io_context`.
class EntryHost {
public:
    EntryHost(boost::asio::io_context& context, const EntryHostSettings& settings, Incarnation incarnation, std::uint64_t seed);

    /// Starts to listen on all addresses and to use the platform; returns an error message, empty on success.
    std::string start();

    /// The code to exit with once the context has stopped.
    ExitCode exitCode() const { return exitCode_; }

private:
    void handle(HttpRequest request, HttpServer::Respond respond);
    void handle(const IssueCall&, HttpRequest&, HttpServer::Respond);
    void handle(const JobCall&, HttpRequest&, HttpServer::Respond);
    void handle(const StateCall&, HttpRequest&, const HttpServer::Respond&);
    void handle(const HealthCall&, HttpRequest&, const HttpServer::Respond&);
    void handle(const MetricsCall&, HttpRequest&, const HttpServer::Respond&);
    void handle(const BadCall&, HttpRequest&, const HttpServer::Respond&);
    /// Stores the function that answers a request, under the id that the core's reply will carry.
    RequestId addResponder(HttpServer::Respond);

    void viewChanged(std::shared_ptr<const PlatformView> view, bool isFresh);
    /// Sets the addresses to keep links to: all agents that have not left, and the entries that this one connects to.
    void updateLinks(const PlatformView& view);
    void tick();
    void applyEffects();
    void reply(Reply&);
    /// Starts a compare-and-swap on the platform; its outcome is passed to the core.
    void startCompareAndSwap(CompareAndSwap);
    void beginShutdown();
    /// Leaves the entries' table once drained or at the shutdown timeout, and then exits.
    void continueShutdown();
    /// Answers the waiting requests, closes all links and stops the context.
    void finish(ExitCode code);
    /// The state for operators, as JSON.
    std::string dumpState() const;

    boost::asio::io_context& context_;
    EntryHostSettings settings_;
    SteadyTime clock_;
    EntryCore core_;
    PlatformClient platform_;
    PlatformWatcher watcher_;
    LeaseManager leaseManager_;
    LinkHub links_;
    HttpServer http_;
    HostLoop loop_;
    /// True once the entry has drained, reached the shutdown timeout or was fenced: the process exits when the entry is
    /// drained and fenced, or at `shutdownDeadline_`.
    bool isLeaving_ { false };
    bool isFinished_ { false };
    Time shutdownDeadline_;
    ExitCode exitCode_ { ExitCode::Success };
    std::uint64_t lastRequestId_ { 0 };
    std::unordered_map<std::uint64_t, HttpServer::Respond> responders_;
};

} // namespace Lagoonpick
