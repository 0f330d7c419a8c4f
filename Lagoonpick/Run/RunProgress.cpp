#include "Lagoonpick/Run/RunProgress.h"

#include <algorithm>

namespace Lagoonpick {

namespace {

/// Spans at least two of the target's lists, which arrive about every 35 ms.
constexpr Duration minWindow = std::chrono::milliseconds(60);
/// The progress rate is measured over the expected time divided by this: ten steps of one percent each.
constexpr Duration::rep windowsPerRun = 10;
/// A run without progress for this many windows counts as stuck: a slow target explains this only if it is at least 30
/// times slower than expected.
constexpr Duration::rep stuckWindows = 3;
/// Mean rounding error of a listed percentage, which is rounded down.
constexpr double meanRoundingError = 0.5;
constexpr double wholePercent = 100;
/// Upper limit of the estimated time, which a run without any progress gets: longer than any caller waits.
constexpr Duration maxEstimate = std::chrono::hours(1);

} // namespace

void RunProgress::begin(Duration work, Time now)
{
    window_ = std::max<Duration>(minWindow, work / windowsPerRun);
    oldest_ = middle_ = newest_ = { now, 0 };
    progressedAt_ = now;
}

void RunProgress::record(std::uint32_t percent, Time now)
{
    double done = std::min<double>(percent + meanRoundingError, wholePercent);
    if (done > newest_.percent_)
        progressedAt_ = now;
    newest_ = { now, std::max(done, newest_.percent_) };
    if (newest_.at_ - middle_.at_ < window_)
        return;
    oldest_ = middle_;
    middle_ = newest_;
}

std::optional<double> RunProgress::progressRate() const
{
    Duration span = newest_.at_ - oldest_.at_;
    if (!window_.count() || span < window_)
        return std::nullopt;
    return (newest_.percent_ - oldest_.percent_) / std::chrono::duration<double>(span).count();
}

std::optional<Duration> RunProgress::total() const
{
    auto percentPerSecond = progressRate();
    if (!percentPerSecond)
        return std::nullopt;
    std::chrono::duration<double> seconds(wholePercent / std::max(*percentPerSecond, 1e-3));
    return std::min<Duration>(std::chrono::duration_cast<Duration>(seconds), maxEstimate);
}

std::optional<Duration> RunProgress::remaining(Time now) const
{
    auto all = total();
    if (!all)
        return std::nullopt;
    Duration left = scale(*all, (wholePercent - newest_.percent_) / wholePercent);
    return std::max<Duration>(left - (now - newest_.at_), Duration());
}

bool RunProgress::isStuck() const
{
    return newest_.at_ - progressedAt_ >= window_ * stuckWindows;
}

} // namespace Lagoonpick
