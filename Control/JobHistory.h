#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonpick {

/// One line of a process's log, as far as it matters to a job.
struct HistoryLine {
    /// By the clock of the process's own instance.
    std::int64_t atMilliseconds_ { 0 };
    std::string process_;
    std::string event_;
    /// The other fields, as `name=value` in their order.
    std::string details_;
    /// True if the line names the job; else it says what one of its processes believed meanwhile.
    bool isOfJob_ { false };
    bool operator==(const HistoryLine&) const = default;
};

/// Finds what became of one job in the logs of the whole system, and what the processes that dealt with it learnt about the
/// system at the same time. Lines may come in any order and with a prefix, as log collectors put before them.
///
/// Not thread-safe.
class JobHistory {
public:
    explicit JobHistory(std::string job);

    /// Takes in one line of a log.
    void add(std::string_view line);

    /// The lines that matter, by time.
    std::vector<HistoryLine> lines() const;

    /// Lines that were not JSON objects with a time, a process and an event.
    std::uint64_t unreadable() const { return unreadable_; }

private:
    std::string job_;
    std::vector<HistoryLine> ofJob_;
    std::vector<HistoryLine> beliefs_;
    std::uint64_t unreadable_ { 0 };
};

/// Writes a history as a table for a person, with what it says about the answer.
std::string writeHistoryTable(const JobHistory& history);

/// Writes a history as one JSON array.
std::string writeHistoryJson(const JobHistory& history);

} // namespace Lagoonpick
