#pragma once

#include "Lagoonpick/Membership/PlatformView.h"

#include <map>
#include <string>

namespace Lagoonpick {

/// The guarantee given by the fence of a submission's home, as far as the agents have acknowledged that fence.
enum class FenceState : std::uint8_t {
    /// The home is not fenced.
    NotFenced,
    /// Some agent has not acknowledged the fence and may still accept a start from the home.
    Pending,
    /// No agent accepts a start from the home any more, but a ledger that could have held one of the submission was lost.
    LedgerLost,
    /// No agent accepts a start from the home any more, and no ledger that could have held one was lost.
    Certain,
};

/// Records which agents have acknowledged which fences.
///
/// A fence is written to the entries' table before the agents are read, and an agent registers before it reads the table.
/// An agent that is missing from a view with the fence therefore registers later and reads the fence from the table, and a
/// fence is complete once all agents of such a view have acknowledged it. Not thread-safe.
class FenceTable {
public:
    /// Records that the incarnation `agent` beside `target` accepts no start from `entry` any more.
    void acknowledge(Incarnation entry, const std::string& target, Incarnation agent);

    /// The state of the fence of `entry`, for a submission whose home is `entry` and whose id was created at `createdAt`.
    /// `margin` is how far the time in an id may be ahead of an agent's clock.
    FenceState state(const PlatformView& view, Incarnation entry, Time createdAt, Duration margin) const;

    /// Removes the acknowledgements of fences that `table` no longer lists.
    void retain(const Membership& table);

    /// Number of targets with an agent that has acknowledged the fence of `entry`.
    std::size_t acknowledgedCount(Incarnation entry) const;

private:
    /// By fenced entry and target: the agent that acknowledged the fence last.
    std::map<Incarnation, std::map<std::string, Incarnation>> acknowledgedAgents_;
};

} // namespace Lagoonpick
