#include "platform/TargetCodec.h"
#include "UnitTests/UsersPlatform/CodecExamples.h"

#include <catch2/catch.hpp>

namespace Lagoonpick::UsersPlatform {

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

// Guards against: a target that was cold got as many tasks as a warm one.
TEST_CASE("A heartbeat says how much longer its target is cold")
{
    auto [field, coldLeft] = GENERATE(table<std::string, Duration>({
        { R"("cold_left_ms":0,)", Duration() },
        { R"("cold_left_ms":1500,)", std::chrono::milliseconds(1500) },
        { R"("cold_left_ms":-5,)", Duration() },
        { "", Duration() },
    }));
    const std::string former = R"("cold_left_ms":0,)";
    std::string text = validHeartbeat;
    text.replace(text.find(former), former.size(), field);
    auto heartbeat = decodeHeartbeat("i", text);
    REQUIRE(heartbeat.has_value());
    CHECK(heartbeat.value().coldLeft_ == coldLeft);
}

// Guards against: a heartbeat that lacked five fields named a target, whose real runs then counted as lost (review, case 1).
TEST_CASE("A heartbeat with several fields missing names no target, and the error names the first of them")
{
    auto heartbeat = decodeHeartbeat("i", R"({"service":"other","slots":8,"state":"ready","capacity":{"cpu":16000},"seq":4,"born":1764900000000})");
    REQUIRE_FALSE(heartbeat.has_value());
    CHECK(heartbeat.error().message_ == "the field 'address' is missing");
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

// Guards against: labels of megabytes went to every entry with each report, and a sequence number that nothing exceeds made later heartbeats
// count as old.
TEST_CASE("A heartbeat's texts and numbers are decoded at their limits and rejected beyond them")
{
    auto labels = [](std::size_t count, std::size_t bytes) {
        std::string texts;
        for (std::size_t i = 0; i < count; ++i)
            texts += (i ? ",\"" : "\"") + std::string(bytes, 'x') + '"';
        return R"("labels":[)" + texts + "]";
    };
    struct Row {
        std::string from_;
        std::string to_;
        bool isValid_;
    };
    const std::string labelsFrom = R"("labels":["a","r1-3"])";
    const std::string serviceFrom = R"("service":"s")";
    auto row = GENERATE_REF(values<Row>({
        { serviceFrom, R"("service":")" + std::string(256, 'x') + '"', true },
        { serviceFrom, R"("service":")" + std::string(257, 'x') + '"', false },
        { serviceFrom, R"("service":"")", false },
        { serviceFrom, "\"service\":\"\xff\xfe\"", false },
        { serviceFrom, R"("service":"first","service":"s")", true },
        { serviceFrom, R"("service":"first","service":7)", false },
        { R"("zone":"z")", R"("zone":"")", true },
        { R"("zone":"z")", R"("zone":")" + std::string(257, 'x') + '"', false },
        { labelsFrom, labels(0, 0), true },
        { labelsFrom, labels(64, 256), true },
        { labelsFrom, labels(65, 1), false },
        { labelsFrom, labels(1, 257), false },
        { labelsFrom, "\"labels\":[\"\xc3\"]", false },
        { R"("seq":4)", R"("seq":9007199254740992)", true },
        { R"("seq":4)", R"("seq":9007199254740993)", false },
        { R"("born":77)", R"("born":9007199254740992)", true },
        { R"("born":77)", R"("born":9007199254740993)", false },
    }));
    std::string text = validHeartbeat;
    text.replace(text.find(row.from_), row.from_.size(), row.to_);
    INFO(text.substr(0, 200));
    CHECK(decodeHeartbeat("i", text).has_value() == row.isValid_);
}

// Guards against: an id that no header or record can hold was taken over, so that a drain could not be restored from its record.
TEST_CASE("A notice from a path whose id is too long or has other than visible characters is none")
{
    auto [targetId, isValid] = GENERATE(table<std::string, bool>({ { std::string(256, 'i'), true }, { std::string(257, 'i'), false }, { "i\xff", false }, { "i\r\nX:1", false }, { "i 7", false }, { "i-7f3a91c2", true } }));
    CHECK(decodeNotice(makeRequest("POST", "/lagoonpick/instances/" + targetId + "/heartbeat")).has_value() == isValid);
}

// Guards against: a row that was read in part named a run without a task, or showed no progress, so that a run was moved.
TEST_CASE("A row of a target's lists is read whole, or the list is partial")
{
    auto [running, finished] = GENERATE(table<std::string, std::string>({
        { R"([7,2,"",41])", "" },
        { R"(["",2,"",41])", "" },
        { R"([null,2,"",41])", "" },
        { R"(["a.0.0.1",0,"",41])", "" },
        { R"(["a.0.0.1",-2,"",41])", "" },
        { R"(["a.0.0.1",2.5,"",41])", "" },
        { R"(["a.0.0.1",2,"","41"])", "" },
        { R"(["a.0.0.1",2,"",-1])", "" },
        { R"(["a.0.0.1",2,"",null])", "" },
        { R"(["a.0.0.1",2])", "" },
        { R"({"task":"a.0.0.1"})", "" },
        { '[' + ('"' + std::string(129, 'x')) + R"(",2,"",41])", "" },
        { std::string(20, '[') + std::string(20, ']'), "" },
        { "", R"([58,7,1,"done",""])" },
        { "", R"([58,"",1,"done",""])" },
        { "", R"([0,"a.0.0.1",1,"done",""])" },
        { "", R"([-58,"a.0.0.1",1,"done",""])" },
        { "", R"([18446744073709551615,"a.0.0.1",1,"done",""])" },
        { "", R"([58,"a.0.0.1",0,"done",""])" },
        { "", R"([58,"a.0.0.1",1,7,""])" },
        { "", R"([58,"a.0.0.1",1])" },
    }));
    std::string text = R"({"clock_ms":5,"born":77,"running":[)" + running + R"(],"finished":[)" + finished + "]}";
    INFO(text);
    auto reply = decodeLeaseReply(1, { ExchangeStage::Answered, 200, text });
    CHECK(reply.running_.empty());
    CHECK(reply.ended_.empty());
    CHECK(reply.isPartial_);
    CHECK(reply.hasUnreadRuns_ == !running.empty());
}

TEST_CASE("The percentage of a running row may have a fraction, which is cut off")
{
    auto reply = decodeLeaseReply(1, { ExchangeStage::Answered, 200, R"({"running":[["a.0.0.1",2,"",41.9],["a.0.0.2",2,"",1e300]],"finished":[]})" });
    REQUIRE(reply.running_.size() == 2);
    CHECK(reply.running_[0].percent_ == 41);
    CHECK(reply.running_[1].percent_ == 100);
}

// Guards against: an unreadable start time counted as none, so that a claim of another incarnation was taken for proved.
TEST_CASE("Lists whose start time can't be read prove nothing")
{
    auto born = GENERATE(values<std::string>({ R"("77")", "-77", "77.5", "null", "[]", "9007199254740993", "1e400" }));
    auto reply = decodeLeaseReply(1, { ExchangeStage::Answered, 200, R"({"clock_ms":5,"born":)" + born + R"(,"running":[["a.0.0.1",2,"",41]],"finished":[[58,"a.0.0.9",1,"done",""]]})" });
    CHECK(reply.answer_ == CallAnswer::NoAnswer);
    CHECK(reply.running_.empty());
    CHECK(reply.ended_.empty());
}

} // namespace Lagoonpick::UsersPlatform
