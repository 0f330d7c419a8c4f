#include "platform/StoreCodec.h"

#include <catch2/catch.hpp>

namespace Lagoonpick::UsersPlatform {

TEST_CASE("An answer with an item, a page, changes and a lease is decoded with all its fields")
{
    auto read = decodeReadResult(R"({"key":"k","value":"dGV4dA==","revision":5,"created":4,"lease":0,"as_of":9})");
    REQUIRE(read.has_value());
    CHECK(read.value().item_ == StoredItem { "k", "text", 5 });
    CHECK(read.value().revision_ == 9);
    auto page = decodeListPage(R"({"items":[{"key":"a","value":"","revision":1},{"key":"b","value":"/w==","revision":2}],"has_more":true,"as_of":9})");
    REQUIRE(page.has_value());
    CHECK(page.value().items_ == std::vector<StoredItem> { { "a", "", 1 }, { "b", "\xff", 2 } });
    CHECK(page.value().lastKey_ == "b");
    CHECK(page.value().hasMore_);
    auto changes = decodeWatchResult(R"({"events":[{"key":"a","value":"eA==","revision":8},{"key":"b","revision":9,"removed":true}],"as_of":9})", 7);
    REQUIRE(changes.has_value());
    CHECK(changes.value().items_ == std::vector<StoredItem> { { "a", "x", 8 } });
    CHECK(changes.value().revision_ == 9);
    CHECK(decodeLeaseId(R"({"lease":12,"ttl_ms":1000})").value() == "12");
    CHECK(decodeLeaseId(R"({"lease":"l-12"})").value() == "l-12");
}

// Guards against: an item that could not be read counted as absent, and a value that was cut as the whole one.
TEST_CASE("A read is answered with a whole item, or it has failed")
{
    auto [from, to] = GENERATE(table<std::string, std::string>({
        { R"("key":"k",)", "" },
        { R"("key":"k")", R"("key":7)" },
        { R"("key":"k")", R"("key":"")" },
        { R"("value":"dGV4dA==",)", "" },
        { R"("value":"dGV4dA==")", R"("value":null)" },
        { R"("value":"dGV4dA==")", R"("value":"dGV4dA")" },
        { R"("value":"dGV4dA==")", R"("value":"dGV*dA==")" },
        { R"("value":"dGV4dA==")", R"("value":"dGV4=dA=")" },
        { R"("value":"dGV4dA==")", R"("value":"====")" },
        { R"("value":"dGV4dA==")", R"("value":"dGV4dA==\n")" },
        { R"("value":"dGV4dA==")", "\"value\":\"\xff\xfe\"" },
        { R"("revision":5,)", "" },
        { R"("revision":5)", R"("revision":"5")" },
        { R"("revision":5)", R"("revision":-5)" },
        { R"("revision":5)", R"("revision":9007199254740993)" },
        { R"("as_of":9)", R"("as_of":"9")" },
        { R"("as_of":9)", R"("as_of":18446744073709551615)" },
        { R"("as_of":9)", R"("as_of":9,"as_of":[])" },
        { "{", "" },
        { "{", "[" },
        { "{", std::string(100'000, '[') },
    }));
    std::string text = R"({"key":"k","value":"dGV4dA==","revision":5,"created":4,"lease":0,"as_of":9})";
    text.replace(text.find(from), from.size(), to);
    INFO(text.substr(0, 100));
    auto read = decodeReadResult(text);
    REQUIRE_FALSE(read.has_value());
    CHECK(read.error().code_ == ErrorCode::Malformed);
}

// Guards against: another writer's odd row hid the others, or half of a value was taken for an address.
TEST_CASE("A page without a readable list has failed; of a readable one, rows that can't be read are left out")
{
    struct Row {
        std::string text_;
        /// -1: the answer can't be decoded.
        int items_;
        std::string lastKey_;
    };
    auto row = GENERATE(values<Row>({
        { "{}", 0, "" },
        { R"({"items":[],"as_of":9})", 0, "" },
        { R"({"items":{}})", -1, "" },
        { R"({"items":7})", -1, "" },
        { R"({"items":[],"has_more":"yes"})", -1, "" },
        { R"({"items":[],"has_more":1})", -1, "" },
        { R"({"items":[7,{"key":"a"},{"key":"b","value":"eA==","revision":1},{"key":"c","value":"eA","revision":1}]})", 1, "c" },
        { R"({"items":[{"key":"b","value":"MTAuMC4wLjE6ODA=","revision":1},{"key":"c","value":"MTAuMC4wLjE6O*A=","revision":1}]})", 1, "c" },
        { R"({"items":[[[[]]],{"key":["a"],"value":"eA==","revision":1}]})", 0, "" },
        { "[]", -1, "" },
        { "", -1, "" },
        { "\xff", -1, "" },
    }));
    INFO(row.text_);
    auto page = decodeListPage(row.text_);
    CHECK((page ? static_cast<int>(page.value().items_.size()) : -1) == row.items_);
    if (page)
        CHECK(page.value().lastKey_ == row.lastKey_);
}

// Guards against: a revision that nothing exceeds made a watch wait for changes that never come.
TEST_CASE("Changes without a readable list or revision have failed")
{
    auto [text, revision] = GENERATE(table<std::string, std::uint64_t>({
        { "{}", 7 },
        { R"({"events":[],"as_of":6})", 7 },
        { R"({"events":[],"as_of":8})", 8 },
        { R"({"events":{},"as_of":8})", 0 },
        { R"({"events":[],"as_of":"8"})", 0 },
        { R"({"events":[],"as_of":-8})", 0 },
        { R"({"events":[],"as_of":8.5})", 0 },
        { R"({"events":[],"as_of":18446744073709551615})", 0 },
        { "null", 0 },
    }));
    INFO(text);
    auto changes = decodeWatchResult(text, 7);
    CHECK((changes ? changes.value().revision_ : 0) == revision);
}

// Guards against: an id of any type and text went into the path of the next call.
TEST_CASE("A lease's id is a number above 0 or a short name")
{
    auto [lease, isValid] = GENERATE(table<std::string, bool>({
        { "1", true },
        { "18446744073709551615", true },
        { "0", false },
        { "-1", false },
        { "1.5", false },
        { "null", false },
        { "true", false },
        { "{}", false },
        { "[1]", false },
        { R"("l_1.2-3")", true },
        { R"("")", false },
        { R"("a b")", false },
        { R"("a/../b")", false },
        { R"("a\r\nX: 1")", false },
        { '"' + std::string(65, 'x') + '"', false },
    }));
    INFO(lease);
    CHECK(decodeLeaseId(R"({"lease":)" + lease + "}").has_value() == isValid);
    CHECK_FALSE(decodeLeaseId("{}").has_value());
}

} // namespace Lagoonpick::UsersPlatform
