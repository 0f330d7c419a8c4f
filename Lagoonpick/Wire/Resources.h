#pragma once

#include <cstdint>
#include <limits>

namespace Lagoonpick::Wire {

/// Resources that a task needs, that runs occupy, or that a target has.
struct Resources {
    std::uint32_t milliCores_ { 0 };
    std::uint32_t memoryMegabytes_ { 0 };
    std::uint32_t accelerators_ { 0 };
    bool operator==(const Resources&) const = default;
};

/// The sum of two amounts, or the highest amount if that is lower: a sum that wrapped would make a full target look free.
inline std::uint32_t addAmounts(std::uint32_t left, std::uint32_t right)
{
    std::uint32_t sum = left + right;
    return sum < left ? std::numeric_limits<std::uint32_t>::max() : sum;
}

inline Resources operator+(const Resources& left, const Resources& right)
{
    return { addAmounts(left.milliCores_, right.milliCores_), addAmounts(left.memoryMegabytes_, right.memoryMegabytes_), addAmounts(left.accelerators_, right.accelerators_) };
}

/// Returns whether `need` fits into `capacity` beside `used`.
inline bool hasRoom(const Resources& capacity, const Resources& used, const Resources& need)
{
    Resources sum = used + need;
    return sum.milliCores_ <= capacity.milliCores_ && sum.memoryMegabytes_ <= capacity.memoryMegabytes_
        && sum.accelerators_ <= capacity.accelerators_;
}

} // namespace Lagoonpick::Wire
