#include "platform/ConfigurationCodec.h"
#include "platform/JobCodec.h"
#include "platform/TargetCodec.h"
#include "RunAgent/TargetRecord.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace Lagoonpick::UsersPlatform {

namespace {

const std::string id = "5c0e7a21d94b36f8";

HttpRequest makeRequest(const std::string& method, const std::string& path, const std::string& body = {})
{
    return { .method_ = method, .path_ = path, .query_ = {}, .idempotencyKey_ = {}, .body_ = body, .headers_ = { { "host", "nony24.example" }, { "lagoonpick-deadline-ms", "2500" } }, .callerConnection_ = {} };
}

const std::string validJob = R"({"spec":"text","steps":[{"count":6,"cpu":1350,"mem_mb":64,"estimate_ms":52,"affinity":"r1-3"}],"best_effort":true})";
const std::string validHeartbeat = R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"clock_ms":482113,"seq":4,"born":77})";

const std::string validConfiguration = R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","service":"s","priority":1,"max_attempts":3,"slack_factor":1.6,"target_completion_ms":60}]})";
const std::string validLists = R"({"clock_ms":482113,"born":77,"running":[["a.0.0.1",2,"",41,0.5]],"finished":[[58,"a.0.0.9",1,"done",""]]})";
const std::string validRecord = R"({"target":"i","born_ms":77,"service":"s","availability_zone":"z","labels":["a"],"milli_cores":16000,"memory_mb":1,"accelerators":0,"draining":true})";

/// Index of `MalformedCall` among the alternatives of a job call.
constexpr std::size_t malformedCall = 5;

} // namespace

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

TEST_CASE("A heartbeat that lacks a field, or has one of another type, is rejected")
{
    CHECK(decodeHeartbeat("i", validHeartbeat).has_value());
    auto [from, to] = GENERATE(table<std::string, std::string>({
        { R"("service":"s",)", "" },
        { R"("service":"s")", R"("service":7)" },
        { R"("state":"ready")", R"("state":"resting")" },
        { R"("seq":4)", R"("seq":"four")" },
        { R"("seq":4)", R"("seq":-4)" },
        { R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0})", R"("capacity":[])" },
        { R"("cpu":16000)", R"("cpu":null)" },
        { "{", "" },
        { R"("address":"10.0.0.9:80",)", "" },
        { R"("address":"10.0.0.9:80")", R"("address":9)" },
        { R"("address":"10.0.0.9:80")", R"("address":"10.0.0.9:99999")" },
        { R"("address":"10.0.0.9:80")", R"("address":"10.0.0.9:0")" },
        { R"("address":"10.0.0.9:80")", R"("address":"host:80")" },
        { R"("address":"10.0.0.9:80")", R"("address":"")" },
        { R"("zone":"z",)", "" },
        { R"("zone":"z")", R"("zone":{})" },
        { R"("version":"v1",)", "" },
        { R"("version":"v1")", R"("version":1)" },
        { R"("state":"ready",)", "" },
        { R"("seq":4,)", "" },
        { R"("seq":4)", R"("seq":4.5)" },
        { R"("seq":4)", R"("seq":18446744073709551616)" },
        { R"("seq":4)", R"("seq":1e999)" },
        { R"("labels":["a","r1-3"],)", "" },
        { R"("labels":["a","r1-3"])", R"("labels":"a")" },
        { R"("labels":["a","r1-3"])", R"("labels":["a",3])" },
        { R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},)", "" },
        { R"("cpu":16000,)", "" },
        { R"("cpu":16000)", R"("cpu":-16000)" },
        { R"("mem_mb":32768,)", "" },
        { R"("mem_mb":32768)", R"("mem_mb":"32768")" },
        { R"("gpu":0)", R"("gpu":[])" },
        { R"("born":77)", R"("born":"77")" },
        { R"("born":77)", R"("born":1e30)" },
        { R"("slots":8)", R"("slots":"8")" },
        { R"("cold_left_ms":0)", R"("cold_left_ms":null)" },
        { R"("clock_ms":482113)", R"("clock_ms":{})" },
    }));
    std::string text = validHeartbeat;
    text.replace(text.find(from), from.size(), to);
    INFO(text);
    CHECK_FALSE(decodeHeartbeat("i", text).has_value());
}

