#include "Lagoonpick/Run/RunProgress.h"

#include <algorithm>

namespace Lagoonpick {

namespace {

/// Interval of the target's lists.
constexpr Duration listInterval = std::chrono::milliseconds(35);
/// Spans at least two of the target's lists.
constexpr Duration minWindow = std::chrono::milliseconds(60);
/// The progress rate is measured over the expected time divided by this: ten steps of one percent each.
constexpr Duration::rep windowsPerRun = 10;
/// A run counts as stuck if one percent of it takes this many times the expected time or more: beyond a straggler of seven times the
/// expected time on a slow target, with a declared time that is too short.
constexpr Duration::rep stuckFactor = 20;
/// A run counts as stuck no sooner than after this many lists, so that a pause of the target or a late list alone is no evidence.
constexpr Duration::rep stuckLists = 3;
/// Mean rounding error of a listed percentage, which is rounded down.
constexpr double meanRoundingError = 0.5;
constexpr double wholePercent = 100;
/// From this share on, the rounding of a listed percentage changes the mean progress rate by at most a tenth.
constexpr double minSteadyPercent = 5;
/// Upper limit of the estimated time, which a run without any progress gets: longer than any caller waits.
constexpr Duration maxEstimate = std::chrono::hours(1);

} // namespace

void RunProgress::begin(Duration work, Time now)
{
    stuckTime_ = std::max<Duration>(listInterval * stuckLists, work * stuckFactor / static_cast<Duration::rep>(wholePercent));
    highestPercent_ = 0;
    window_ = std::max<Duration>(minWindow, work / windowsPerRun);
    oldest_ = middle_ = newest_ = { now, 0 };
    begunAt_ = progressedAt_ = now;
}

void RunProgress::record(std::uint32_t percent, Time now)
{
    double done = std::min<double>(percent + meanRoundingError, wholePercent);
    if (percent > highestPercent_)
        progressedAt_ = now;
    highestPercent_ = std::max(percent, highestPercent_);
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

std::optional<Duration> RunProgress::steadyRemaining(Time now) const
{
    if (newest_.percent_ < minSteadyPercent)
        return std::nullopt;
    Duration left = scale(newest_.at_ - begunAt_, (wholePercent - newest_.percent_) / newest_.percent_);
    return std::max<Duration>(left - (now - newest_.at_), Duration());
}

bool RunProgress::isStuck() const
{
    return stuckTime_.count() && newest_.at_ - progressedAt_ >= stuckTime_;
}

} // namespace Lagoonpick
