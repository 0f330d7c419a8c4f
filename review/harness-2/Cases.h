#pragma once

#include <string>

namespace Lagoonpick::Review2 {

/// How a script ends.
enum class Verdict {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

/// Many callers leave before their deadline; then an entry must go on serving the others.
Verdict playCallersWhoLeave(const std::string& recordFile, bool isDisturbed);

/// A job is cancelled; then a repeated request for it arrives late.
Verdict playRepeatAfterCancel(const std::string& recordFile, bool isDisturbed);

} // namespace Lagoonpick::Review2
