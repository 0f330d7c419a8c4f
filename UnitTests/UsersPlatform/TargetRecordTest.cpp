#include "RunAgent/TargetRecord.h"

#include <catch2/catch.hpp>

namespace Lagoonpick {

TEST_CASE("A target's record is decoded as it was encoded; a damaged record is rejected")
{
    TargetHeartbeat heartbeat { .incarnation_ = { "i-7", 77 }, .sequence_ = 0, .service_ = "s", .availabilityZone_ = "z", .labels_ = { "a", "r1" }, .capacity_ = { 1, 2, 3 }, .isDraining_ = true };
    auto text = encodeTargetRecord(heartbeat);
    auto decoded = decodeTargetRecord(text);
    REQUIRE(decoded.has_value());
    CHECK(decoded.value().incarnation_ == heartbeat.incarnation_);
    CHECK(decoded.value().labels_ == heartbeat.labels_);
    CHECK(decoded.value().capacity_ == heartbeat.capacity_);
    CHECK(decoded.value().isDraining_);
    std::string large = text;
    large.replace(large.find("\"milli_cores\":1"), 15, "\"milli_cores\":4294967297");
    CHECK(decodeTargetRecord(large).value().capacity_.milliCores_ == 1'000'000'000);
    auto damaged = GENERATE(values<std::string>({ "", "{}", "[]", R"({"target":"i","service":"s"})", R"({"target":7,"service":"s","draining":true})", R"({"target":"i","service":"s","draining":"no"})" }));
    CHECK_FALSE(decodeTargetRecord(damaged).has_value());
}

// Guards against: a record that was read in part gave a target no capacity or no labels, or put a line break into a header of its calls.
TEST_CASE("A target's record is whole or rejected")
{
    const std::string valid = R"({"target":"i","born_ms":77,"service":"s","availability_zone":"z","labels":["a"],"milli_cores":16000,"memory_mb":1,"accelerators":0,"draining":true})";
    REQUIRE(decodeTargetRecord(valid).has_value());
    auto [from, to] = GENERATE(table<std::string, std::string>({
        { R"("target":"i",)", "" },
        { R"("target":"i")", R"("target":"")" },
        { R"("target":"i")", R"("target":"i\r\nX: 1")" },
        { R"("target":"i")", "\"target\":\"\xff\"" },
        { R"("born_ms":77,)", "" },
        { R"("born_ms":77)", R"("born_ms":"77")" },
        { R"("born_ms":77)", R"("born_ms":9007199254740993)" },
        { R"("service":"s",)", "" },
        { R"("service":"s")", R"("service":"")" },
        { R"("availability_zone":"z",)", "" },
        { R"("availability_zone":"z")", R"("availability_zone":7)" },
        { R"("labels":["a"],)", "" },
        { R"("labels":["a"])", R"("labels":["a",7])" },
        { R"("labels":["a"])", R"("labels":"a")" },
        { R"("milli_cores":16000,)", "" },
        { R"("milli_cores":16000)", R"("milli_cores":-1)" },
        { R"("memory_mb":1,)", "" },
        { R"("memory_mb":1)", R"("memory_mb":"1")" },
        { R"("accelerators":0,)", "" },
        { R"("accelerators":0)", R"("accelerators":null)" },
        { R"(,"draining":true)", "" },
        { R"("draining":true)", R"("draining":"true")" },
        { R"("draining":true)", R"("draining":true,"draining":1)" },
    }));
    std::string text = valid;
    text.replace(text.find(from), from.size(), to);
    INFO(text);
    CHECK_FALSE(decodeTargetRecord(text).has_value());
}

} // namespace Lagoonpick
