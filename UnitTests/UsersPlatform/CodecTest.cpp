#include "platform/ConfigurationCodec.h"
#include "platform/JobCodec.h"
#include "platform/TargetCodec.h"
#include "RunAgent/TargetRecord.h"
#include "UnitTests/UsersPlatform/CodecExamples.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace Lagoonpick::UsersPlatform {

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
