#pragma once

#include <boost/json.hpp>
#include <string>

namespace Lagoonpick {

/// A value as a person reads it: texts without quotes, numbers without exponents.
std::string textOf(const boost::json::value& value);

/// A member of an object like this; "-" if there is none.
std::string textOf(const boost::json::object& object, std::string_view member);

} // namespace Lagoonpick
