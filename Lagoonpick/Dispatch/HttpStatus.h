#pragma once

#include <cstdint>

/// The HTTP status codes of replies to callers (RFC 9110).
namespace Lagoonpick::HttpStatus {

constexpr std::uint32_t ok = 200;
constexpr std::uint32_t badRequest = 400;
constexpr std::uint32_t notFound = 404;
constexpr std::uint32_t methodNotAllowed = 405;
constexpr std::uint32_t gone = 410;
constexpr std::uint32_t contentTooLarge = 413;
constexpr std::uint32_t misdirectedRequest = 421;
constexpr std::uint32_t unprocessableContent = 422;
constexpr std::uint32_t preconditionRequired = 428;
constexpr std::uint32_t serviceUnavailable = 503;
constexpr std::uint32_t gatewayTimeout = 504;

} // namespace Lagoonpick::HttpStatus
