#pragma once

#include "Lagoonpick/Dispatch/Job.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <deque>
#include <vector>

namespace Lagoonpick {

/// The jobs whose home this entry is, in a flat array. A job keeps its index until it is forgotten.
///
/// Not thread-safe. References are valid until the next `add`.
class JobTable {
public:
    /// The index of the job with this id, or `noJob`.
    JobIndex find(const SubmissionId& id) const;

    /// Adds a job for `id`, which must have none.
    JobIndex add(const SubmissionId& id);

    Job& at(JobIndex index) { return jobs_[index]; }
    const Job& at(JobIndex index) const { return jobs_[index]; }

    void remove(JobIndex index);

    /// Number of jobs, open and ended.
    std::size_t size() const { return indexOf_.size(); }

    /// Calls `visit` with the index of each job.
    template <typename Visitor>
    void forEach(Visitor visit) const
    {
        for (const auto& [id, index] : indexOf_)
            visit(index);
    }

private:
    std::vector<Job> jobs_;
    std::vector<JobIndex> freeJobs_;
    boost::unordered_flat_map<SubmissionId, JobIndex, std::hash<SubmissionId>> indexOf_;
};

} // namespace Lagoonpick
