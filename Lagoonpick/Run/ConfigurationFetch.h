#pragma once

#include "Lagoonpick/Core/Time.h"

#include <cstdint>
#include <optional>

namespace Lagoonpick {

/// Decides when a process asks a peer for the configuration because the peer's heartbeat shows a newer version.
///
/// The text is fetched once, from one peer at a time: if every peer sent it unasked, each change would cross every link.
class ConfigurationFetch {
public:
    /// Handles a heartbeat with the peer's version. Returns true if the process, which has `installed`, is to ask this peer.
    bool mustAsk(std::uint64_t offered, std::uint64_t installed, Time now);

private:
    /// Since when a version newer than `installed_` has been offered; empty if none has.
    std::optional<Time> offeredSince_;
    std::uint64_t installed_ { 0 };
    std::optional<Time> askedAt_;
};

} // namespace Lagoonpick
