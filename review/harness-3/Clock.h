#pragma once

#include <cstdint>

namespace Review {

/// Milliseconds since the start of the program, by the steady clock.
std::int64_t nowMs();

/// Waits until `nowMs` has reached a time.
void sleepUntilMs(std::int64_t time);

} // namespace Review
