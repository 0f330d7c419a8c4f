#include "Lagoonpick/Dispatch/LeastLoad.h"

namespace Lagoonpick {

std::optional<TargetIndex> LeastLoad::choose(const PolicyInput& input) const
{
    std::optional<TargetIndex> best;
    for (auto index : input.candidates_) {
        if (!input.isOpen(index))
            continue;
        bool isLessBusy = !best || input.targets_.loadOf(index).busy() < input.targets_.loadOf(*best).busy();
        if (isLessBusy)
            best = index;
    }
    return best;
}

} // namespace Lagoonpick
