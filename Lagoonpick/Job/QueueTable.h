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

    /// Returns the queue of this host with the longest prefix that `path` begins with, or null. Ignores the host's case and port.
    const QueueRule* find(std::string_view host, std::string_view path) const;

private:
    std::uint64_t version_ { 0 };
    /// Longest prefix first.
    std::vector<QueueRule> rules_;
};

} // namespace Lagoonpick
