#include "Control/JsonText.h"

#include <fmt/format.h>

namespace Lagoonpick {

std::string formatValue(const boost::json::value& value)
{
    if (value.is_double())
        return fmt::format("{}", value.get_double());
    return value.is_string() ? std::string(value.get_string()) : boost::json::serialize(value);
}

std::string formatValue(const boost::json::object& object, std::string_view member)
{
    const auto* value = object.if_contains(member);
    return value ? formatValue(*value) : "-";
}

} // namespace Lagoonpick
