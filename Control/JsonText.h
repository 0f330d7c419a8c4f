#pragma once

#include <boost/json.hpp>
#include <string>

namespace Lagoonpick {

/// Formats a JSON value for operators: strings without quotes, floating-point numbers in the shortest form without needless
/// exponents, other values as JSON.
std::string formatValue(const boost::json::value& value);

/// Formats a member of an object in this way; `-` if there is none.
std::string formatValue(const boost::json::object& object, std::string_view member);

} // namespace Lagoonpick
