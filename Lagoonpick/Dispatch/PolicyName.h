#pragma once

#include "Lagoonpick/Core/Error.h"

#include <cstdint>
#include <string_view>

namespace Lagoonpick {

/// The policies for choosing a target.
enum class PolicyName : std::uint8_t {
    ExpectedFinish,
    TwoChoices,
    LeastLoad,
    RandomTarget,
};

/// Parses the name of a policy from the settings. Fails with `Malformed` and a message that lists the valid names.
Outcome<PolicyName> readPolicyName(std::string_view text);

} // namespace Lagoonpick
