#pragma once

#include <cstdint>

namespace Lagoonpick::Wire {

/// Resources that a task needs, that runs occupy, or that a target has.
struct Resources {
    std::uint32_t milliCores_ { 0 };
    std::uint32_t memoryMegabytes_ { 0 };
    std::uint32_t accelerators_ { 0 };
    bool operator==(const Resources&) const = default;
};

inline Resources operator+(const Resources& left, const Resources& right)
{
    return { left.milliCores_ + right.milliCores_, left.memoryMegabytes_ + right.memoryMegabytes_, left.accelerators_ + right.accelerators_ };
}

/// Returns whether `need` fits into `capacity` beside `used`.
inline bool hasRoom(const Resources& capacity, const Resources& used, const Resources& need)
{
    Resources sum = used + need;
    return sum.milliCores_ <= capacity.milliCores_ && sum.memoryMegabytes_ <= capacity.memoryMegabytes_
        && sum.accelerators_ <= capacity.accelerators_;
}

} // namespace Lagoonpick::Wire
