#include "ContractTests/Support/Caller.h"
#include "ContractTests/Support/Deployment.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <thread>

using namespace Lagoonpick::Contract;

namespace {

constexpr auto entryLimits = "[limits]\nmax_tasks_per_job = 10\nmax_body_bytes = 20000\nread_timeout_ms = 700\n";

/// One small system for all test cases of this file.
Deployment& sharedSystem()
{
    static Deployment system({ .entries_ = 2, .agents_ = 1, .extraEntrySettings_ = entryLimits, .extraAgentSettings_ = {} });
    static bool isConnected = system.waitUntilConnected();
    REQUIRE(isConnected);
    return system;
}

std::string jobPath(const std::string& id)
{
    return "/v1/jobs/" + id;
}

bool hasStarted(const Deployment& system, const std::string& id)
{
    for (const auto& key : system.starts()) {
        if (key.starts_with(id))
            return true;
    }
    return false;
}

} // namespace

TEST_CASE("Invalid requests are refused with a problem document", "[Caller]")
{
    auto& system = sharedSystem();
    struct Row {
        const char* description_;
        const char* method_;
        std::string path_;
        std::string body_;
        std::uint32_t status_;
        const char* title_;
    };
    auto row = GENERATE(values<Row>({
        { "an unknown path", "GET", "/", "", 404, "not-found" },
        { "a job without an id", "POST", "/v1/jobs", jobBody(1, 0), 428, "id-required" },
        { "an invalid id", "PUT", "/v1/jobs/17", jobBody(1, 0), 400, "malformed-id" },
        { "a UUID of another version", "PUT", "/v1/jobs/01a23f48-550a-4949-9f66-7daf3c000095", jobBody(1, 0), 400, "malformed-id" },
        { "a wrong method", "PATCH", "/v1/jobs/01a23f48-550a-7949-9f66-7daf3c000095", "", 405, "wrong-method" },
        { "an unknown query parameter", "GET", "/v1/jobs/01a23f48-550a-7949-9f66-7daf3c000095?x=1", "", 400, "malformed-query" },
        { "a negative wait", "GET", "/v1/jobs/01a23f48-550a-7949-9f66-7daf3c000095?wait_ms=-1", "", 400, "malformed-query" },
        { "a count of 0", "POST", "/v1/submissions", R"({"count":0})", 400, "malformed-count" },
        { "a count above the limit", "POST", "/v1/submissions", R"({"count":1001})", 400, "malformed-count" },
        { "a count that is not a number", "POST", "/v1/submissions", R"({"count":"x"})", 400, "malformed-count" },
        { "an id from long ago", "PUT", "/v1/jobs/00000000-550a-7949-9f66-7daf3c000095", jobBody(1, 0), 410, "id-expired" },
        { "an id from the far future", "PUT", "/v1/jobs/0fa23f48-550a-7949-9f66-7daf3c000095", jobBody(1, 0), 400, "id-from-the-future" },
    }));
    CAPTURE(row.description_);
    auto answer = call(system.callerAddress(0), row.method_, row.path_, row.body_);
    CHECK(answer.status_ == row.status_);
    CHECK(answer.member("title") == row.title_);
    CHECK(answer.contentType_ == "application/problem+json");
    CHECK(answer.member("run") == "no");
}

TEST_CASE("Invalid jobs are refused finally and never run", "[Caller]")
{
    auto& system = sharedSystem();
    struct Row {
        const char* description_;
        std::string body_;
        std::uint32_t status_;
    };
    auto row = GENERATE(values<Row>({
        { "an empty body", "", 400 },
        { "invalid JSON", "{", 400 },
        { "a body that is not an object", "[]", 400 },
        { "no tasks", "{}", 400 },
        { "an empty list of tasks", R"({"tasks":[]})", 400 },
        { "tasks that are not a list", R"({"tasks":{}})", 400 },
        { "a task that is not an object", R"({"tasks":[1]})", 400 },
        { "a payload that is not a string", R"({"tasks":[{"payload":1}]})", 400 },
        { "a timeout of 0", R"({"tasks":[{"timeout_ms":0}]})", 400 },
        { "a timeout longer than a day", R"({"tasks":[{"timeout_ms":86400001}]})", 400 },
        { "a negative deadline", R"({"deadline_ms":-1,"tasks":[{}]})", 400 },
        { "an empty team name", R"({"team":"","tasks":[{}]})", 400 },
        { "a team name above the length limit", R"({"team":")" + std::string(65, 'x') + R"(","tasks":[{}]})", 400 },
        { "too many tasks", jobBody(11, 0), 413 },
        { "too deeply nested JSON", std::string(1000, '['), 400 },
        { "a service that no target offers", R"({"service":"nobody","tasks":[{}]})", 503 },
    }));
    CAPTURE(row.description_);
    auto id = takeId(system.callerAddress(0));
    auto answer = call(system.callerAddress(0), "PUT", jobPath(id), row.body_);
    CHECK(answer.status_ == row.status_);
    CHECK(answer.member("run") == "no");
    CHECK(answer.member("submission_run") == "no");
    // The refusal is final: a valid body under the same id is refused as well.
    auto again = call(system.callerAddress(1), "PUT", jobPath(id), jobBody(1, 0));
    CHECK(again.status_ == 410);
    CHECK(again.member("title") == "refused-before");
    CHECK_FALSE(hasStarted(system, id));
}

