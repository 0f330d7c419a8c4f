#include "Lagoonpick/Membership/Registration.h"

#include "Lagoonpick/Core/SocketAddress.h"

#include <boost/json.hpp>
#include <stdexcept>

namespace Lagoonpick {

namespace json = boost::json;

std::string writeRegistration(const Registration& registration)
{
    return json::serialize(json::object {
        { "target", registration.target_ },
        { "service", registration.service_ },
        { "zone", registration.availabilityZone_ },
        { "address", registration.address_ },
        { "agent", registration.agent_.toString() },
        { "generation", registration.generation_ },
        { "registered_at_ms", toUnixMilliseconds(registration.registeredAt_) },
        { "has_left", registration.hasLeft_ },
        { "ledger_lost_at_ms", toUnixMilliseconds(registration.ledgerLostAt_) },
    });
}

namespace {

/// Throws `std::exception` unless the value is a time that fits into `Time`.
Time readTime(const json::value& value)
{
    constexpr std::int64_t maxMilliseconds = Duration::max().count() / 1000;
    auto milliseconds = value.to_number<std::int64_t>();
    if (milliseconds < 0 || milliseconds > maxMilliseconds)
        throw std::out_of_range("a time is out of range");
    return fromUnixMilliseconds(milliseconds);
}

} // namespace

Outcome<Registration> readRegistration(std::string_view text)
{
    // Boost.JSON reports malformed input by exceptions; they are converted to errors here.
    try {
        auto value = json::parse(json::string_view(text.data(), text.size()));
        auto agent = Incarnation::parse(json::value_to<std::string>(value.at("agent")));
        if (!agent)
            return fail(ErrorCode::Malformed, "'agent' is not an incarnation");
        auto address = json::value_to<std::string>(value.at("address"));
        if (!isDestinationAddress(address))
            return fail(ErrorCode::Malformed, "'address' is not an address to connect to");
        return Registration {
            .target_ = json::value_to<std::string>(value.at("target")),
            .service_ = json::value_to<std::string>(value.at("service")),
            .availabilityZone_ = json::value_to<std::string>(value.at("zone")),
            .address_ = std::move(address),
            .agent_ = *agent,
            .generation_ = value.at("generation").to_number<std::uint64_t>(),
            .registeredAt_ = readTime(value.at("registered_at_ms")),
            .hasLeft_ = value.at("has_left").as_bool(),
            .ledgerLostAt_ = readTime(value.at("ledger_lost_at_ms")),
        };
    } catch (const std::exception& exception) {
        return fail(ErrorCode::Malformed, exception.what());
    }
}

} // namespace Lagoonpick
