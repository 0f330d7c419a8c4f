#pragma once

#include "Lagoonpick/Configuration/CommandLine.h"
#include "Lagoonpick/Transport/Spawn.h"

#include <csignal>

namespace Lagoonpick {

/// Ignores the signals that would end a daemon before its host handles them: a request to reload, and a write to a closed
/// connection. Called first in `main`.
inline void ignoreSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN);
}

/// Runs a daemon's context until the host has stopped it. `Host` has `reportFailure`, which logs why the context ended before.
template <typename Host>
ExitCode runHost(boost::asio::io_context& context, Host& host)
{
    auto failure = runUntilStopped(context);
    if (!failure)
        return ExitCode::Success;
    host.reportFailure(*failure);
    return ExitCode::InternalError;
}

} // namespace Lagoonpick
