#include "Lagoonpick/Observability/EventLog.h"

#include <fmt/format.h>
#include <iterator>
#include <poll.h>
#include <unistd.h>

namespace Lagoonpick {

namespace {

/// A write of up to this many bytes to a pipe that polls as writable does not block (PIPE_BUF).
constexpr std::size_t maxWriteBytes = 4096;
/// Space reserved for the line that reports how many lines were dropped.
constexpr std::size_t dropNoticeBytes = 256;
constexpr unsigned char firstPrintable = 0x20;

void appendEscaped(std::string& target, std::string_view text)
{
    for (char character : text) {
        auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\')
            target += '\\';
        if (byte < firstPrintable)
            fmt::format_to(std::back_inserter(target), "\\u{:04x}", byte);
        else
            target += character;
    }
}

} // namespace

LogLine::LogLine(std::string_view event)
{
    fields_ = "\"event\":\"";
    fields_ += event;
    fields_ += '"';
}

LogLine& LogLine::text(std::string_view name, std::string_view value)
{
    fmt::format_to(std::back_inserter(fields_), ",\"{}\":\"", name);
    appendEscaped(fields_, value);
    fields_ += '"';
    return *this;
}

LogLine& LogLine::milliseconds(std::string_view name, Duration value)
{
    return raw(name, fmt::format("{:.1f}", std::chrono::duration<double, std::milli>(value).count()));
}

LogLine& LogLine::raw(std::string_view name, std::string_view value)
{
    fmt::format_to(std::back_inserter(fields_), ",\"{}\":{}", name, value);
    return *this;
}

EventLog::EventLog(std::string_view process, std::size_t maxBufferedBytes)
    : process_(process)
    , maxBufferedBytes_(maxBufferedBytes)
{
}

void EventLog::write(Time now, const LogLine& line)
{
    std::size_t size = line.fields().size() + process_.size() + dropNoticeBytes;
    if (buffer_.size() - writtenBytes_ + size > maxBufferedBytes_) {
        ++droppedSinceReport_;
        ++droppedTotal_;
        return;
    }
    if (droppedSinceReport_) {
        append(now, LogLine("log_lines_dropped").number("lines", droppedSinceReport_));
        droppedSinceReport_ = 0;
    }
    append(now, line);
}

void EventLog::append(Time now, const LogLine& line)
{
    fmt::format_to(std::back_inserter(buffer_), "{{\"at_ms\":{},\"process\":\"{}\",{}}}\n", toUnixMilliseconds(now), process_, line.fields());
}

void EventLog::flush()
{
    while (writtenBytes_ < buffer_.size()) {
        pollfd output { STDOUT_FILENO, POLLOUT, 0 };
        if (poll(&output, 1, 0) != 1 || !(output.revents & POLLOUT))
            break;
        std::size_t size = std::min(maxWriteBytes, buffer_.size() - writtenBytes_);
        auto count = ::write(STDOUT_FILENO, buffer_.data() + writtenBytes_, size);
        if (count <= 0)
            break;
        writtenBytes_ += static_cast<std::size_t>(count);
    }
    // A slow reader may never have read everything: what it has read is dropped in large pieces, since that moves the rest.
    if (writtenBytes_ == buffer_.size() || writtenBytes_ >= maxBufferedBytes_) {
        buffer_.erase(0, writtenBytes_);
        writtenBytes_ = 0;
    }
}

} // namespace Lagoonpick
