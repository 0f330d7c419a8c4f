#pragma once

#include <string_view>

namespace Lagoonpick {

/// Below it, each entry that holds jobs keeps the address at which agents reach it.
constexpr std::string_view entriesPrefix = "lagoonpick/entries/";

} // namespace Lagoonpick
