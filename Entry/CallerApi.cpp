#include "Entry/CallerApi.h"

#include "Lagoonpick/Dispatch/HttpStatus.h"
#include <boost/json.hpp>
#include <charconv>

namespace Lagoonpick {

namespace json = boost::json;

namespace {

constexpr std::uint32_t maxIdsPerRequest = 1000;
constexpr std::string_view jobPrefix = "/v1/jobs/";
constexpr std::string_view waitParameter = "wait_ms=";

CallerCall readIssueCall(const std::string& body)
{
    if (body.empty())
        return IssueCall {};
    json::error_code error;
    auto value = json::parse(body, error);
    const auto* object = error ? nullptr : value.if_object();
    const auto* count = object ? object->if_contains("count") : nullptr;
    auto idCount = count ? count->to_number<std::uint32_t>(error) : 0;
    if (error || !idCount || idCount > maxIdsPerRequest)
        return BadCall { HttpStatus::badRequest, "malformed-count", "'count' must be a whole number from 1 to 1000" };
    return IssueCall { idCount };
}

std::optional<Wire::RequestKind> kindOf(const std::string& method)
{
    if (method == "PUT")
        return Wire::RequestKind::Submit;
    if (method == "GET")
        return Wire::RequestKind::Fetch;
    if (method == "DELETE")
        return Wire::RequestKind::CancelJob;
    return std::nullopt;
}

CallerCall readJobCall(const HttpRequest& request)
{
    auto kind = kindOf(request.method_);
    if (!kind)
        return BadCall { HttpStatus::methodNotAllowed, "wrong-method", "a job takes PUT, GET and DELETE" };
    auto id = SubmissionId::parse(std::string_view(request.path_).substr(jobPrefix.size()));
    if (!id)
        return BadCall { HttpStatus::badRequest, "malformed-id", "the id must be an issued one or a UUIDv7" };
    JobCall call { .kind_ = *kind, .submission_ = *id, .waitMilliseconds_ = {} };
    if (request.query_.empty())
        return call;
    std::string_view query = request.query_;
    std::uint32_t wait = 0;
    if (!query.starts_with(waitParameter))
        return BadCall { HttpStatus::badRequest, "malformed-query", "the only parameter is wait_ms" };
    query.remove_prefix(waitParameter.size());
    auto [end, error] = std::from_chars(query.data(), query.data() + query.size(), wait);
    if (error != std::errc() || end != query.data() + query.size())
        return BadCall { HttpStatus::badRequest, "malformed-query", "wait_ms must be a whole number" };
    call.waitMilliseconds_ = wait;
    return call;
}

} // namespace

CallerCall readCall(const HttpRequest& request)
{
    if (request.path_.starts_with(jobPrefix))
        return readJobCall(request);
    if (request.path_ == "/v1/jobs")
        return BadCall { HttpStatus::preconditionRequired, "id-required", "take an id from POST /v1/submissions and PUT the job to /v1/jobs/{id}: a job without an id could run twice" };
    if (request.path_ == "/v1/submissions" && request.method_ == "POST")
        return readIssueCall(request.body_);
    if (request.path_ == "/debug/state" && request.method_ == "GET")
        return StateCall {};
    if (request.path_ == "/metrics" && request.method_ == "GET")
        return MetricsCall {};
    if (request.path_ == "/healthz" && request.method_ == "GET")
        return HealthCall {};
    return BadCall { HttpStatus::notFound, "not-found", "there is nothing here" };
}

} // namespace Lagoonpick
