#include "Lagoonpick/Job/QueueTable.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>

namespace Lagoonpick {

QueueTable::QueueTable(std::uint64_t version, std::vector<QueueRule> rules)
    : version_(version)
    , rules_(std::move(rules))
{
    std::stable_sort(rules_.begin(), rules_.end(), [](const auto& left, const auto& right) { return left.prefix_.size() > right.prefix_.size(); });
}

const QueueRule* QueueTable::find(std::string_view host, std::string_view path) const
{
    std::string_view name = host.substr(0, host.find(':'));
    for (const auto& rule : rules_) {
        if (path.starts_with(rule.prefix_) && boost::algorithm::iequals(name, rule.host_))
            return &rule;
    }
    return nullptr;
}

} // namespace Lagoonpick
