#pragma once

#include "Lagoonpick/Configuration/CommandLine.h"
#include "Lagoonpick/Transport/Spawn.h"

namespace Lagoonpick {

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
