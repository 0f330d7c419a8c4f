#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace Lagoonpick {

/// Clock tag of `Time`. The state machines never read a clock: their host passes the time in.
struct HostClock { };

/// A time span in microseconds.
using Duration = std::chrono::microseconds;

/// A point in time, in microseconds since the Unix epoch. The times that a process passes in must not run backwards.
using Time = std::chrono::time_point<HostClock, Duration>;

/// Multiplies a time span by `factor`; the result is truncated to whole microseconds. Its amount is at most about 3000 years, so that
/// it fits into its type and can be added to any time.
inline Duration scale(Duration span, double factor)
{
    constexpr double maxMicroseconds = 1e17;
    double product = static_cast<double>(span.count()) * factor;
    return Duration(static_cast<Duration::rep>(std::clamp(product, -maxMicroseconds, maxMicroseconds)));
}

/// Whole milliseconds since the Unix epoch, as submission ids carry them.
inline std::int64_t toUnixMilliseconds(Time time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

/// The time `milliseconds` after the Unix epoch.
inline Time fromUnixMilliseconds(std::int64_t milliseconds)
{
    return Time(std::chrono::milliseconds(milliseconds));
}

} // namespace Lagoonpick
