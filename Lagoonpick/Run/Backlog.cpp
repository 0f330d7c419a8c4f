#include "Lagoonpick/Run/Backlog.h"

#include <algorithm>
#include <functional>
#include <queue>

namespace Lagoonpick {

namespace {

/// A run that exceeds its expected time may end at any moment; its remaining time is estimated as at least this share of
/// the expected time.
constexpr double minRemainingShare = 0.2;

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

Duration expectedBacklog(const RunTable& runs, const Wire::Resources& capacity, double slowdown, Time now)
{
    // The time until each place becomes free, the earliest on top.
    std::priority_queue<Duration, std::vector<Duration>, std::greater<>> places;
    std::vector<const Run*> waiting;
    for (const auto& [id, run] : runs.rows()) {
        if (run.phase_ == RunPhase::Queued) {
            waiting.push_back(&run);
            continue;
        }
        Duration expected = scale(run.work_, slowdown);
        auto estimate = std::max<Duration>(expected - (now - run.startSentAt_), scale(expected, minRemainingShare));
        places.push(run.progress_.remaining(now).value_or(estimate));
    }
    std::size_t count = countPlaces(runs, capacity);
    while (places.size() < count)
        places.push(Duration());
    std::sort(waiting.begin(), waiting.end(), [](const Run* left, const Run* right) { return left->due_ < right->due_; });
    for (const Run* run : waiting) {
        Duration begin = places.top();
        places.pop();
        places.push(begin + scale(run->work_, slowdown));
    }
    return places.top();
}

} // namespace Lagoonpick
