#pragma once

#include "Lagoonpick/Core/LinkId.h"
#include "Lagoonpick/Dispatch/RequestId.h"
#include "Lagoonpick/Wire/Message.h"

#include <map>
#include <optional>
#include <vector>

namespace Lagoonpick {

/// A request that was forwarded to its home and has no reply yet.
struct PendingForward {
    RequestId request_ {};
    Incarnation home_;
    Time until_;
    Wire::Forward message_;
};

/// The requests that this entry has forwarded to their homes. A request is sent again when the link to its home has
/// been re-established; the home adds it to the job that the first copy may have created. Not thread-safe.
class ForwardTable {
public:
    void add(PendingForward forward);

    /// Removes and returns the request with this number; nothing if it is not pending any more.
    std::optional<PendingForward> take(std::uint64_t request);

    /// The messages to send again when `home` has been reconnected.
    std::vector<Wire::Forward> messagesFor(Incarnation home) const;

    /// Removes and returns every request whose home is `home`.
    std::vector<PendingForward> takeByHome(Incarnation home);

    /// Removes and returns the requests whose deadline has passed.
    std::vector<PendingForward> takeExpired(Time now);

    std::size_t size() const { return forwards_.size(); }

private:
    template <typename Predicate>
    std::vector<PendingForward> takeIf(Predicate matches);

    std::map<std::uint64_t, PendingForward> forwards_;
};

} // namespace Lagoonpick
