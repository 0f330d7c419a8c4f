#include "platform/EvacuationCodec.h"

#include <catch2/catch.hpp>

namespace Lagoonpick::UsersPlatform {

// Guards against: an evacuation whose value can't be read was ignored, although only the key's presence counts.
TEST_CASE("Each key below the prefix of evacuations names a zone, whatever its value")
{
    auto page = decodeListPage(R"({"items":[
        {"key":"op/config","value":"e30=","revision":1},
        {"key":"op/evacuate","value":"","revision":2},
        {"key":"op/evacuate/b","value":"%","revision":3},
        {"key":"op/evacuate/a","value":null,"revision":4},
        {"key":"op/evacuate/a/x y"},
        {"key":"op/evacuated/c","value":"","revision":5},
        {"key":"op/other","value":"","revision":6},
        7,
        {"value":""}
    ],"as_of":9})");
    REQUIRE(page.has_value());
    CHECK(page.value().items_.size() == 4);
    auto reading = decodeEvacuations({ page.value().items_, page.value().keys_, page.value().revision_ });
    CHECK(reading.zones_ == Wire::EvacuatedZones { 9, { "a", "a/x y", "b" } });
    CHECK(reading.ignoredKeys_.empty());
}

// Guards against: a name that no frame may hold closed the links over which the set was sent.
TEST_CASE("Keys without a readable name are left out and named")
{
    const std::string prefix(evacuationPrefix);
    RangeResult range { {}, { prefix, prefix + std::string(256, 'x'), prefix + std::string(257, 'x'), prefix + "\xff", prefix + "a" }, 9 };
    auto reading = decodeEvacuations(range);
    CHECK(reading.zones_ == Wire::EvacuatedZones { 9, { "a", std::string(256, 'x') } });
    CHECK(reading.ignoredKeys_ == std::vector<std::string> { prefix, prefix + std::string(257, 'x'), prefix + "\xff" });
    for (int zone = 0; zone < 2000; ++zone)
        range.keys_.push_back(prefix + "b" + std::to_string(zone));
    reading = decodeEvacuations(range);
    CHECK(reading.zones_.names_.size() == 1024);
    CHECK(reading.ignoredKeys_.size() == 3 + 2002 - 1024);
}

// Guards against: a removal that is no item went unnoticed until the next periodic read.
TEST_CASE("A watch names all keys that changed, also removed ones")
{
    auto changes = decodeWatchResult(R"({"events":[{"key":"op/evacuate/a","revision":8,"removed":true},{"key":"op/evacuate/b","value":null,"revision":9}],"as_of":9})", 7);
    REQUIRE(changes.has_value());
    CHECK(changes.value().items_.empty());
    CHECK(changes.value().changedKeys_ == std::vector<std::string> { "op/evacuate/a", "op/evacuate/b" });
}

} // namespace Lagoonpick::UsersPlatform
