#include "Lagoonpick/Dispatch/ExpectedFinish.h"

#include <algorithm>
#include <limits>

namespace Lagoonpick {

namespace {

/// Candidates examined per decision; of a longer list, consecutive ones from a random index on.
constexpr std::size_t maxCandidates = 32;

double expectedFinish(const TargetLoad& target, const PolicyInput& input)
{
    std::uint32_t slots = std::max(target.slots_, 1U);
    std::uint32_t tasksAhead = target.busy() < slots ? 0 : target.busy() - slots + 1;
    double wait = input.meanWork_ * target.slowdown_ * tasksAhead / slots;
    return wait + input.expectedWork_ * target.slowdown_;
}

} // namespace

std::optional<TargetIndex> ExpectedFinish::choose(const PolicyInput& input) const
{
    const auto& candidates = input.candidates_;
    std::size_t first = candidates.size() > maxCandidates ? input.random_() % candidates.size() : 0;
    std::size_t count = std::min(candidates.size(), maxCandidates);
    std::optional<TargetIndex> best;
    double bestFinish = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < count; ++i) {
        TargetIndex index = candidates[(first + i) % candidates.size()];
        if (!input.isOpen(index))
            continue;
        double finish = expectedFinish(input.targets_.loadOf(index), input);
        if (finish < bestFinish) {
            bestFinish = finish;
            best = index;
        }
    }
    return best;
}

} // namespace Lagoonpick
