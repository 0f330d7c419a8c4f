#pragma once

#include "Lagoonpick/Core/SteadyTime.h"
#include "Lagoonpick/Transport/HttpClient.h"
#include "Load/Scenario.h"

#include <deque>

namespace Lagoonpick {

/// The result of one job of a load run.
struct LoadJobResult {
    std::uint32_t job_ { 0 };
    std::string id_;
    /// HTTP status of the answer; 0 if there was none.
    std::uint32_t status_ { 0 };
    /// "complete", "failed", "refused", or "none" if there was no answer.
    std::string outcome_;
    std::uint32_t tasksAnswered_ { 0 };
    /// From the start of sending the job, including a request for ids if needed, to its answer.
    Duration response_ {};
};

/// Open-loop load generator: sends each job of a planned workload to running entries at its arrival time, regardless of
/// the progress of earlier jobs. Assigns jobs to entries round-robin. Sends each job once, without retries. Used by the
/// thread of its `io_context` only.
class LoadGenerator {
public:
    LoadGenerator(boost::asio::io_context& context, Scenario scenario, std::vector<PlannedJob> jobs);

    /// Sends the whole workload after the warm-up; spawn it on the context. The context runs out of work once all jobs
    /// have been answered or have timed out.
    boost::asio::awaitable<void> run();

    const std::vector<LoadJobResult>& outcomes() const { return outcomes_; }

private:
    boost::asio::awaitable<void> send(std::uint32_t job);
    boost::asio::awaitable<std::string> takeId(std::size_t entry);

    boost::asio::io_context& context_;
    Scenario scenario_;
    std::vector<PlannedJob> jobs_;
    std::vector<LoadJobResult> outcomes_;
    std::vector<std::unique_ptr<HttpClient>> clients_;
    /// Submission ids issued by each entry and not yet used.
    std::vector<std::deque<std::string>> ids_;
};

} // namespace Lagoonpick
