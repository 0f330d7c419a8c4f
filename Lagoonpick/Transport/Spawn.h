#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <exception>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace Lagoonpick {

/// What an exception says.
inline std::string describeException(const std::exception_ptr& failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception& exception) {
        return exception.what();
    } catch (...) {
        return "an exception of an unknown type";
    }
}

/// Starts a coroutine that nothing waits for.
///
/// An exception that leaves it ends `runUntilStopped`: its work has stopped, and the process would go on without it.
/// `place` names the coroutine in the report; it must outlive the coroutine.
inline void spawn(boost::asio::io_context& context, boost::asio::awaitable<void> coroutine, std::string_view place)
{
    boost::asio::co_spawn(context, std::move(coroutine), [&context, place](const std::exception_ptr& failure) {
        if (!failure)
            return;
        std::string text = std::string(place) + ": " + describeException(failure);
        // Thrown by a handler of its own, since a completion handler must not throw into the coroutine that it completes.
        boost::asio::post(context, [text] { throw std::runtime_error(text); });
    });
}

/// Runs the context until it is stopped or out of work. If an exception leaves a handler or a spawned coroutine, returns what it
/// was and where; the context must not be run again then.
inline std::optional<std::string> runUntilStopped(boost::asio::io_context& context)
{
    try {
        context.run();
    } catch (...) {
        return describeException(std::current_exception());
    }
    return std::nullopt;
}

} // namespace Lagoonpick
