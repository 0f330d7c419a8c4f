#pragma once

#include "Lagoonpick/Core/Time.h"

#include <cstdint>
#include <optional>

namespace Lagoonpick {

/// How fast a run gets on, by the shares of its work that its target's lists tell.
///
/// Goes by the newest part of the run, so that a target that turns slow is seen while its runs go on.
class RunProgress {
public:
    /// The run was started, and is expected to take `work`.
    void begin(Duration work, Time now);

    /// Takes in that so much of the work is done, rounded down to whole percent.
    void note(std::uint32_t percent, Time now);

    /// How long the whole run would take at the present pace; nothing while too little is known.
    std::optional<Duration> total() const;

    /// How long it still takes at the present pace; nothing while too little is known.
    std::optional<Duration> remaining(Time now) const;

    /// True if nothing was done for much longer than it should take.
    bool isStuck() const;

private:
    struct Point {
        Time at_;
        double percent_ { 0 };
    };

    /// Work done in a second, in percent.
    std::optional<double> pace() const;

    Duration window_ {};
    Point oldest_;
    Point middle_;
    Point newest_;
    /// When the share of the work was seen to rise.
    Time movedAt_;
};

} // namespace Lagoonpick
