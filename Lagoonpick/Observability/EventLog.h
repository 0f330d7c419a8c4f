#pragma once

#include "Lagoonpick/Core/Time.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace Lagoonpick {

/// One JSON line of the log: an event with its fields, such as the inputs and the outcome of a decision.
///
/// Example: `LogLine("job_rejected").text("job", id).number("wait_ms", 40)`.
class LogLine {
public:
    explicit LogLine(std::string_view event);

    LogLine& text(std::string_view name, std::string_view value);
    LogLine& number(std::string_view name, std::integral auto value) { return raw(name, std::to_string(value)); }
    LogLine& flag(std::string_view name, bool value) { return raw(name, value ? "true" : "false"); }
    /// Adds a duration in milliseconds, with one decimal.
    LogLine& milliseconds(std::string_view name, Duration value);

    /// The fields as JSON members, without the braces, the time and the process's name.
    const std::string& fields() const { return fields_; }

private:
    LogLine& raw(std::string_view name, std::string_view value);

    std::string fields_;
};

/// The process's log on standard output, as JSON lines. Never blocks.
///
/// Lines wait in a buffer until `flush` can write them. Lines beyond `maxBufferedBytes` of unwritten text are dropped; once
/// a line fits again, it is preceded by a line with the number of dropped ones. Not thread-safe.
class EventLog {
public:
    EventLog(std::string_view process, std::size_t maxBufferedBytes);

    void write(Time now, const LogLine& line);

    /// Writes as much as standard output accepts without blocking.
    void flush();

    /// The bytes that the buffer holds, at most twice `maxBufferedBytes`.
    std::size_t heldBytes() const { return buffer_.size(); }

    /// The number of lines dropped since the start.
    std::uint64_t linesDropped() const { return droppedTotal_; }

private:
    void append(Time now, const LogLine& line);

    std::string process_;
    std::size_t maxBufferedBytes_;
    std::string buffer_;
    std::size_t writtenBytes_ { 0 };
    std::uint64_t droppedSinceReport_ { 0 };
    std::uint64_t droppedTotal_ { 0 };
};

} // namespace Lagoonpick
