#pragma once

#include "Lagoonpick/Core/Incarnation.h"
#include "Lagoonpick/Run/LeaseTiming.h"

#include <string>

namespace Lagoonpick {

/// What an entry that holds jobs is told at start.
struct JobSettings {
    std::string name_;
    std::string availabilityZone_;
    Incarnation incarnation_;
    /// Where agents and other entries reach this one.
    std::string linkAddress_;

    /// How often an entry says that it lives: a fifth of the time after which agents stop its runs.
    Duration pulseInterval_ { std::chrono::milliseconds(100) };
    /// An agent that was silent for so long has its link reset: four of its pulses.
    Duration linkTimeout_ { std::chrono::milliseconds(400) };
    LeaseTiming times_;
    /// The way of an answer to the caller, and a little for the time it takes to be noticed that it is due.
    Duration answerMargin_ { std::chrono::milliseconds(40) };
    /// What a job spends on the way, at the entry and at the agent.
    Duration overhead_ { std::chrono::milliseconds(15) };
    /// A configuration confirmed longer ago than this can't prove that a queue does not exist.
    Duration configurationFreshness_ { std::chrono::milliseconds(2500) };
    /// How long jobs are still taken once shutdown has begun: until the balancer has noticed.
    Duration shutdownAcceptance_ { std::chrono::milliseconds(2500) };
    /// When shutdown gives up what still runs.
    Duration shutdownTimeout_ { std::chrono::milliseconds(5200) };
    /// How long the answer of a job is remembered, for a request that was overtaken by its own answer.
    Duration answerLifetime_ { std::chrono::seconds(10) };
    /// A job that waits longer than this for a stop's confirmation is answered as given up.
    Duration recallTimeout_ { std::chrono::milliseconds(100) };
    /// How many times as long a task takes on another rack than that of its data.
    double remoteFactor_ { 1 };
    std::uint32_t maxJobs_ { 4000 };
    std::uint32_t maxTasks_ { 1000 };
};

} // namespace Lagoonpick
