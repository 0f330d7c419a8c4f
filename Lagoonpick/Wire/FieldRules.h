#pragma once

#include "Lagoonpick/Core/Incarnation.h"
#include "Lagoonpick/Wire/Resources.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>
#include <websocketpp/utf8_validator.hpp>

/// Rules for the values of fields in frames. A rule's `findFault` says what is wrong with a value, empty if nothing is. A rule with
/// `reduce` is one for measures: the encoder writes the nearest value within the limits, so that no peer rejects it.
namespace Lagoonpick::Wire {

/// A field of a message with its name, as errors name it, and its rule.
template <typename Value, typename Rule>
struct Field {
    std::string_view name_;
    Value& value_;
    Rule rule_;
};

/// Every value of the type is valid.
struct AnyValue {
    std::string_view findFault(const auto&) const { return {}; }
};

/// A number that identifies something.
template <typename Number>
struct InRange {
    Number min_;
    Number max_;
    std::string_view findFault(Number value) const
    {
        if (value < min_)
            return " is below its limit";
        return value > max_ ? " is above its limit" : "";
    }
};

/// A number that measures something.
template <typename Number>
struct Measure {
    Number min_;
    Number max_;
    std::string_view findFault(Number value) const { return InRange<Number> { min_, max_ }.findFault(value); }
    Number reduce(Number value) const { return std::clamp(value, min_, max_); }
};

struct ResourcesUpTo {
    std::uint32_t max_;
    std::string_view findFault(const Resources& value) const { return reduce(value) == value ? "" : " is above its limit"; }
    Resources reduce(const Resources& value) const
    {
        return { std::min(value.milliCores_, max_), std::min(value.memoryMegabytes_, max_), std::min(value.accelerators_, max_) };
    }
};

/// UTF-8, since texts get into calls to targets and into the log.
struct ValidText {
    std::size_t minBytes_;
    std::size_t maxBytes_;
    std::string_view findFault(const std::string& value) const
    {
        if (value.size() < minBytes_)
            return " is empty";
        if (value.size() > maxBytes_)
            return " is too long";
        return websocketpp::utf8_validator::validate(value) ? "" : " is no UTF-8";
    }
};

struct ValidTexts {
    std::size_t maxCount_;
    ValidText each_;
    std::string_view findFault(const std::vector<std::string>& values) const
    {
        for (const auto& value : values) {
            if (auto fault = each_.findFault(value); !fault.empty())
                return fault;
        }
        return {};
    }
};

/// Texts of a set, in ascending order.
struct SortedTexts {
    std::size_t maxCount_;
    ValidText each_;
    std::string_view findFault(const std::vector<std::string>& values) const
    {
        if (std::adjacent_find(values.begin(), values.end(), std::greater_equal<>()) != values.end())
            return " is out of order";
        return ValidTexts { maxCount_, each_ }.findFault(values);
    }
};

struct ValidIncarnation {
    std::string_view findFault(Incarnation value) const { return value.isValid() ? "" : " is none"; }
};

} // namespace Lagoonpick::Wire
