#include "Lagoonpick/Core/SubmissionId.h"

#include <catch2/catch.hpp>

using namespace Lagoonpick;

namespace {

constexpr std::int64_t creationMilliseconds = 1'796'358'001'099;

} // namespace

TEST_CASE("An issued id holds its issuer and its time of creation", "[SubmissionId]")
{
    auto issuer = GENERATE(as<std::uint64_t> {}, 1, 0x800000000000, 0xffffffffffff, 0x123456789abc);
    auto counter = GENERATE(as<std::uint32_t> {}, 0, 1, 0x3ffffff);
    auto id = SubmissionId::issue(Incarnation(issuer), fromUnixMilliseconds(creationMilliseconds), counter);
    CHECK(id.isIssued());
    CHECK(id.issuer() == Incarnation(issuer));
    CHECK(id.createdAt() == fromUnixMilliseconds(creationMilliseconds));
    CHECK(SubmissionId::parse(id.toString()) == id);
}

TEST_CASE("A caller's id is a UUIDv7", "[SubmissionId]")
{
    auto id = SubmissionId::makeCallerId(fromUnixMilliseconds(creationMilliseconds), ~0ULL, ~0ULL);
    CHECK_FALSE(id.isIssued());
    CHECK(id.createdAt() == fromUnixMilliseconds(creationMilliseconds));
    CHECK(id.toString()[14] == '7');
    CHECK(SubmissionId::parse(id.toString()) == id);
}

TEST_CASE("Ids that were issued at the same time with different counters differ", "[SubmissionId]")
{
    auto at = fromUnixMilliseconds(creationMilliseconds);
    CHECK(SubmissionId::issue(Incarnation(7), at, 1) != SubmissionId::issue(Incarnation(7), at, 2));
}

TEST_CASE("Only the text of a UUID of version 7 or 8 is parsed as an id", "[SubmissionId]")
{
    struct Row {
        std::string text_;
        bool isValid_;
    };
    auto row = GENERATE(values<Row>({
        { "01a23f48-550a-8949-9f66-7daf3c000095", true },
        { "01A23F48-550A-7949-9F66-7DAF3C000095", true },
        { "", false },
        { "01a23f48-550a-8949-9f66-7daf3c00009", false },
        { "01a23f48-550a-8949-9f66-7daf3c0000955", false },
        { "01a23f48-550a-4949-9f66-7daf3c000095", false },
        { "01a23f48-550a-8949-1f66-7daf3c000095", false },
        { "01a23f48x550a-8949-9f66-7daf3c000095", false },
        { "01a23f48-550a-8949-9f66-7daf3c00009g", false },
        { "------------------------------------", false },
        { "01a23f48-550a-8949-9f66-7daf3c00-095", false },
        { "+1a23f48-550a-8949-9f66-7daf3c000095", false },
    }));
    CAPTURE(row.text_);
    CHECK(SubmissionId::parse(row.text_).has_value() == row.isValid_);
}
