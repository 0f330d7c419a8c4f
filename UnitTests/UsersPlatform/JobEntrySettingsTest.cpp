#include "JobEntry/JobEntrySettings.h"

#include <catch2/catch.hpp>

using namespace Lagoonpick;

namespace {

const std::string addresses = "[entry]\nname = e\navailability_zone = z\nfront_address = 10.0.0.1:1\nready_address = 10.0.0.1:2\n"
                              "link_address = 10.0.0.1:3\nmetrics_address = 10.0.0.1:4\n[store]\naddress = 10.0.0.2:1\n";

} // namespace

TEST_CASE("Callers' connections and bodies stay within the instance's descriptors and memory")
{
    struct Row {
        std::string limits_;
        std::uint32_t maxConnections_;
        std::uint64_t maxHeldBytes_;
        std::size_t faults_;
    };
    auto row = GENERATE(values<Row>({
        { "", 3496, 32'000'000, 0 },
        { "descriptors = 4100\nmemory_mb = 260\n", 3500, 32'500'000, 0 },
        { "descriptors = 3075\nmemory_mb = 120\n", 2475, 15'000'000, 0 },
        { "descriptors = 8192\nmemory_mb = 512\n", 7592, 64'000'000, 0 },
        // An eighth of 1 MB is less than one body may take, so the limit is one body.
        { "memory_mb = 1\n", 64, 262'144, 0 },
        // Connections that hold nothing have an eighth of the memory, too.
        { "descriptors = 8192\nmemory_mb = 64\n", 1953, 8'000'000, 0 },
        { "descriptors = 100\nmemory_mb = 260\n", 3496, 32'500'000, 1 },
    }));
    SettingsReader reader("entry.ini", addresses + "[limits]\n" + row.limits_);
    auto limits = readJobEntrySettings(reader).frontLimits_;
    INFO(row.limits_);
    CHECK(reader.finish().size() == row.faults_);
    CHECK(limits.maxConnections_ == row.maxConnections_);
    CHECK(limits.maxHeldBytes_ == row.maxHeldBytes_);
    CHECK(limits.callerTimeField_ == "Lagoonpick-Deadline-Ms");
}
