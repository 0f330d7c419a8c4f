#include "RunAgent/TargetRecordStore.h"
#include "ContractTests/Support/Process.h"
#include "Lagoonpick/Core/StoreKeys.h"
#include "Lagoonpick/Transport/Spawn.h"
#include "RunAgent/TargetRecord.h"
#include "StandIns/UsersStoreStandIn.h"

#include <catch2/catch.hpp>

namespace Lagoonpick {

namespace {

struct RecordFixture {
    boost::asio::io_context context_ { 1 };
    std::string storeAddress_ { Contract::findFreeAddress() };
    StandIns::UsersStoreStandIn standIn_ { context_ };
    UsersPlatform::StoreClient store_ { context_, storeAddress_ };
    TargetRecordStore records_ { context_, store_, "agent" };
    std::vector<bool> saved_;

    RecordFixture() { REQUIRE(standIn_.listen(storeAddress_).empty()); }

    void save(bool isDraining)
    {
        TargetHeartbeat heartbeat { .incarnation_ = { "target", 1 }, .service_ = "service", .capacity_ = { 1, 1, 0 }, .isDraining_ = isDraining };
        records_.save(heartbeat, [this](bool isSaved) { saved_.push_back(isSaved); });
    }

    void setFault(const std::string& fault)
    {
        HttpClient http(context_, storeAddress_, 4096);
        auto set = [](HttpClient& client, std::string body) -> boost::asio::awaitable<void> {
            co_await client.exchange({ .path_ = "/standin/fault", .idempotencyKey_ = {}, .body_ = std::move(body) }, std::chrono::seconds(1));
        };
        spawn(context_, set(http, fault), "fault of the store");
        context_.run_for(std::chrono::milliseconds(100));
    }

    std::string storedRecord()
    {
        std::string record;
        auto read = [](UsersPlatform::StoreClient& store, std::string& text) -> boost::asio::awaitable<void> {
            auto result = co_await store.read(std::string(targetsPrefix) + "agent");
            if (result && result.value().item_)
                text = result.value().item_->value_;
        };
        spawn(context_, read(store_, record), "read of the record");
        context_.run_for(std::chrono::milliseconds(300));
        return record;
    }
};

} // namespace

// Guards against: an older record was written after a newer one and replaced it, so that a drain was forgotten (issue 21).
TEST_CASE("Of two records that are saved while the first is still being written, the later one is stored last")
{
    RecordFixture fixture;
    fixture.setFault("slow");
    fixture.save(false);
    fixture.context_.run_for(std::chrono::milliseconds(50));
    fixture.setFault("none");
    fixture.save(true);
    fixture.save(true);
    fixture.context_.run_for(std::chrono::seconds(3));
    CHECK(fixture.saved_.size() == 3);
    CHECK(fixture.saved_.back());
    auto record = decodeTargetRecord(fixture.storedRecord());
    REQUIRE(record.has_value());
    CHECK(record.value().isDraining_);
}

TEST_CASE("A record that the store may not hold is written again, one that it holds is not")
{
    RecordFixture fixture;
    fixture.save(true);
    fixture.context_.run_for(std::chrono::milliseconds(200));
    fixture.save(true);
    CHECK(fixture.saved_ == std::vector { true, true });
    fixture.setFault("outage");
    fixture.save(false);
    fixture.context_.run_for(std::chrono::seconds(1));
    CHECK(fixture.saved_ == std::vector { true, true, false });
    fixture.setFault("none");
    fixture.save(true);
    CHECK(fixture.saved_.size() == 3);
    fixture.context_.run_for(std::chrono::milliseconds(200));
    CHECK(fixture.saved_ == std::vector { true, true, false, true });
}

} // namespace Lagoonpick