// Guards against: a heartbeat that lacked five fields named a target, whose real runs then counted as lost (review, case 1).
TEST_CASE("A heartbeat with several fields missing names no target, and the error names the first of them")
{
    auto heartbeat = decodeHeartbeat("i", R"({"service":"other","slots":8,"state":"ready","capacity":{"cpu":16000},"seq":4,"born":1764900000000})");
    REQUIRE_FALSE(heartbeat.has_value());
    CHECK(heartbeat.error().message_ == "the field 'address' is missing");
}

// Guards against: an odd entry among those of the workers ended the machines that read it (other operators' report).
TEST_CASE("Deep nesting, doubled fields and numbers beyond any limit neither end a decoder nor name a target")
{
    constexpr std::size_t depth = 100'000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    std::string objects;
    for (std::size_t i = 0; i < depth; ++i)
        objects += R"({"a":)";
    std::string deepHeartbeat = validHeartbeat;
    deepHeartbeat.insert(1, R"("new":)" + nested + ",");
    auto text = GENERATE_COPY(values<std::string>({ nested, objects, deepHeartbeat, std::string(400, '9'), "1e400", "-1e400" }));
    INFO(text.substr(0, 60));
    CHECK_FALSE(decodeHeartbeat("i", text).has_value());
    CHECK_FALSE(decodeConfiguration(text).has_value());
    CHECK_FALSE(decodeTargetRecord(text).has_value());
    CHECK(decodeCallReply(1, { ExchangeStage::Answered, 200, text }).answer_ == CallAnswer::NoAnswer);
    CHECK(decodeLeaseReply(1, { ExchangeStage::Answered, 200, text }).answer_ == CallAnswer::NoAnswer);
    CHECK(decodeJobCall(makeRequest("POST", "/p/" + id, text)).index() == malformedCall);
}

