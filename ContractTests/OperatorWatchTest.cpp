#include "JobEntry/OperatorWatch.h"
#include "ContractTests/Support/Process.h"
#include "Lagoonpick/Transport/HttpClient.h"
#include "platform/ConfigurationCodec.h"
#include "StandIns/UsersStoreStandIn.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

namespace Lagoonpick {

namespace {

/// The least delay of an answer of the store's stand-in while it is slow.
constexpr Duration slowAnswer = std::chrono::milliseconds(200);

/// A watch of the configuration in the store's stand-in, on one context.
struct WatchFixture {
    boost::asio::io_context context_ { 1 };
    std::string address_ { Contract::findFreeAddress() };
    StandIns::UsersStoreStandIn standIn_ { context_ };
    UsersPlatform::StoreClient store_ { context_, address_ };
    BootTime clock_;
    /// How long ago the configuration was the newest, at each confirmation.
    std::vector<Duration> ages_;
    std::vector<UsersPlatform::EvacuationReading> readings_;
    OperatorWatch watch_ { context_, store_, clock_, { [](const std::string&) {}, [] {}, [this](const UsersPlatform::EvacuationReading& reading) { readings_.push_back(reading); }, [this](Time sentAt) { ages_.push_back(clock_.now() - sentAt); }, [](const Error&) {}, [] {} } };

    WatchFixture()
    {
        REQUIRE(standIn_.listen(address_).empty());
        post("/standin/put?key=" + std::string(UsersPlatform::configurationKey), "{}");
    }

    void post(const std::string& path, const std::string& body)
    {
        HttpClient http(context_, address_, 4096);
        auto call = [&]() -> boost::asio::awaitable<void> {
            co_await http.exchange({ .path_ = path, .idempotencyKey_ = {}, .body_ = body }, std::chrono::seconds(1));
        };
        boost::asio::co_spawn(context_, call, boost::asio::detached);
        context_.run_for(std::chrono::milliseconds(100));
    }

    void evacuate(const std::string& zone) { post("/standin/put?key=" + std::string(UsersPlatform::evacuationPrefix) + zone, ""); }
    void withdraw(const std::string& zone) { post("/standin/remove?key=" + std::string(UsersPlatform::evacuationPrefix) + zone, ""); }

    std::vector<std::string> zones() const { return readings_.empty() ? std::vector<std::string> { "not read" } : readings_.back().zones_.names_; }
};

} // namespace

TEST_CASE("A configuration counts as confirmed from the sending of the read, however late its answer comes")
{
    auto isSlow = GENERATE(false, true);
    WatchFixture fixture;
    if (isSlow)
        fixture.post("/standin/fault", "slow");
    fixture.watch_.start();
    fixture.context_.run_for(std::chrono::seconds(1));
    REQUIRE_FALSE(fixture.ages_.empty());
    CHECK((fixture.ages_.front() >= slowAnswer) == isSlow);
}

// Guards against: an evacuation was noticed only by the next periodic read, or its removal, which is no item, not at all.
TEST_CASE("The evacuated zones are read again as soon as a watch shows that one changed")
{
    WatchFixture fixture;
    fixture.watch_.start();
    fixture.context_.run_for(std::chrono::milliseconds(100));
    CHECK(fixture.zones().empty());
    fixture.evacuate("z0");
    CHECK(fixture.zones() == std::vector<std::string> { "z0" });
    fixture.withdraw("z0");
    CHECK(fixture.zones().empty());
    fixture.evacuate("z0");
    CHECK(fixture.zones() == std::vector<std::string> { "z0" });
    for (std::size_t i = 1; i < fixture.readings_.size(); ++i)
        CHECK(fixture.readings_[i].zones_.revision_ >= fixture.readings_[i - 1].zones_.revision_);
}

// Guards against: only the first page of the range was read, so that the zones of the others counted as not evacuated.
TEST_CASE("Evacuated zones are read from all pages of the store's range")
{
    WatchFixture fixture;
    std::vector<std::string> zones;
    for (int zone = 10; zone < 40; ++zone) {
        zones.push_back("z" + std::to_string(zone));
        fixture.evacuate(zones.back());
    }
    fixture.watch_.start();
    fixture.context_.run_for(std::chrono::milliseconds(200));
    CHECK(fixture.zones() == zones);
}

} // namespace Lagoonpick
