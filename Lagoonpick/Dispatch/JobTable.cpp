#include "Lagoonpick/Dispatch/JobTable.h"

#include <cassert>

namespace Lagoonpick {

JobIndex JobTable::find(const SubmissionId& id) const
{
    auto found = indexOf_.find(id);
    return found == indexOf_.end() ? noJob : found->second;
}

JobIndex JobTable::add(const SubmissionId& id)
{
    assert(find(id) == noJob);
    if (freeJobs_.empty()) {
        freeJobs_.push_back(static_cast<JobIndex>(jobs_.size()));
        jobs_.emplace_back();
    }
    JobIndex index = freeJobs_.back();
    freeJobs_.pop_back();
    jobs_[index] = Job { .id_ = id };
    indexOf_.emplace(id, index);
    return index;
}

void JobTable::remove(JobIndex index)
{
    indexOf_.erase(jobs_[index].id_);
    jobs_[index] = {};
    freeJobs_.push_back(index);
}

} // namespace Lagoonpick
