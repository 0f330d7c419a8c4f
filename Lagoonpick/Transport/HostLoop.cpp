#include "Lagoonpick/Transport/HostLoop.h"

#include <boost/asio/post.hpp>
#include <csignal>

namespace Lagoonpick {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(20);

} // namespace

HostLoop::HostLoop(boost::asio::io_context& context, Handlers handlers)
    : context_(context)
    , handlers_(std::move(handlers))
    , timer_(context)
    , signals_(context, SIGTERM, SIGINT, SIGUSR1)
{
}

void HostLoop::start()
{
    if (handlers_.onReload_)
        signals_.add(SIGHUP);
    waitForTimer();
    waitForSignal();
}

void HostLoop::scheduleTick()
{
    if (isScheduled_ || isStopped_)
        return;
    isScheduled_ = true;
    boost::asio::post(context_, [this] {
        isScheduled_ = false;
        tick();
    });
}

void HostLoop::tick()
{
    if (!isStopped_)
        handlers_.onTick_();
}

void HostLoop::waitForTimer()
{
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error || isStopped_)
            return;
        tick();
        waitForTimer();
    });
}

void HostLoop::waitForSignal()
{
    signals_.async_wait([this](const boost::system::error_code& error, int signal) {
        if (error)
            return;
        if (signal == SIGUSR1)
            handlers_.onDump_();
        else if (signal == SIGHUP)
            handlers_.onReload_();
        else
            handlers_.onShutdown_();
        waitForSignal();
    });
}

} // namespace Lagoonpick
