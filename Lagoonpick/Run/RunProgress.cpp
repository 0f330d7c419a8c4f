#include "Lagoonpick/Run/RunProgress.h"

#include <algorithm>

namespace Lagoonpick {

namespace {

/// Lists come about every 35 ms: two of them at least.
constexpr Duration minWindow = std::chrono::milliseconds(60);
/// The part of the expected time over which the pace is measured: ten steps of a percent each.
constexpr Duration::rep windowsInRun = 10;
/// A run that has not moved for so many windows is stuck: its target would have to be that much slower than expected.
constexpr Duration::rep stuckWindows = 3;
/// Where the work that a list tells lies in the mean, for it is rounded down.
constexpr double roundedOff = 0.5;
constexpr double whole = 100;
/// What a run without any progress is said to take: longer than any caller waits.
constexpr Duration forEver = std::chrono::hours(1);

} // namespace

void RunProgress::begin(Duration work, Time now)
{
    window_ = std::max<Duration>(minWindow, work / windowsInRun);
    oldest_ = middle_ = newest_ = { now, 0 };
    movedAt_ = now;
}

void RunProgress::note(std::uint32_t percent, Time now)
{
    double done = std::min<double>(percent + roundedOff, whole);
    if (done > newest_.percent_)
        movedAt_ = now;
    newest_ = { now, std::max(done, newest_.percent_) };
    if (newest_.at_ - middle_.at_ < window_)
        return;
    oldest_ = middle_;
    middle_ = newest_;
}

std::optional<double> RunProgress::pace() const
{
    Duration span = newest_.at_ - oldest_.at_;
    if (!window_.count() || span < window_)
        return std::nullopt;
    return (newest_.percent_ - oldest_.percent_) / std::chrono::duration<double>(span).count();
}

std::optional<Duration> RunProgress::total() const
{
    auto percentPerSecond = pace();
    if (!percentPerSecond)
        return std::nullopt;
    std::chrono::duration<double> seconds(whole / std::max(*percentPerSecond, 1e-3));
    return std::min<Duration>(std::chrono::duration_cast<Duration>(seconds), forEver);
}

std::optional<Duration> RunProgress::remaining(Time now) const
{
    auto all = total();
    if (!all)
        return std::nullopt;
    Duration left = scale(*all, (whole - newest_.percent_) / whole);
    return std::max<Duration>(left - (now - newest_.at_), Duration());
}

bool RunProgress::isStuck() const
{
    return newest_.at_ - movedAt_ >= window_ * stuckWindows;
}

} // namespace Lagoonpick