TEST_CASE("Amounts of resources are limited, so that sums of them stay exact")
{
    std::string text = validHeartbeat;
    text.replace(text.find("16000"), 5, "18446744073709551615");
    auto heartbeat = decodeHeartbeat("i", text);
    REQUIRE(heartbeat.has_value());
    CHECK(heartbeat.value().capacity_.milliCores_ == 1'000'000'000);
}

TEST_CASE("Unknown fields of a heartbeat are ignored")
{
    std::string text = validHeartbeat;
    text.insert(1, R"("new":{"deep":[1,2]},)");
    auto heartbeat = decodeHeartbeat("i", text);
    REQUIRE(heartbeat.has_value());
    CHECK(heartbeat.value().incarnation_ == TargetIncarnation { "i", 77 });
    CHECK(heartbeat.value().labels_ == std::vector<std::string> { "a", "r1-3" });
}

TEST_CASE("Routes that can't be decoded are skipped; a configuration without a version is rejected")
{
    auto [text, expected] = GENERATE(table<std::string, int>({
        { R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","service":"s","max_attempts":3,"slack_factor":1.6,"target_completion_ms":60}]})", 1 },
        { R"({"version":7,"routes":[{"name":"r"},7,{"name":"r","host":"h","prefix":"/p/","service":"s"}]})", 1 },
        { R"({"version":7,"routes":[]})", 0 },
        { R"({"routes":[]})", -1 },
        { R"({"version":"7","routes":[]})", -1 },
        { R"({"version":1e400,"routes":[]})", -1 },
        { "null", -1 },
        { "", -1 },
    }));
    auto queues = decodeConfiguration(text);
    CHECK((queues ? static_cast<int>(queues.value().rules().size()) : -1) == expected);
}

TEST_CASE("A target's responses are mapped to call answers")
{
    struct Row {
        ExchangeStage stage_;
        std::uint32_t status_;
        std::string body_;
        CallAnswer answer_;
    };
    auto row = GENERATE(values<Row>({
        { ExchangeStage::Answered, 200, R"({"clock_ms":5})", CallAnswer::Accepted },
        { ExchangeStage::Answered, 200, "half a bo", CallAnswer::NoAnswer },
        { ExchangeStage::Answered, 409, R"({"clock_ms":5,"reason":"fence"})", CallAnswer::Fenced },
        { ExchangeStage::Answered, 409, R"({"reason":"old"})", CallAnswer::StaleStartNumber },
        { ExchangeStage::Answered, 409, R"({"reason":"late"})", CallAnswer::Late },
        { ExchangeStage::Answered, 409, R"({"reason":"room"})", CallAnswer::NoRoom },
        { ExchangeStage::Answered, 409, "", CallAnswer::Rejected },
        { ExchangeStage::Answered, 421, "", CallAnswer::WrongTarget },
        { ExchangeStage::Answered, 429, "", CallAnswer::Rejected },
        { ExchangeStage::Answered, 503, "", CallAnswer::Rejected },
        { ExchangeStage::Answered, 400, "", CallAnswer::Malformed },
        { ExchangeStage::Written, 0, "", CallAnswer::NoAnswer },
        { ExchangeStage::NotWritten, 0, "", CallAnswer::NoAnswer },
    }));
    auto reply = decodeCallReply(9, { row.stage_, row.status_, row.body_ });
    CHECK(reply.answer_ == row.answer_);
    CHECK(reply.call_ == 9);
}

TEST_CASE("Rows of a lease reply that can't be decoded are skipped")
{
    auto reply = decodeLeaseReply(1, { ExchangeStage::Answered, 200, R"({"clock_ms":482113,"born":77,"running":[["a.0.0.1",2,"",41,0.5],["bad"],7],"finished":[[58,"a.0.0.9",1,"done",""],[59,"a.0.0.8",1,"lapsed",""],[],["x"]]})" });
    REQUIRE(reply.running_.size() == 1);
    CHECK(reply.running_[0].name_ == RunName { "a.0.0.1", 2 });
    CHECK(reply.running_[0].percent_ == 41);
    REQUIRE(reply.ended_.size() == 2);
    CHECK(reply.ended_[0].end_ == Wire::RunEnd::Done);
    CHECK(reply.ended_[1].end_ == Wire::RunEnd::Stopped);
    CHECK(reply.startedAt_ == 77);
    CHECK(reply.isPartial_);
}

// Guards against: a run whose row could not be read counted as lost, though it ran on.
TEST_CASE("Lists with a row that can't be decoded, or without one of the lists, are partial")
{
    auto [text, isPartial, hasUnreadRuns] = GENERATE(table<std::string, bool, bool>({
        { R"({"running":[],"finished":[]})", false, false },
        { R"({"running":[["a.0.0.1",2,"",41]],"finished":[[1,"a.0.0.1",1,"done",""]]})", false, false },
        { R"({"running":[["a.0.0.1","2","",41]],"finished":[]})", true, true },
        { R"({"running":[],"finished":[[1]]})", true, false },
        { R"({"running":[]})", true, false },
        { R"({"finished":[]})", true, true },
        { R"({"running":{},"finished":[]})", true, true },
    }));
    auto reply = decodeLeaseReply(1, { ExchangeStage::Answered, 200, text });
    CHECK(reply.isPartial_ == isPartial);
    CHECK(reply.hasUnreadRuns_ == hasUnreadRuns);
}

TEST_CASE("A list of ends that is as long as an answer can be may not be the whole one")
{
    auto [count, mayHaveMore] = GENERATE(table<int, bool>({ { 0, false }, { 499, false }, { 500, true } }));
    std::string rows;
    for (int i = 1; i <= count; ++i)
        rows += (i > 1 ? "," : "") + ("[" + std::to_string(i)) + R"(,"a.0.0.1",1,"done",""])";
    auto reply = decodeLeaseReply(1, { ExchangeStage::Answered, 200, R"({"clock_ms":1,"running":[],"finished":[)" + rows + "]}" });
    CHECK(reply.ended_.size() == static_cast<std::size_t>(count));
    CHECK(reply.isPartial_ == mayHaveMore);
    CHECK_FALSE(reply.hasUnreadRuns_);
}

// Guards against: a number too large was cut to 32 bits and then named another start of the task, or a time wrapped.
TEST_CASE("Numbers beyond the limits of their fields are left out or limited, never cut")
{
    auto reply = decodeLeaseReply(1, { ExchangeStage::Answered, 200, R"({"clock_ms":18446744073709551615,"running":[["a.0.0.1",4294967298,"",41],["a.0.0.2",2,"",4294967337]],"finished":[[58,"a.0.0.9",4294967297,"done",""]]})" });
    CHECK_FALSE(reply.clock_);
    REQUIRE(reply.running_.size() == 1);
    CHECK(reply.running_[0].percent_ == 100);
    CHECK(reply.ended_.empty());
    auto queues = decodeConfiguration(R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","service":"s","priority":4294967297,"max_attempts":4294967296,"target_completion_ms":18446744073709551615}]})");
    REQUIRE(queues.has_value());
    const auto& rule = queues.value().rules().at(0);
    CHECK(rule.priority_ == 1'000'000'000);
    CHECK(rule.maxAttempts_ == 1'000'000'000);
    CHECK(rule.allowance_ == std::chrono::hours(24));
}

TEST_CASE("The target's id is taken from the path of a heartbeat or departure")
{
    auto [path, target, isDeparture] = GENERATE(table<std::string, std::string, bool>({
        { "/lagoonpick/instances/i-7/heartbeat", "i-7", false },
        { "/lagoonpick/instances/i-7/deregister", "i-7", true },
        { "/lagoonpick/instances//heartbeat", "", false },
        { "/lagoonpick/instances/i-7", "", false },
        { "/other", "", false },
    }));
    auto notice = decodeNotice(makeRequest("POST", path));
    CHECK((notice ? notice->id_ : "") == target);
    if (notice)
        CHECK(notice->isDeparture_ == isDeparture);
}

TEST_CASE("Calls to a target have all required fields and no optional field that is not set")
{
    auto start = encode(StartCall { 1, { "a.0.0.1", 2 }, "text", 486000, 7, "i-7" });
    CHECK(start.path_ == "/lagoonpick/run-start");
    CHECK(start.body_ == R"({"task":"a.0.0.1","run":2,"spec":"text","deadline_ms":486000,"fencing_token":7})");
    CHECK(start.headers_ == std::vector<HttpHeader> { { "Lagoonpick-Expect-Instance", "i-7" } });
    auto query = encode(LeaseCall { .fencingToken_ = 7, .highestSeenEnd_ = 57 });
    CHECK(query.body_ == R"({"fencing_token":7,"ack_seq":57})");
    auto renewal = encode(LeaseCall { .leaseUntil_ = 486000, .fencingToken_ = 7, .highestSeenEnd_ = 57, .wait_ = std::chrono::milliseconds(140) });
    CHECK(renewal.body_ == R"({"fencing_token":7,"ack_seq":57,"deadline_ms":486000,"wait_ms":140})");
}

TEST_CASE("Arbitrary and damaged input does not break a decoder")
{
    rc::prop("any text", [](const std::string& text) {
        (void)decodeHeartbeat("i", text);
        (void)decodeConfiguration(text);
        (void)decodeLeaseReply(1, { ExchangeStage::Answered, 200, text });
        (void)decodeCallReply(1, { ExchangeStage::Answered, 409, text });
        (void)decodeTargetRecord(text);
        (void)decodeJobCall(makeRequest("POST", "/p/" + id, text));
    });
    rc::prop("damaged messages", [] {
        std::string text = *rc::gen::element(validJob, validHeartbeat, validConfiguration, validLists, validRecord);
        auto place = *rc::gen::inRange<std::size_t>(0, text.size());
        // Mostly a character of JSON, so that the text stays readable more often.
        text[place] = *rc::gen::oneOf(rc::gen::arbitrary<char>(), rc::gen::element('0', '9', '-', '.', 'e', '"', '[', ']', '{', '}', ',', ':'));
        bool isCut = *rc::gen::inRange(0, 4) == 0;
        if (isCut)
            text.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 1));
        (void)decodeHeartbeat("i", text);
        (void)decodeConfiguration(text);
        (void)decodeLeaseReply(1, { ExchangeStage::Answered, 200, text });
        (void)decodeCallReply(1, { ExchangeStage::Answered, 409, text });
        (void)decodeTargetRecord(text);
        (void)decodeJobCall(makeRequest("POST", "/p/" + id, text));
    });
}

} // namespace Lagoonpick::UsersPlatform
