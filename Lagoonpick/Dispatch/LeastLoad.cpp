#include "Lagoonpick/Dispatch/LeastLoad.h"

namespace Lagoonpick {

std::optional<TargetIndex> LeastLoad::choose(const Choice& choice) const
{
    std::optional<TargetIndex> best;
    for (auto index : choice.candidates_) {
        if (!choice.isOpen(index))
            continue;
        bool isLessBusy = !best || choice.targets_.loadOf(index).busy() < choice.targets_.loadOf(*best).busy();
        if (isLessBusy)
            best = index;
    }
    return best;
}

} // namespace Lagoonpick
