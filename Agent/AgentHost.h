#pragma once

#include "Agent/AgentHostSettings.h"
#include "Agent/Registrar.h"
#include "Lagoonpick/Configuration/CommandLine.h"
#include "Lagoonpick/Core/SteadyTime.h"
#include "Lagoonpick/Ledger/AgentCore.h"
#include "Lagoonpick/Transport/HostLoop.h"

namespace Lagoonpick {

/// Connects an `AgentCore` to links, the target beside it, the platform, signals and the clock.
///
/// Used from one thread only: the one that runs its `io_context`.
class AgentHost {
public:
    AgentHost(boost::asio::io_context& context, const AgentHostSettings& settings, Incarnation incarnation, std::uint64_t seed);

    /// Starts to listen on all addresses and to use the platform; returns an error message, empty on success.
    std::string start();

    /// The code to exit with once the context has stopped.
    ExitCode exitCode() const { return exitCode_; }

private:
    void handleDebug(const HttpRequest&, const HttpServer::Respond&);
    /// Registers the agent on the platform and then makes the core ready.
    boost::asio::awaitable<void> enroll();
    /// Has the target run a task and passes the outcome to the core.
    boost::asio::awaitable<void> runTask(TargetStart start);
    void tick();
    void applyEffects();
    void beginShutdown();
    /// Withdraws the registration and stops the context once drained, or at the shutdown timeout.
    void continueShutdown();
    /// The state for operators, as JSON.
    std::string dumpState() const;

    boost::asio::io_context& context_;
    AgentHostSettings settings_;
    SteadyTime clock_;
    AgentCore core_;
    PlatformClient platform_;
    Registrar registrar_;
    HttpClient target_;
    LinkHub links_;
    HttpServer http_;
    HostLoop loop_;
    bool isFinished_ { false };
    Time shutdownDeadline_;
    Time drainStartedAt_;
    ExitCode exitCode_ { ExitCode::Success };
};

} // namespace Lagoonpick
