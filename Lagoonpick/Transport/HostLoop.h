#pragma once

#include "Lagoonpick/Core/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace Lagoonpick {

/// Event loop of a daemon: runs a tick of its decision core after each batch of inputs and every 20 ms, and handles signals.
/// SIGTERM and SIGINT shut down, SIGUSR1 dumps the state, SIGHUP reloads the settings.
///
/// Not thread-safe: uses one `io_context`, which a single thread runs, and is called on that thread only.
class HostLoop {
public:
    struct Handlers {
        std::function<void()> onTick_;
        std::function<void()> onShutdown_;
        std::function<void()> onDump_;
        /// Optional; without it SIGHUP is not handled.
        std::function<void()> onReload_ {};
    };

    HostLoop(boost::asio::io_context& context, Handlers handlers);

    /// Starts the timer and the handling of signals.
    void start();

    /// Schedules a tick behind the inputs that are already queued, so that they share one tick and their messages share one frame
    /// per link.
    void scheduleTick();

    /// Runs no further ticks.
    void stop() { isStopped_ = true; }

private:
    void tick();
    void waitForTimer();
    void waitForSignal();

    boost::asio::io_context& context_;
    Handlers handlers_;
    boost::asio::steady_timer timer_;
    boost::asio::signal_set signals_;
    bool isScheduled_ { false };
    bool isStopped_ { false };
};

} // namespace Lagoonpick
