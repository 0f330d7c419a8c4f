#pragma once

#include "Lagoonpick/Dispatch/Reply.h"
#include "Lagoonpick/Dispatch/RunTimeModel.h"
#include "Lagoonpick/Dispatch/TargetTable.h"

#include <optional>
#include <span>

namespace Lagoonpick {

/// Admission control: refuses a job on arrival if the backlog at this entry is too long or the job is not expected to
/// meet its deadline. Estimates both from the tasks that wait here and the throughput of the service's targets. Refuses
/// nothing until the run-time model has its first sample. The cost of a check is linear in the targets of the service.
class Admission {
public:
    /// The state of one service at this entry.
    struct ServiceState {
        const TargetTable& table_;
        std::span<const TargetIndex> targets_;
        const RunTimeModel& model_;
        /// Tasks that wait at this entry and have not been sent to a target.
        std::uint64_t pending_ { 0 };
    };

    /// `entryCount` is the number of entries that share the targets, including this one; at least 1.
    Admission(Duration maxBacklog, std::size_t entryCount)
        : maxBacklog_(maxBacklog)
        , entryCount_(entryCount)
    {
    }

    /// Returns the reason to refuse the job and when it is expected to be accepted, or nothing if the job should be accepted.
    std::optional<Problem> check(const ServiceState&, const Submission&) const;

    /// The expected time until all waiting tasks of the service and `additionalWork` have been sent. The unit of
    /// `additionalWork` is a microsecond on a target of slowdown 1.
    Duration expectedBacklog(const ServiceState&, double additionalWork) const;

    /// The wait as a `Retry-After` header gives it: at least a second.
    static std::uint32_t secondsFor(Duration wait);

private:
    Duration maxBacklog_;
    std::size_t entryCount_;
};

} // namespace Lagoonpick
