#include "Lagoonpick/Dispatch/TwoChoices.h"

namespace Lagoonpick {

std::optional<TargetIndex> TwoChoices::choose(const PolicyInput& input) const
{
    TargetIndex first = input.randomCandidate();
    TargetIndex second = input.randomCandidate();
    bool isFirstOpen = input.isOpen(first);
    bool isSecondOpen = input.isOpen(second);
    if (!isFirstOpen && !isSecondOpen)
        return std::nullopt;
    if (isFirstOpen != isSecondOpen)
        return isFirstOpen ? first : second;
    bool isFirstLessBusy = input.targets_.loadOf(first).busy() <= input.targets_.loadOf(second).busy();
    return isFirstLessBusy ? first : second;
}

} // namespace Lagoonpick
