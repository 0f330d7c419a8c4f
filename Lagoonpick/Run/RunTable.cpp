#include "Lagoonpick/Run/RunTable.h"

#include <algorithm>

namespace Lagoonpick {

RunTable::Id RunTable::add(Run run)
{
    rows_.emplace(++lastId_, std::move(run));
    return lastId_;
}

void RunTable::remove(Id id)
{
    rows_.erase(id);
}

Run* RunTable::find(Id id)
{
    auto found = rows_.find(id);
    return found == rows_.end() ? nullptr : &found->second;
}

RunTable::Id RunTable::findOnTarget(const RunName& name) const
{
    for (const auto& [id, run] : rows_) {
        if (run.phase_ != RunPhase::Queued && run.name_ == name)
            return id;
    }
    return 0;
}

RunTable::Id RunTable::findOfEntry(Incarnation entry, std::uint64_t number) const
{
    for (const auto& [id, run] : rows_) {
        if (run.entry_ == entry && run.run_ == number)
            return id;
    }
    return 0;
}

Wire::Resources RunTable::used() const
{
    Wire::Resources sum;
    for (const auto& [id, run] : rows_) {
        if (run.phase_ != RunPhase::Queued)
            sum = sum + run.need_;
    }
    return sum;
}

Wire::Resources RunTable::queued() const
{
    Wire::Resources sum;
    for (const auto& [id, run] : rows_) {
        if (run.phase_ == RunPhase::Queued)
            sum = sum + run.need_;
    }
    return sum;
}

std::size_t RunTable::queuedCount() const
{
    return std::count_if(rows_.begin(), rows_.end(), [](const auto& row) { return row.second.phase_ == RunPhase::Queued; });
}

} // namespace Lagoonpick
