#include "Control/JobHistory.h"

#include "Control/JsonText.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <optional>
#include <set>

namespace Lagoonpick {

namespace json = boost::json;

namespace {

/// Context events count from this long before the job's first line, because they may explain its outcome.
constexpr std::int64_t contextMilliseconds = 2000;

/// Events that report a process's start, suspension or stop, or a change of its view of the system.
constexpr std::array<std::string_view, 25> contextEvents { "agent_attached", "agent_forgotten", "agent_lost", "agent_silent",
    "configuration_installed", "configuration_unreadable", "entry_attached", "entry_lost", "entry_silent", "registered", "registration_lost",
    "resumed", "runs_lost", "runs_stopped", "started", "stopped", "stopping", "store_lost", "store_regained", "target_began",
    "target_changed", "target_draining", "target_lost", "target_regained", "evacuation_changed" };

bool isContextEvent(std::string_view event)
{
    return std::find(contextEvents.begin(), contextEvents.end(), event) != contextEvents.end();
}

/// True if the line holds the job's id, or a task of the job: a task's name begins with its job's id and a dot.
bool refersToJob(const json::object& line, std::string_view job)
{
    const auto* named = line.if_contains("job");
    if (named && named->is_string() && std::string_view(named->get_string()) == job)
        return true;
    const auto* task = line.if_contains("task");
    if (!task || !task->is_string())
        return false;
    std::string_view name = task->get_string();
    return name.starts_with(job) && name.substr(job.size()).starts_with(".");
}

std::optional<HistoryLine> decodeLine(const json::object& object)
{
    const auto* at = object.if_contains("at_ms");
    const auto* process = object.if_contains("process");
    const auto* event = object.if_contains("event");
    if (!at || !at->is_int64() || !process || !event)
        return std::nullopt;
    HistoryLine line { at->get_int64(), formatValue(*process), formatValue(*event), {}, false };
    for (const auto& [name, value] : object) {
        if (name != "at_ms" && name != "process" && name != "event")
            line.details_ += fmt::format("{}{}={}", line.details_.empty() ? "" : " ", std::string_view(name), formatValue(value));
    }
    return line;
}

std::string describeOutcome(const std::vector<HistoryLine>& lines)
{
    bool isAccepted = false;
    for (auto line = lines.rbegin(); line != lines.rend(); ++line) {
        if (!line->isOfJob_)
            continue;
        if (line->event_ == "job_answered" || line->event_ == "job_rejected" || line->event_ == "job_abandoned")
            return fmt::format("outcome: {} by {}: {}", line->event_, line->process_, line->details_);
        isAccepted = isAccepted || line->event_ == "job_accepted";
    }
    if (isAccepted)
        return "accepted and never answered: check whether the entry's process stopped or was suspended";
    return "no entry accepted the job: check the load balancer, entries that were stopping, and the id";
}

} // namespace

JobHistory::JobHistory(std::string job)
    : job_(std::move(job))
{
}

void JobHistory::add(std::string_view line)
{
    auto begin = line.find('{');
    if (begin == std::string_view::npos)
        return;
    json::error_code error;
    auto value = json::parse(line.substr(begin), error);
    auto decoded = !error && value.is_object() ? decodeLine(value.get_object()) : std::nullopt;
    if (!decoded) {
        ++unparsedLines_;
        return;
    }
    decoded->isOfJob_ = refersToJob(value.get_object(), job_);
    if (decoded->isOfJob_)
        jobLines_.push_back(std::move(*decoded));
    else if (isContextEvent(decoded->event_))
        contextLines_.push_back(std::move(*decoded));
}

std::vector<HistoryLine> JobHistory::lines() const
{
    std::vector<HistoryLine> lines = jobLines_;
    auto byTime = [](const auto& left, const auto& right) { return left.atMilliseconds_ < right.atMilliseconds_; };
    std::stable_sort(lines.begin(), lines.end(), byTime);
    if (lines.empty())
        return lines;
    std::int64_t from = lines.front().atMilliseconds_ - contextMilliseconds;
    std::int64_t until = lines.back().atMilliseconds_;
    std::set<std::string> processes;
    for (const auto& line : lines)
        processes.insert(line.process_);
    for (const auto& line : contextLines_) {
        if (line.atMilliseconds_ >= from && line.atMilliseconds_ <= until && processes.contains(line.process_))
            lines.push_back(line);
    }
    std::stable_sort(lines.begin(), lines.end(), byTime);
    return lines;
}

std::string writeHistoryTable(const JobHistory& history)
{
    auto lines = history.lines();
    std::size_t width = 0;
    for (const auto& line : lines)
        width = std::max(width, line.process_.size());
    std::string text;
    for (const auto& line : lines) {
        std::int64_t after = line.atMilliseconds_ - lines.front().atMilliseconds_;
        text += fmt::format("{:>7} ms {} {:<{}} {:<18} {}\n", after, line.isOfJob_ ? '*' : ' ', line.process_, width, line.event_, line.details_);
    }
    text += describeOutcome(lines) + "\n";
    if (history.unparsedLines())
        text += fmt::format("{} lines could not be parsed\n", history.unparsedLines());
    return text;
}

std::string writeHistoryJson(const JobHistory& history)
{
    json::array array;
    for (const auto& line : history.lines())
        array.push_back(json::object { { "at_ms", line.atMilliseconds_ }, { "process", line.process_ }, { "event", line.event_ }, { "details", line.details_ }, { "of_job", line.isOfJob_ } });
    return json::serialize(array) + "\n";
}

} // namespace Lagoonpick
