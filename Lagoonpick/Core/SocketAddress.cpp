#include "Lagoonpick/Core/SocketAddress.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <optional>
#include <string>

namespace Lagoonpick {

namespace {

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return port;
}

/// The port of a valid address; nothing if the address isn't valid.
std::optional<std::uint16_t> portOf(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string host(text.substr(0, colon));
    bool isBracketed = host.size() > 1 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    auto address = boost::asio::ip::make_address(host, error);
    if (error || address.is_v6() != isBracketed)
        return std::nullopt;
    return parsePort(text.substr(colon + 1));
}

} // namespace

bool isSocketAddress(std::string_view text)
{
    return portOf(text).has_value();
}

bool isDestinationAddress(std::string_view text)
{
    return portOf(text).value_or(0) != 0;
}

} // namespace Lagoonpick
