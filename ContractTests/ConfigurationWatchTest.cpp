#include "JobEntry/ConfigurationWatch.h"
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
    ConfigurationWatch watch_ { context_, store_, clock_, { [](const std::string&) {}, [this](Time sentAt) { ages_.push_back(clock_.now() - sentAt); }, [](const Error&) {}, [] {} } };

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

} // namespace Lagoonpick
