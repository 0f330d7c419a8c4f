#include "ContractTests/Support/Process.h"
#include "Lagoonpick/Configuration/RunHost.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

namespace Lagoonpick {

namespace {

boost::asio::awaitable<void> throwAfterAWait(boost::asio::io_context& context)
{
    boost::asio::steady_timer timer(context, std::chrono::milliseconds(1));
    co_await timer.async_wait(boost::asio::use_awaitable);
    throw std::length_error("too long");
}

boost::asio::awaitable<void> throwNoException(boost::asio::io_context&)
{
    throw 7;
    co_return;
}

boost::asio::awaitable<void> endAtOnce()
{
    co_return;
}

struct FakeHost {
    void reportFailure(const std::string& failure) { failures_.push_back(failure); }
    std::vector<std::string> failures_;
};

} // namespace

// Guards against: an exception ended a coroutine without a trace, and the process went on without it (the heartbeats of
// the target stand-in).
TEST_CASE("An exception that leaves a coroutine ends the process with an error, and the log names the place")
{
    boost::asio::io_context context(1);
    FakeHost host;
    spawn(context, endAtOnce(), "sound coroutine");
    SECTION("an exception of the library")
    {
        spawn(context, throwAfterAWait(context), "list of the entries");
        CHECK(runHost(context, host) == ExitCode::InternalError);
        CHECK(host.failures_ == std::vector<std::string> { "list of the entries: too long" });
    }
    SECTION("an exception of another type")
    {
        spawn(context, throwNoException(context), "list of the entries");
        CHECK(runHost(context, host) == ExitCode::InternalError);
        CHECK(host.failures_ == std::vector<std::string> { "list of the entries: an exception of an unknown type" });
    }
    SECTION("no exception")
    {
        CHECK(runHost(context, host) == ExitCode::Success);
        CHECK(host.failures_.empty());
    }
}

TEST_CASE("A process whose coroutine throws ends with an error that it prints")
{
    // The heartbeats throw, since the control address is none.
    Contract::TemporaryFolder folder;
    Contract::Process process({ USERS_STANDIN, "--address", Contract::findFreeAddress(), "--control", "nowhere" }, folder.path() + "/log");
    CHECK(process.waitForExit(5) == static_cast<int>(ExitCode::InternalError));
    CHECK(readFile(folder.path() + "/log").value_or("").find("heartbeats of the target stand-in: ") != std::string::npos);
}

} // namespace Lagoonpick
