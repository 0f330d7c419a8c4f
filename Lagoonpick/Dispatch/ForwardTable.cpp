#include "Lagoonpick/Dispatch/ForwardTable.h"

#include <utility>

namespace Lagoonpick {

void ForwardTable::add(PendingForward forward)
{
    auto request = forward.message_.request_;
    forwards_.emplace(request, std::move(forward));
}

std::optional<PendingForward> ForwardTable::take(std::uint64_t request)
{
    auto node = forwards_.extract(request);
    if (node.empty())
        return std::nullopt;
    return std::move(node.mapped());
}

std::vector<Wire::Forward> ForwardTable::messagesFor(Incarnation home) const
{
    std::vector<Wire::Forward> messages;
    for (const auto& [request, forward] : forwards_) {
        if (forward.home_ == home)
            messages.push_back(forward.message_);
    }
    return messages;
}

std::vector<PendingForward> ForwardTable::takeByHome(Incarnation home)
{
    return takeIf([&](const PendingForward& forward) { return forward.home_ == home; });
}

std::vector<PendingForward> ForwardTable::takeExpired(Time now)
{
    return takeIf([&](const PendingForward& forward) { return forward.until_ <= now; });
}

template <typename Predicate>
std::vector<PendingForward> ForwardTable::takeIf(Predicate matches)
{
    std::vector<PendingForward> taken;
    std::erase_if(forwards_, [&](auto& item) {
        if (!matches(item.second))
            return false;
        taken.push_back(std::move(item.second));
        return true;
    });
    return taken;
}

} // namespace Lagoonpick
