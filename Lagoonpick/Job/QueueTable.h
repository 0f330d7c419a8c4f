#pragma once

#include "Lagoonpick/Job/JobRequest.h"

namespace Lagoonpick {

/// The queues of one version of the operators' configuration. Immutable once built.
class QueueTable {
public:
    QueueTable() = default;
    QueueTable(std::uint64_t version, std::vector<QueueRule> rules);

    std::uint64_t version() const { return version_; }
    const std::vector<QueueRule>& rules() const { return rules_; }

    /// The queue with the longest prefix that `path` begins with, for this host; null if there is none.
    const QueueRule* find(std::string_view host, std::string_view path) const;

private:
    std::uint64_t version_ { 0 };
    /// Longest prefix first.
    std::vector<QueueRule> rules_;
};

} // namespace Lagoonpick
