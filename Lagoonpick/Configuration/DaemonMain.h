#pragma once

#include "Lagoonpick/Configuration/LoadSettings.h"
#include "Lagoonpick/Core/Incarnation.h"
#include "Lagoonpick/Observability/Log.h"

#include <boost/asio/io_context.hpp>
#include <csignal>

namespace Lagoonpick {

/// The whole of a daemon's `main`: command line, settings, log, host, exit code. `Host` is built from the context,
/// its settings, a fresh incarnation and a seed, and has `start` and `exitCode`.
template <typename Host, typename ReadSettings, typename NameOf>
int runDaemon(int argc, char** argv, const ProgramInfo& info, ReadSettings readSettings, NameOf nameOf)
{
    auto loaded = loadSettings(argc, argv, info, readSettings);
    if (loaded.exit_)
        return static_cast<int>(*loaded.exit_);
    std::signal(SIGPIPE, SIG_IGN);
    Log::start(nameOf(loaded.settings_));
    boost::asio::io_context context(1);
    Host host(context, loaded.settings_, Incarnation(drawSeed() | 1), drawSeed());
    if (auto fault = host.start(); !fault.empty()) {
        Log::error(fault);
        return static_cast<int>(ExitCode::Unavailable);
    }
    context.run();
    return static_cast<int>(host.exitCode());
}

} // namespace Lagoonpick
