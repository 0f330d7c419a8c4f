#include "Lagoonpick/Dispatch/Reply.h"

#include "Lagoonpick/Core/Underlying.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <utility>
#include <websocketpp/base64/base64.hpp>
#include <websocketpp/utf8_validator.hpp>

namespace Lagoonpick {

namespace json = boost::json;

namespace {

/// The JSON member that holds a target's answer: `body` if it is UTF-8, else `body_base64`.
std::string writeBody(const std::string& body)
{
    if (websocketpp::utf8_validator::validate(body))
        return fmt::format(R"("body":{})", json::serialize(json::string(body)));
    return fmt::format(R"("body_base64":"{}")", websocketpp::base64_encode(body));
}

} // namespace

std::string_view nameOf(RunState state)
{
    constexpr std::array<std::string_view, 4> names { "no", "unknown", "running", "yes" };
    return names[toUnderlying(state)];
}

std::string_view nameOf(Wire::TaskOutcome outcome)
{
    constexpr std::array<std::string_view, 4> names { "succeeded", "failed", "not_run", "unknown" };
    return names[toUnderlying(outcome)];
}

Reply writeProblem(RequestId request, const Problem& problem)
{
    json::object object {
        { "type", fmt::format("urn:lagoonpick:problem:{}", problem.kind_) },
        { "title", problem.kind_ },
        { "status", problem.status_ },
        { "detail", problem.detail_ },
        { "run", nameOf(problem.request_) },
        { "submission_run", nameOf(problem.submission_) },
    };
    return { .request_ = request, .status_ = problem.status_, .retryAfterSeconds_ = problem.retryAfterSeconds_, .body_ = json::serialize(object), .problemKind_ = problem.kind_ };
}

std::string writeAnswer(const SubmissionId& id, const std::vector<Task>& tasks)
{
    bool isComplete = std::all_of(tasks.begin(), tasks.end(), [](const Task& task) { return task.outcome_ == Wire::TaskOutcome::Succeeded; });
    std::string text = fmt::format(R"({{"id":"{}","outcome":"{}","tasks":[)", id.toString(), isComplete ? "complete" : "failed");
    for (const auto& task : tasks) {
        bool hasRun = task.outcome_ == Wire::TaskOutcome::Succeeded || task.outcome_ == Wire::TaskOutcome::Failed;
        text += fmt::format(R"({{"fate":"{}")", nameOf(task.outcome_));
        if (hasRun)
            text += fmt::format(R"(,"status":{},{})", task.status_, writeBody(task.body_));
        text += "},";
    }
    text.back() = ']';
    text += '}';
    return text;
}

std::string writeIds(const std::vector<SubmissionId>& ids)
{
    json::array array;
    for (const auto& id : ids)
        array.emplace_back(id.toString());
    return json::serialize(json::object { { "ids", std::move(array) } });
}

} // namespace Lagoonpick
