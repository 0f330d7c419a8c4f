#pragma once

#include <string_view>

namespace Lagoonpick {

/// Key prefix of the job entries, one key per entry: the address at which agents reach the entry.
constexpr std::string_view entriesPrefix = "lagoonpick/entries/";

/// Key prefix of the target records, one key per agent: the target's state, which the agent's next incarnation restores.
constexpr std::string_view targetsPrefix = "lagoonpick/targets/";

} // namespace Lagoonpick
