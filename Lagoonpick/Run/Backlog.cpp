#include "Lagoonpick/Run/Backlog.h"

#include "Lagoonpick/Wire/RunLimits.h"

#include <algorithm>
#include <functional>
#include <queue>

namespace Lagoonpick {

namespace {

/// A run that exceeds its expected time may end at any moment; its remaining time is estimated as at least this share of
/// the expected time.
constexpr double minRemainingShare = 0.2;

/// A run that is being stopped ends within this time, however much of its work is left: a stop and the next list.
constexpr Duration stopTime = std::chrono::milliseconds(50);

/// How long a run on the target is expected to hold its room. What it shows of its progress counts more than what was expected, so that
/// the room of a straggler counts as taken for as long as it lasts.
Duration remainingOf(const Run& run, double slowdown, Time now)
{
    Duration expected = scale(run.work_, slowdown);
    auto estimate = std::max<Duration>(expected - (now - run.startSentAt_), scale(expected, minRemainingShare));
    Duration remaining = run.progress_.remaining(now).value_or(estimate);
    return run.phase_ == RunPhase::Stopping ? std::min<Duration>(remaining, stopTime) : remaining;
}

/// Number of tasks that fit on the target at once if each needs the mean CPU share of the agent's runs; at least 1.
std::size_t countPlaces(const RunTable& runs, const Wire::Resources& capacity)
{
    std::uint64_t sum = 0;
    for (const auto& [id, run] : runs.rows())
        sum += run.need_.milliCores_;
    std::uint64_t mean = sum / std::max<std::size_t>(runs.rows().size(), 1);
    return mean ? std::max<std::size_t>(capacity.milliCores_ / mean, 1) : 1;
}

} // namespace

Backlog::Backlog(const RunTable& runs, const Wire::Resources& capacity, double slowdown, Time now)
{
    // The time until each place on the target becomes free, the earliest on top.
    std::priority_queue<Duration, std::vector<Duration>, std::greater<>> frees;
    std::vector<const Run*> waiting;
    for (const auto& [id, run] : runs.rows()) {
        if (run.phase_ == RunPhase::Queued) {
            waiting.push_back(&run);
            continue;
        }
        frees.push(remainingOf(run, slowdown, now));
    }
    std::size_t count = countPlaces(runs, capacity);
    while (frees.size() < count)
        frees.push(Duration());
    firstWait_ = frees.top();
    std::sort(waiting.begin(), waiting.end(), [now](const Run* left, const Run* right) { return orderAt(*left, now) < orderAt(*right, now); });
    for (const Run* run : waiting) {
        Duration begin = frees.top();
        frees.pop();
        frees.push(begin + scale(run->work_, slowdown));
        places_.push_back({ orderAt(*run, now), frees.top() });
    }
}

Backlog::Backlog(const Wire::TargetReport& report, Time reportedAt)
    : firstWait_(static_cast<Duration::rep>(report.backlogMicroseconds_))
{
    for (const auto& row : report.queuedBacklogs_)
        places_.push_back({ { row.priority_, reportedAt + Duration(row.dueInMicroseconds_) }, Duration(static_cast<Duration::rep>(row.waitMicroseconds_)) });
}

Duration Backlog::waitOf(const StartOrder& order) const
{
    auto isBefore = [](const StartOrder& value, const Place& place) { return value < place.order_; };
    auto next = std::upper_bound(places_.begin(), places_.end(), order, isBefore);
    return next == places_.begin() ? firstWait_ : std::prev(next)->wait_;
}

std::vector<Wire::QueuedBacklog> Backlog::report(Time now) const
{
    std::vector<Wire::QueuedBacklog> rows;
    std::size_t step = (places_.size() + Wire::maxQueuedBacklogs - 1) / Wire::maxQueuedBacklogs;
    for (std::size_t last = places_.size(); last > 0; last -= std::min(step, last)) {
        const Place& place = places_[last - 1];
        rows.push_back({ place.order_.priority_, (place.order_.due_ - now).count(), static_cast<std::uint64_t>(place.wait_.count()) });
    }
    std::reverse(rows.begin(), rows.end());
    return rows;
}

} // namespace Lagoonpick
