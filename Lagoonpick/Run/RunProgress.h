#pragma once

#include "Lagoonpick/Core/Time.h"

#include <cstdint>
#include <optional>

namespace Lagoonpick {

/// Estimates the progress rate of a run from the percentages in its target's lists.
///
/// Uses only the most recent part of the run, so that a target that becomes slow is detected while its runs are in
/// progress.
class RunProgress {
public:
    /// Starts measuring a run that is expected to take `work`.
    void begin(Duration work, Time now);

    /// Records the share of the work that is done, rounded down to whole percent.
    void record(std::uint32_t percent, Time now);

    /// Duration of the whole run at the current progress rate; empty while too little has been measured.
    std::optional<Duration> total() const;

    /// Remaining time at the current progress rate; empty while too little has been measured.
    std::optional<Duration> remaining(Time now) const;

    /// Remaining time at the mean progress rate since the run began, which short pauses of the target change little; empty while too little of
    /// the work is done.
    std::optional<Duration> steadyRemaining(Time now) const;

    /// True if the recorded share has not risen for longer than a slow target explains.
    bool isStuck() const;

private:
    struct Point {
        Time at_;
        double percent_ { 0 };
    };

    /// Work done per second, in percent.
    std::optional<double> progressRate() const;

    /// The time over which the progress rate is measured.
    Duration window_ {};
    /// How long the recorded share stands still until the run counts as stuck.
    Duration stuckTime_ {};
    Time begunAt_;
    /// The highest share recorded.
    std::uint32_t highestPercent_ { 0 };
    Point oldest_;
    Point middle_;
    Point newest_;
    /// When the recorded share last rose, or the run began.
    Time progressedAt_;
};

} // namespace Lagoonpick
