#include "Lagoonpick/Ledger/Ledger.h"

#include <algorithm>
#include <cassert>

namespace Lagoonpick {

Ledger::RowIndex Ledger::find(const TaskKey& key) const
{
    auto found = indexOf_.find(key);
    return found == indexOf_.end() ? noRow : found->second;
}

Ledger::RowIndex Ledger::add(const TaskKey& key, Time now)
{
    assert(find(key) == noRow);
    if (freeRows_.empty()) {
        freeRows_.push_back(static_cast<RowIndex>(rows_.size()));
        rows_.emplace_back();
    }
    RowIndex index = freeRows_.back();
    freeRows_.pop_back();
    rows_[index] = LedgerRow { .key_ = key };
    indexOf_.emplace(key, index);
    rowsOf_[key.submission_].push_back(index);
    additions_.push_back({ now, index });
    return index;
}

const std::vector<Ledger::RowIndex>& Ledger::rowsOf(const SubmissionId& submission) const
{
    static const std::vector<RowIndex> none;
    auto found = rowsOf_.find(submission);
    return found == rowsOf_.end() ? none : found->second;
}

void Ledger::remove(RowIndex index)
{
    const TaskKey key = rows_[index].key_;
    indexOf_.erase(key);
    auto found = rowsOf_.find(key.submission_);
    std::erase(found->second, index);
    if (found->second.empty())
        rowsOf_.erase(found);
    rows_[index] = {};
    freeRows_.push_back(index);
}

} // namespace Lagoonpick
