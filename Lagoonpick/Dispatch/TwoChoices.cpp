#include "Lagoonpick/Dispatch/TwoChoices.h"

namespace Lagoonpick {

std::optional<TargetIndex> TwoChoices::choose(const Choice& choice) const
{
    TargetIndex first = choice.randomCandidate();
    TargetIndex second = choice.randomCandidate();
    bool isFirstOpen = choice.isOpen(first);
    bool isSecondOpen = choice.isOpen(second);
    if (!isFirstOpen && !isSecondOpen)
        return std::nullopt;
    if (isFirstOpen != isSecondOpen)
        return isFirstOpen ? first : second;
    bool isFirstLessBusy = choice.targets_.loadOf(first).busy() <= choice.targets_.loadOf(second).busy();
    return isFirstLessBusy ? first : second;
}

} // namespace Lagoonpick
