#pragma once

#include "Lagoonpick/Ledger/LedgerRow.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <deque>
#include <vector>

namespace Lagoonpick {

/// The table of all tasks that an agent was asked to start or was queried about, in flat arrays. A row keeps its index until
/// the row is removed.
///
/// Stores rows only; all decisions are made by `AgentCore`. Not thread-safe.
class Ledger {
public:
    using RowIndex = std::uint32_t;
    static constexpr RowIndex noRow = UINT32_MAX;

    /// The row of `key`, or `noRow`.
    RowIndex find(const TaskKey& key) const;

    /// Adds a row for `key`, which must have none, with all other fields at their defaults.
    RowIndex add(const TaskKey& key, Time now);

    LedgerRow& at(RowIndex index) { return rows_[index]; }
    const LedgerRow& at(RowIndex index) const { return rows_[index]; }

    /// The rows of one submission, in no particular order.
    const std::vector<RowIndex>& rowsOf(const SubmissionId& submission) const;

    /// Removes rows that were added before `limit`, oldest first, up to the first for which `mayRemove` returns false.
    /// Amortized constant time.
    template <typename Predicate>
    void removeAddedBefore(Time limit, Predicate mayRemove);

    std::size_t size() const { return indexOf_.size(); }

private:
    struct Addition {
        Time at_;
        RowIndex row_;
    };

    void remove(RowIndex index);

    std::vector<LedgerRow> rows_;
    std::vector<RowIndex> freeRows_;
    boost::unordered_flat_map<TaskKey, RowIndex, std::hash<TaskKey>> indexOf_;
    boost::unordered_flat_map<SubmissionId, std::vector<RowIndex>, std::hash<SubmissionId>> rowsOf_;
    /// All rows in the order of their addition, but for rows that `removeAddedBefore` moved to the end.
    std::deque<Addition> additions_;
};

template <typename Predicate>
void Ledger::removeAddedBefore(Time limit, Predicate mayRemove)
{
    while (!additions_.empty() && additions_.front().at_ < limit) {
        Addition addition = additions_.front();
        additions_.pop_front();
        if (mayRemove(rows_[addition.row_])) {
            remove(addition.row_);
            continue;
        }
        // The row of a task that still waits or runs is checked again only after all rows added meanwhile.
        additions_.push_back({ limit, addition.row_ });
        return;
    }
}

} // namespace Lagoonpick
