#include "platform/JobCodec.h"
#include "UnitTests/UsersPlatform/CodecExamples.h"

#include <catch2/catch.hpp>

namespace Lagoonpick::UsersPlatform {

TEST_CASE("A best-effort job is decoded with all its fields")
{
    auto call = decodeJobCall(makeRequest("POST", "/pule/" + id, validJob));
    REQUIRE(std::holds_alternative<JobRequest>(call));
    const auto& job = std::get<JobRequest>(call);
    CHECK(job.id_ == id);
    CHECK(job.host_ == "nony24.example");
    CHECK(job.path_ == "/pule/");
    CHECK(job.taskCount_ == 6);
    CHECK(job.need_ == Wire::Resources { 1350, 64, 0 });
    CHECK(job.rack_ == "r1-3");
    CHECK(job.estimate_ == std::chrono::milliseconds(52));
    CHECK(job.callerTimeout_ == std::chrono::milliseconds(2500));
}

TEST_CASE("Unsupported jobs are distinguished from malformed requests")
{
    struct Row {
        std::string method_;
        std::string path_;
        std::string body_;
        std::size_t alternative_;
    };
    constexpr std::size_t unsupported = 1;
    constexpr std::size_t state = 2;
    constexpr std::size_t cancel = 3;
    constexpr std::size_t queue = 4;
    constexpr std::size_t malformed = malformedCall;
    auto row = GENERATE(values<Row>({
        { "POST", "/p/" + id, R"({"spec":"","steps":[{"count":1}]})", unsupported },
        { "POST", "/p/" + id, R"({"steps":[{"count":1},{"count":1,"after":[0]}],"best_effort":true})", unsupported },
        { "POST", "/p/" + id, R"({"steps":[{"gang":true}],"best_effort":true})", unsupported },
        { "POST", "/p/" + id, R"({"steps":[{"long_running":true}],"best_effort":true})", unsupported },
        { "POST", "/p/" + id, R"({"steps":[{}],"best_effort":true,"times":3})", unsupported },
        { "POST", "/p/" + id, R"({"steps":[],"best_effort":true})", malformed },
        { "POST", "/p/" + id, R"({"steps":[7],"best_effort":true})", malformed },
        { "POST", "/p/" + id, "\xff\xfe", malformed },
        { "POST", "/p/" + id, "[]", malformed },
        { "POST", "/p/" + id, R"({"spec":")" + std::string(5000, 'x') + R"(","steps":[{}],"best_effort":true})", malformed },
        { "POST", "/p/short", validJob, malformed },
        { "PUT", "/p/" + id, validJob, malformed },
        { "GET", "/p/" + id, "", state },
        { "DELETE", "/p/" + id, "", cancel },
        { "GET", "/p/", "", queue },
    }));
    INFO(row.method_ << " " << row.path_ << " " << row.body_.substr(0, 60));
    CHECK(decodeJobCall(makeRequest(row.method_, row.path_, row.body_)).index() == row.alternative_);
}

TEST_CASE("Each outcome of a job has the HTTP status that callers act on")
{
    struct Row {
        JobOutcome jobOutcome_;
        JobFailureReason failureReason_;
        std::uint32_t status_;
        std::string bodyPart_;
    };
    auto row = GENERATE(values<Row>({
        { JobOutcome::Done, JobFailureReason::None, 200, R"({"state":"done"})" },
        { JobOutcome::Failed, JobFailureReason::None, 200, R"({"state":"failed"})" },
        { JobOutcome::Rejected, JobFailureReason::Overloaded, 429, "too late" },
        { JobOutcome::Rejected, JobFailureReason::NoTargets, 503, "no target" },
        { JobOutcome::GivenUp, JobFailureReason::Deadline, 504, "in time" },
        { JobOutcome::NoSuchQueue, JobFailureReason::None, 404, "no such queue" },
    }));
    auto response = encodeAnswer({ CallerId(1), row.jobOutcome_, row.failureReason_, std::chrono::milliseconds(1500) });
    CHECK(response.status_ == row.status_);
    CHECK(response.body_.find(row.bodyPart_) != std::string::npos);
    CHECK(response.retryAfterSeconds_ == (row.jobOutcome_ == JobOutcome::Rejected ? 2 : 0));
}

// Guards against: a job whose count was a text ran one task instead of all, and one whose label was a list ran anywhere.
TEST_CASE("A job with a field of another type is malformed, and the reason names the field")
{
    auto [field, from, to] = GENERATE(table<std::string, std::string, std::string>({
        { "spec", R"("spec":"text")", R"("spec":["text"])" },
        { "count", R"("count":6)", R"("count":"6")" },
        { "count", R"("count":6)", R"("count":-6)" },
        { "count", R"("count":6)", R"("count":6.5)" },
        { "count", R"("count":6)", R"("count":18446744073709551616)" },
        { "count", R"("count":6)", R"("count":null)" },
        { "cpu", R"("cpu":1350)", R"("cpu":"1350")" },
        { "cpu", R"("cpu":1350)", R"("cpu":-1)" },
        { "mem_mb", R"("mem_mb":64)", R"("mem_mb":[])" },
        { "gpu", R"("mem_mb":64)", R"("gpu":{})" },
        { "estimate_ms", R"("estimate_ms":52)", R"("estimate_ms":true)" },
        { "affinity", R"("affinity":"r1-3")", R"("affinity":7)" },
        { "requires", R"("affinity":"r1-3")", R"("requires":["a","b"])" },
    }));
    std::string text = validJob;
    text.replace(text.find(from), from.size(), to);
    INFO(text);
    auto call = decodeJobCall(makeRequest("POST", "/p/" + id, text));
    REQUIRE(std::holds_alternative<MalformedCall>(call));
    CHECK_THAT(std::get<MalformedCall>(call).reason_, Catch::Matchers::Contains("'" + field + "'"));
}

TEST_CASE("A job's texts and amounts are decoded at their limits, doubled fields count once, and unreadable bytes are malformed")
{
    struct Row {
        std::string body_;
        bool isJob_;
    };
    auto row = GENERATE(values<Row>({
        { R"({"spec":")" + std::string(4000, 'x') + R"(","steps":[{}],"best_effort":true})", true },
        { R"({"spec":")" + std::string(4001, 'x') + R"(","steps":[{}],"best_effort":true})", false },
        { R"({"steps":[{"count":1,"count":2}],"best_effort":true})", true },
        { R"({"steps":[{"count":1,"count":"2"}],"best_effort":true})", false },
        { R"({"steps":[{"count":4294967297,"cpu":18446744073709551615}],"best_effort":true})", true },
        { "{\"spec\":\"\xff\xfe\",\"steps\":[{}],\"best_effort\":true}", false },
        { "{\"spec\":\"\xc3\",\"steps\":[{}],\"best_effort\":true}", false },
    }));
    INFO(row.body_.substr(0, 80));
    CHECK(std::holds_alternative<JobRequest>(decodeJobCall(makeRequest("POST", "/p/" + id, row.body_))) == row.isJob_);
}

// Guards against: half of the caller's timeout was read, and its job given up at once.
TEST_CASE("A caller's timeout is a whole number of milliseconds, or the default")
{
    auto [text, expected] = GENERATE(table<std::string, int>({
        { "2500", 2500 },
        { "", 1500 },
        { "soon", 1500 },
        { "25 s", 1500 },
        { "1e5", 1500 },
        { "-1", 1500 },
        { "2500.5", 1500 },
        { "18446744073709551616", 1500 },
        { "18446744073709551615", 600'000 },
    }));
    INFO(text);
    auto request = makeRequest("POST", "/p/" + id, validJob);
    request.headers_.back().value_ = text;
    auto call = decodeJobCall(request);
    REQUIRE(std::holds_alternative<JobRequest>(call));
    CHECK(std::get<JobRequest>(call).callerTimeout_ == std::chrono::milliseconds(expected));
}

} // namespace Lagoonpick::UsersPlatform
