#pragma once

#include "Lagoonpick/Configuration/LoadSettings.h"
#include "Lagoonpick/Core/Incarnation.h"
#include "Lagoonpick/Observability/Log.h"
#include "Lagoonpick/Transport/Spawn.h"

#include <boost/asio/io_context.hpp>
#include <csignal>

namespace Lagoonpick {

/// Implements a daemon's `main`: reads the command line and the settings, sets up the log, runs the host and returns the
/// exit code. `Host` is constructed from the context, its settings, a new incarnation and a seed, and has `start` and
/// `exitCode`. `nameOf` gives the process's name in the log from the settings.
template <typename Host, typename ReadSettings, typename NameOf>
int runDaemon(int argc, char** argv, const ProgramInfo& info, ReadSettings readSettings, NameOf nameOf)
{
    auto loaded = loadSettings(argc, argv, info, readSettings);
    if (loaded.exit_)
        return static_cast<int>(*loaded.exit_);
    std::signal(SIGPIPE, SIG_IGN);
    Log::start(nameOf(loaded.settings_));
    boost::asio::io_context context(1);
    Host host(context, loaded.settings_, Incarnation(generateSeed() | 1), generateSeed());
    if (auto fault = host.start(); !fault.empty()) {
        Log::error(fault);
        return static_cast<int>(ExitCode::Unavailable);
    }
    if (auto failure = runUntilStopped(context)) {
        Log::error(*failure);
        return static_cast<int>(ExitCode::InternalError);
    }
    return static_cast<int>(host.exitCode());
}

} // namespace Lagoonpick
