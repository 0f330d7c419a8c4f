#include "platform/ConfigurationCodec.h"
#include "UnitTests/UsersPlatform/CodecExamples.h"

#include <catch2/catch.hpp>

namespace Lagoonpick::UsersPlatform {

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

// Guards against: a factor beyond any limit gave jobs a due time in the far past, and a text in place of a number an unwanted default.
TEST_CASE("A route's numbers are limited, and a route with a field of another type is skipped")
{
    struct Row {
        std::string from_;
        std::string to_;
        std::size_t routes_;
    };
    auto row = GENERATE(values<Row>({
        { R"("slack_factor":1.6)", R"("slack_factor":1e300)", 1 },
        { R"("slack_factor":1.6)", R"("slack_factor":-5)", 1 },
        { R"("slack_factor":1.6)", R"("slack_factor":"1.6")", 0 },
        { R"("name":"r")", R"("name":7)", 0 },
        { R"("host":"h",)", "", 0 },
        { R"("prefix":"/p/")", R"("prefix":[])", 0 },
        { R"("service":"s")", R"("service":null)", 0 },
        { R"("priority":1)", R"("priority":"1")", 0 },
        { R"("max_attempts":3)", R"("max_attempts":true)", 0 },
        { R"("max_attempts":3)", R"("max_attempts":0)", 1 },
        { R"("target_completion_ms":60)", R"("target_completion_ms":{})", 0 },
        { R"("target_completion_ms":60)", R"("target_completion_ms":18446744073709551615)", 1 },
        { R"("name":"r")", R"("name":"first","name":"r")", 1 },
    }));
    std::string text = validConfiguration;
    text.replace(text.find(row.from_), row.from_.size(), row.to_);
    INFO(text);
    auto queues = decodeConfiguration(text);
    REQUIRE(queues.has_value());
    REQUIRE(queues.value().rules().size() == row.routes_);
    for (const auto& rule : queues.value().rules()) {
        CHECK(rule.slackFactor_ >= 0);
        CHECK(rule.slackFactor_ <= 1000);
        CHECK(rule.maxAttempts_ >= 1);
    }
}

TEST_CASE("A configuration's version is a whole number from 1 to 2^53")
{
    auto [version, isValid] = GENERATE(table<std::string, bool>({ { "1", true }, { "9007199254740992", true }, { "9007199254740993", false }, { "18446744073709551615", false }, { "0", false }, { "-1", false }, { "1.5", false }, { "true", false }, { "7,\"version\":\"8\"", false } }));
    CHECK(decodeConfiguration(R"({"version":)" + version + R"(,"routes":[]})").has_value() == isValid);
}

} // namespace Lagoonpick::UsersPlatform
