#include "Clock.h"

#include <chrono>
#include <thread>

namespace Review {

namespace {

const std::chrono::steady_clock::time_point startTime = std::chrono::steady_clock::now();

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - startTime).count();
}

void sleepUntilMs(std::int64_t time)
{
    std::this_thread::sleep_until(startTime + std::chrono::milliseconds(time));
}

} // namespace Review
