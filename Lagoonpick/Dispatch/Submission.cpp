#include "Lagoonpick/Dispatch/Submission.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <limits>
#include <xxhash.h>

namespace Lagoonpick {

namespace json = boost::json;

namespace {

constexpr std::size_t maxNameLength = 64;
constexpr std::uint64_t maxMilliseconds = 86'400'000;
constexpr std::size_t maxJsonDepth = 8;

Outcome<std::string> readName(const json::object& object, std::string_view member, std::string_view defaultValue)
{
    const auto* value = object.if_contains(member);
    if (!value)
        return std::string(defaultValue);
    if (!value->is_string() || value->get_string().empty() || value->get_string().size() > maxNameLength)
        return fail(ErrorCode::Malformed, fmt::format("'{}' must be a string of 1 to {} bytes", member, maxNameLength));
    return std::string(value->get_string());
}

Outcome<std::uint32_t> readMilliseconds(const json::object& object, std::string_view member, std::uint32_t defaultValue)
{
    const auto* value = object.if_contains(member);
    if (!value)
        return defaultValue;
    json::error_code error;
    auto number = value->to_number<std::uint64_t>(error);
    if (error || !number || number > maxMilliseconds)
        return fail(ErrorCode::Malformed, fmt::format("'{}' must be a whole number from 1 to {}", member, maxMilliseconds));
    return static_cast<std::uint32_t>(number);
}

Outcome<TaskRequest> readTask(const json::value& value, std::size_t index, const SubmissionLimits& limits)
{
    const auto* object = value.if_object();
    if (!object)
        return fail(ErrorCode::Malformed, fmt::format("'tasks[{}]' must be an object", index));
    TaskRequest task;
    if (const auto* payload = object->if_contains("payload")) {
        if (!payload->is_string())
            return fail(ErrorCode::Malformed, fmt::format("'tasks[{}].payload' must be a string", index));
        task.payload_ = payload->get_string();
    }
    auto timeout = readMilliseconds(*object, "timeout_ms", limits.defaultTimeoutMilliseconds_);
    if (!timeout)
        return fail(ErrorCode::Malformed, fmt::format("tasks[{}]: {}", index, timeout.error().message_));
    task.timeoutMilliseconds_ = timeout.value();
    auto expected = readMilliseconds(*object, "expected_ms", 0);
    if (!expected)
        return fail(ErrorCode::Malformed, fmt::format("tasks[{}]: {}", index, expected.error().message_));
    task.expectedMilliseconds_ = expected.value();
    return task;
}

Outcome<std::vector<TaskRequest>> readTasks(const json::object& object, const SubmissionLimits& limits)
{
    const auto* value = object.if_contains("tasks");
    const auto* array = value ? value->if_array() : nullptr;
    if (!array || array->empty())
        return fail(ErrorCode::Malformed, "'tasks' must be an array of at least one task");
    if (array->size() > limits.maxTasks_)
        return fail(ErrorCode::TooLarge, fmt::format("'tasks' has {} tasks; at most {} are taken", array->size(), limits.maxTasks_));
    std::vector<TaskRequest> tasks;
    tasks.reserve(array->size());
    for (const auto& item : *array) {
        auto task = readTask(item, tasks.size(), limits);
        if (!task)
            return task.as_failure();
        tasks.push_back(std::move(task).value());
    }
    return tasks;
}

Outcome<json::value> parseBody(std::string_view text)
{
    json::error_code error;
    json::parse_options options;
    options.max_depth = maxJsonDepth;
    auto value = json::parse(json::string_view(text.data(), text.size()), error, {}, options);
    if (error || !value.is_object())
        return fail(ErrorCode::Malformed, "the body must be a JSON object");
    return value;
}

} // namespace

std::uint64_t digestOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

Outcome<Submission> readSubmission(std::string_view text, const SubmissionLimits& limits)
{
    auto value = parseBody(text);
    if (!value)
        return value.as_failure();
    const auto& object = value.value().get_object();
    auto team = readName(object, "team", "default");
    if (!team)
        return team.as_failure();
    auto service = readName(object, "service", "default");
    if (!service)
        return service.as_failure();
    auto deadline = readMilliseconds(object, "deadline_ms", 0);
    if (!deadline)
        return deadline.as_failure();
    auto tasks = readTasks(object, limits);
    if (!tasks)
        return tasks.as_failure();
    return Submission { .team_ = std::move(team).value(), .service_ = std::move(service).value(), .deadlineMilliseconds_ = deadline.value(), .tasks_ = std::move(tasks).value(), .digest_ = digestOf(text) };
}

} // namespace Lagoonpick
