#pragma once

#include <string_view>

namespace Lagoonpick {

/// Below it, each entry that holds jobs keeps the address at which agents reach it.
constexpr std::string_view entriesPrefix = "lagoonpick/entries/";

/// Below it, each agent keeps what its next life has to know of its target.
constexpr std::string_view targetsPrefix = "lagoonpick/targets/";

} // namespace Lagoonpick
