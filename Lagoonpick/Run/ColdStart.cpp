#include "Lagoonpick/Run/ColdStart.h"

#include <algorithm>

namespace Lagoonpick {

namespace {

/// Divisor of the processors that a target is given when it becomes cold: a target of 32 cores runs a few tasks of one core.
constexpr std::uint32_t initialDivisor = 8;
/// Room for one task of a usual size.
constexpr std::uint32_t minMilliCores = 1000;
/// A run that took up to this multiple of its expected time ended at the expected speed: declared times are off by 40 %, and kinds of
/// targets differ.
constexpr double expectedFactor = 2;

} // namespace

bool ColdStart::record(Duration coldLeft, const Wire::Resources& capacity, Time now)
{
    bool wasCold = isCold(now);
    if (coldLeft <= Duration()) {
        coldUntil_ = std::min(coldUntil_, now);
        return false;
    }
    coldUntil_ = now + coldLeft;
    if (wasCold)
        return false;
    coldSince_ = now;
    milliCores_ = std::max(capacity.milliCores_ / initialDivisor, minMilliCores);
    return true;
}

void ColdStart::recordDone(Duration took, Duration work, const Wire::Resources& need, Time now)
{
    if (isCold(now) && took <= scale(work, expectedFactor))
        milliCores_ = Wire::addAmounts(milliCores_, need.milliCores_);
}

Wire::Resources ColdStart::reduce(Wire::Resources capacity, Time now) const
{
    if (isCold(now))
        capacity.milliCores_ = std::min(capacity.milliCores_, milliCores_);
    return capacity;
}

} // namespace Lagoonpick
