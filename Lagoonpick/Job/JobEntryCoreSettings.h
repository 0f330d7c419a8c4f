#pragma once

#include "Lagoonpick/Core/Incarnation.h"
#include "Lagoonpick/Run/LeaseTiming.h"

#include <string>

namespace Lagoonpick {

/// Settings that a `JobEntryCore` gets at construction.
struct JobEntryCoreSettings {
    std::string name_;
    std::string availabilityZone_;
    Incarnation incarnation_;
    /// Address at which agents and other entries connect to this entry.
    std::string linkAddress_;

    /// Interval of the heartbeats to agents that have runs of this entry: a fifth of the default `LeaseTiming::entryTimeout_`.
    Duration heartbeatInterval_ { std::chrono::milliseconds(100) };
    /// Interval of the heartbeats to other agents. They have nothing to stop, so that only the link depends on it.
    Duration idleHeartbeatInterval_ { std::chrono::milliseconds(200) };
    /// An agent's link on which nothing was received for this long is aborted: four of the agent's heartbeat intervals.
    Duration linkTimeout_ { std::chrono::milliseconds(400) };
    LeaseTiming times_;
    /// Reserve before the caller's deadline: for the answer's way to the caller, and for the delay until a timer tick notices
    /// that the answer is due.
    Duration answerMargin_ { std::chrono::milliseconds(40) };
    /// Time that a job spends in transit, at the entry and at the agent, beside its run time.
    Duration overhead_ { std::chrono::milliseconds(15) };
    /// Longest time since the configuration was confirmed for which it can prove that a queue does not exist.
    Duration configurationFreshness_ { std::chrono::milliseconds(2500) };
    /// How long jobs are still accepted once shutdown has begun: until the load balancer has noticed.
    Duration shutdownAcceptance_ { std::chrono::milliseconds(2500) };
    /// Time after the start of shutdown at which unfinished jobs are given up.
    Duration shutdownTimeout_ { std::chrono::milliseconds(5200) };
    /// How long the answer to a job is kept, for a repeated request that arrives after the job was answered.
    Duration answerLifetime_ { std::chrono::seconds(10) };
    /// Longest time that a recalled job waits for its runs to be confirmed as stopped: a stop at the target, and the ways there and
    /// back. Then, or when its caller would leave without an answer, it is answered as given up.
    Duration recallTimeout_ { std::chrono::milliseconds(100) };
    /// Factor on a task's expected run time on another rack than that of its data.
    double remoteFactor_ { 1 };
    std::uint32_t maxJobs_ { 4000 };
    std::uint32_t maxTasks_ { 1000 };
};

} // namespace Lagoonpick