TEST_CASE("Invalid or incomplete HTTP requests do not affect other callers", "[Caller]")
{
    auto& system = sharedSystem();
    struct Row {
        const char* description_;
        std::string bytes_;
        std::string expected_;
    };
    auto row = GENERATE(values<Row>({
        { "not HTTP", "hello\r\n\r\n", "400" },
        { "a header above the size limit", "GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x'), "431" },
        { "a body above the size limit", "PUT /v1/jobs/x HTTP/1.1\r\nContent-Length: 30000\r\n\r\n" + std::string(30'000, 'x'), "413" },
        { "a body shorter than its Content-Length", "PUT /v1/jobs/x HTTP/1.1\r\nContent-Length: 100\r\n\r\nshort", "408" },
        { "a Content-Length that is not a number", "PUT /v1/jobs/x HTTP/1.1\r\nContent-Length: ten\r\n\r\n", "400" },
        { "an incomplete request line", "PUT /v1", "408" },
        { "no bytes", "", "" },
    }));
    CAPTURE(row.description_);
    auto received = callRaw(system.callerAddress(0), row.bytes_);
    CHECK(received.substr(0, 9).find("HTTP/1.1") == (row.expected_.empty() ? std::string::npos : 0));
    CHECK(received.substr(0, 12).find(row.expected_) != std::string::npos);
    CHECK(call(system.callerAddress(0), "GET", "/healthz").status_ == 200);
}

TEST_CASE("A resubmission joins the running job at any entry", "[Caller]")
{
    auto& system = sharedSystem();
    bool isIssued = GENERATE(true, false);
    CAPTURE(isIssued);
    auto id = isIssued ? takeId(system.callerAddress(0)) : makeCallerId();
    auto body = jobBody(3, 200'000);
    std::vector<CallerAnswer> answers(4);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < answers.size(); ++i)
        callers.emplace_back([&, i] { answers[i] = call(system.callerAddress(i % 2), "PUT", jobPath(id), body); });
    for (auto& caller : callers)
        caller.join();
    for (const auto& answer : answers) {
        CHECK(answer.status_ == 200);
        CHECK(answer.body_ == answers[0].body_);
    }
    CHECK(answers[0].member("outcome") == "complete");
    CHECK(call(system.callerAddress(1), "GET", jobPath(id)).body_ == answers[0].body_);
    auto other = call(system.callerAddress(1), "PUT", jobPath(id), jobBody(2, 0));
    CHECK(other.status_ == 422);
    CHECK(other.member("title") == "id-reused");
}

TEST_CASE("A caller whose wait ends before the job learns that the job is running and can fetch the answer later", "[Caller]")
{
    auto& system = sharedSystem();
    auto id = takeId(system.callerAddress(0));
    auto early = call(system.callerAddress(0), "PUT", jobPath(id) + "?wait_ms=50", jobBody(1, 400'000));
    CHECK(early.status_ == 504);
    CHECK(early.member("run") == "unknown");
    CHECK(early.member("submission_run") == "running");
    CHECK_FALSE(early.retryAfter_.empty());
    auto late = call(system.callerAddress(1), "GET", jobPath(id));
    CHECK(late.status_ == 200);
    CHECK(late.member("outcome") == "complete");
}

TEST_CASE("A cancelled job starts no further task, and its answer lists which tasks ran", "[Caller]")
{
    auto& system = sharedSystem();
    auto id = takeId(system.callerAddress(0));
    call(system.callerAddress(0), "PUT", jobPath(id) + "?wait_ms=100", jobBody(10, 500'000));
    auto answer = call(system.callerAddress(1), "DELETE", jobPath(id));
    CHECK(answer.status_ == 200);
    CHECK(answer.member("outcome") == "failed");
    CHECK(answer.body_.find("succeeded") != std::string::npos);
    CHECK(answer.body_.find("not_run") != std::string::npos);
    auto unused = takeId(system.callerAddress(0));
    CHECK(call(system.callerAddress(0), "DELETE", jobPath(unused)).status_ == 404);
    CHECK(call(system.callerAddress(0), "PUT", jobPath(unused), jobBody(1, 0)).status_ == 410);
    CHECK_FALSE(hasStarted(system, unused));
}

TEST_CASE("When a caller disconnects, a resubmission of its job gets the complete answer", "[Caller]")
{
    auto& system = sharedSystem();
    auto id = takeId(system.callerAddress(0));
    auto body = jobBody(1, 300'000);
    callRaw(system.callerAddress(0), fmt::format("PUT /v1/jobs/{} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{}", id, body.size(), body), 0);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    auto resubmitted = call(system.callerAddress(0), "PUT", jobPath(id), body);
    CHECK(resubmitted.status_ == 200);
    CHECK(resubmitted.member("outcome") == "complete");
}

TEST_CASE("A target's binary answer is returned in valid JSON, as base64", "[Caller]")
{
    auto& system = sharedSystem();
    auto id = takeId(system.callerAddress(0));
    // The target's stand-in answers a payload that begins with "echo:" with bytes that are not valid UTF-8.
    auto answer = call(system.callerAddress(0), "PUT", jobPath(id), R"({"tasks":[{"payload":"echo:\u0001bytes"}]})");
    CHECK(answer.status_ == 200);
    boost::json::error_code error;
    boost::json::parse(answer.body_, error);
    CHECK_FALSE(error);
    CHECK(answer.member("tasks").find("body_base64") != std::string::npos);
}
