#pragma once

#include <string_view>

namespace Lagoonpick {

/// True if `text` is `IP:port` with a numeric IPv4 address or a bracketed IPv6 address. Port 0, which leaves the choice to the
/// system, is included.
bool isSocketAddress(std::string_view text);

/// True if a connection can be made to `text`: a socket address with a port above 0.
bool isDestinationAddress(std::string_view text);

} // namespace Lagoonpick
