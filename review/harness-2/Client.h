#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace Lagoonpick::Review2 {

/// One HTTP request of a client, on a connection of its own.
struct ClientRequest {
    std::string address_;
    std::string method_;
    std::string path_;
    std::string body_;
    /// How long the client waits, as it tells the server in `Lagoonpick-Deadline-Ms`.
    std::chrono::milliseconds deadline_ { 1500 };
    /// When the client closes its connection without having read an answer; empty if it waits until its deadline.
    std::optional<std::chrono::milliseconds> leaveAfter_ {};
};

/// What a client saw.
struct ClientAnswer {
    enum class End {
        Answered,
        /// Closed or reset by the server before a complete answer.
        Broken,
        /// Nothing came until the deadline.
        TimedOut,
        /// The client itself closed the connection early.
        Left,
    };
    End end_ { End::Broken };
    int status_ { 0 };
    std::string body_;

    bool isSuccess() const { return end_ == End::Answered && status_ >= 200 && status_ < 300; }
    /// A few words for the record.
    std::string describe() const;
};

/// Sends a request and waits for its answer.
ClientAnswer send(const ClientRequest& request);

/// The body of a job that need not be kept: identical tasks that each take `workMs` on `milliCores`.
std::string makeJob(int tasks, int workMs, int milliCores);

/// The path of the job with this number.
std::string jobPath(std::uint64_t number);

} // namespace Lagoonpick::Review2
