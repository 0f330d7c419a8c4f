#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonpick {

/// A log line that names a job or gives context for it.
struct HistoryLine {
    /// Unix time by the clock of the process's own instance.
    std::int64_t atMilliseconds_ { 0 };
    std::string process_;
    std::string event_;
    /// The other fields as `name=value`, separated by spaces, in the order of the line.
    std::string details_;
    /// True if the line names the job; false for a context event of a process that logged such lines.
    bool isOfJob_ { false };
    bool operator==(const HistoryLine&) const = default;
};

/// Collects the log lines of one job from the logs of the whole system, with context events of the processes that logged
/// them. A context event reports a change of a process's own state or of its view of the system. Lines may be added in any
/// order, with or without the prefix of a log collector.
///
/// Not thread-safe.
class JobHistory {
public:
    explicit JobHistory(std::string job);

    /// Adds a line of any process's log. Ignores lines without a `{`.
    void add(std::string_view line);

    /// The job's lines and the context events from 2 s before the first to the last of them, by time. Empty if no line names the
    /// job.
    std::vector<HistoryLine> lines() const;

    /// Number of lines with a `{` that held no JSON object with a time, a process and an event.
    std::uint64_t unparsedLines() const { return unparsedLines_; }

private:
    std::string job_;
    std::vector<HistoryLine> jobLines_;
    std::vector<HistoryLine> contextLines_;
    std::uint64_t unparsedLines_ { 0 };
};

/// Writes a history as a table for operators, with a line on the job's outcome. A `*` marks lines that name the job.
std::string writeHistoryTable(const JobHistory& history);

/// Writes a history as a JSON array.
std::string writeHistoryJson(const JobHistory& history);

} // namespace Lagoonpick
