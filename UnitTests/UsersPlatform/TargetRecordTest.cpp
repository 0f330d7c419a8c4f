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

} // namespace Lagoonpick
