#pragma once

#include "Lagoonpick/Core/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace Lagoonpick {

/// When a daemon's decision core runs and what its signals do: a tick after each batch of inputs and at a timer,
/// SIGTERM and SIGINT to shut down, SIGUSR1 to dump the state, SIGHUP to reload.
///
/// Lives on one `io_context` that one thread runs.
class HostLoop {
public:
    struct Handlers {
        std::function<void()> tick_;
        std::function<void()> shutDown_;
        std::function<void()> dump_;
        /// What SIGHUP does; nothing if it isn't set.
        std::function<void()> reload_ {};
    };

    HostLoop(boost::asio::io_context& context, Handlers handlers);

    /// Begins to tick and to listen to signals.
    void start();

    /// Has a tick run soon; inputs that are there already share one, and so one frame a link.
    void schedule();

    /// Ticks no more.
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
