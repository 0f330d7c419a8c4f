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

} // namespace Lagoonpick::UsersPlatform
