#include "Control/StateReport.h"

#include "Control/JsonText.h"

#include <algorithm>
#include <fmt/format.h>

namespace Lagoonpick {

namespace json = boost::json;

namespace {

/// One line of the table of processes.
struct StatusRow {
    std::string address_;
    std::string role_;
    std::string name_;
    std::string incarnation_;
    std::string condition_;
    std::string waiting_;
    std::string running_;
    /// Printed after the columns, without a heading.
    std::string remark_;
};

std::string writeRow(const StatusRow& row)
{
    auto text = fmt::format("{:<22} {:<6} {:<16} {:<13} {:<12} {:>8} {:>8}", row.address_, row.role_, row.name_, row.incarnation_, row.condition_, row.waiting_, row.running_);
    return text + (row.remark_.empty() ? "" : "  " + row.remark_) + "\n";
}

/// True if the process knows which zones are evacuated.
bool knowsZones(const json::object& object)
{
    const auto* member = object.if_contains("evacuation");
    return member && member->is_object() && formatValue(member->get_object(), "revision") != "0";
}

std::string conditionOf(const json::object& object)
{
    if (formatValue(object, "fenced") == "true")
        return "fenced";
    if (formatValue(object, "draining") == "true")
        return "draining";
    if (formatValue(object, "zone_open") == "false")
        return knowsZones(object) ? "zone closed" : "zones not known";
    if (formatValue(object, "registered") == "false")
        return "registering";
    return "serving";
}

/// True if `row` is an object whose member is the boolean true.
bool isTrue(const json::value& row, std::string_view member)
{
    const auto* value = row.is_object() ? row.get_object().if_contains(member) : nullptr;
    return value && value->is_bool() && value->get_bool();
}

json::array readArray(const json::object& object, std::string_view name)
{
    const auto* member = object.if_contains(name);
    return member && member->is_array() ? member->get_array() : json::array();
}

/// The evacuated zones that a process knows, with revision and age; empty if its dump has none.
std::string describeEvacuation(const json::object& object)
{
    const auto* member = object.if_contains("evacuation");
    if (!member || !member->is_object())
        return {};
    if (!knowsZones(object))
        return ", evacuated: not known";
    const auto& evacuation = member->get_object();
    std::string names;
    for (const auto& zone : readArray(evacuation, "zones")) {
        if (zone.is_string())
            names += (names.empty() ? "" : " ") + std::string(zone.get_string());
    }
    return fmt::format(", evacuated: {} (revision {}, for {} ms)", names.empty() ? "none" : names, formatValue(evacuation, "revision"), formatValue(evacuation, "age_ms"));
}

/// An entry on the users' platform. Its dump counts open jobs, shown as running, and lists its agents with the state of their
/// targets.
std::string writeJobEntryRow(const std::string& address, const json::object& object)
{
    const json::array agents = readArray(object, "agents");
    auto open = std::count_if(agents.begin(), agents.end(), [](const auto& row) { return isTrue(row, "linked") && isTrue(row, "open"); });
    std::int64_t oldestReport = 0;
    for (const auto& row : agents) {
        const auto* age = row.is_object() ? row.get_object().if_contains("report_age_ms") : nullptr;
        if (isTrue(row, "open") && age && age->is_int64())
            oldestReport = std::max(oldestReport, age->get_int64());
    }
    auto suspect = std::count_if(agents.begin(), agents.end(), [](const auto& row) { return isTrue(row, "suspect"); });
    return writeRow({ address, "entry", formatValue(object, "entry"), "configuration " + formatValue(object, "configuration"), formatValue(object, "ready") == "true" ? "serving" : "not ready", "-", formatValue(object, "jobs"),
        fmt::format("{} of {} targets open, {} suspect, oldest report {} ms", open, agents.size(), suspect, oldestReport) + describeEvacuation(object) });
}

std::string writeRunAgentRow(const std::string& address, const json::object& object)
{
    const json::array entries = readArray(object, "entries");
    auto linked = std::count_if(entries.begin(), entries.end(), [](const auto& row) { return isTrue(row, "linked"); });
    return writeRow({ address, "agent", formatValue(object, "agent"), "configuration " + formatValue(object, "configuration"), conditionOf(object), "-", formatValue(object, "runs"), fmt::format("target {}, {} of {} entries linked", formatValue(object, "target"), linked, entries.size()) + describeEvacuation(object) });
}

std::string writeProcessRow(const ProcessState& state)
{
    json::error_code error;
    auto value = json::parse(state.json_, error);
    if (error || !value.is_object())
        return fmt::format("{:<22} {}\n", state.address_, "no answer");
    const auto& object = value.get_object();
    if (object.contains("ready"))
        return writeJobEntryRow(state.address_, object);
    if (object.contains("agent"))
        return writeRunAgentRow(state.address_, object);
    bool isEntry = formatValue(object, "role") == "entry";
    return writeRow({ state.address_, formatValue(object, "role"), formatValue(object, isEntry ? "name" : "target"), formatValue(object, "incarnation"), conditionOf(object),
        formatValue(object, isEntry ? "tasks_pending" : "queued"), formatValue(object, isEntry ? "tasks_outstanding" : "running"), {} });
}

} // namespace

std::string writeDump(const std::vector<ProcessState>& states)
{
    json::array array;
    for (const auto& state : states) {
        json::error_code error;
        auto value = json::parse(state.json_, error);
        array.push_back(json::object { { "address", state.address_ }, { "state", error ? json::value() : std::move(value) } });
    }
    return json::serialize(array) + "\n";
}

std::string writeStatus(const std::vector<ProcessState>& states)
{
    std::string text = writeRow({ "ADDRESS", "ROLE", "NAME", "INCARNATION", "CONDITION", "WAITING", "RUNNING", {} });
    for (const auto& state : states)
        text += writeProcessRow(state);
    return text;
}

} // namespace Lagoonpick
