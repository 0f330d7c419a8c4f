#include "Agent/Registrar.h"
#include "ContractTests/Support/Process.h"
#include "Lagoonpick/Platform/PlatformClient.h"
#include "Lagoonpick/Platform/PlatformWatcher.h"
#include "StandIns/PlatformStandIn.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

using namespace Lagoonpick;
using namespace Lagoonpick::Contract;
using StandIns::PlatformFault;
using StandIns::PlatformStandIn;
namespace asio = boost::asio;

namespace {

constexpr Duration callTimeout = std::chrono::milliseconds(200);

/// The platform stand-in and a client of it on one context.
struct PlatformFixture {
    asio::io_context context_ { 1 };
    std::string address_ { findFreeAddress() };
    PlatformStandIn platform_ { context_ };
    PlatformClient client_ { context_, address_, callTimeout };

    PlatformFixture() { REQUIRE(platform_.listen(address_).empty()); }

    /// Runs the context until `body` has ended.
    template <typename Body>
    void run(Body body)
    {
        auto runAndStop = [&]() -> asio::awaitable<void> {
            co_await body();
            context_.stop();
        };
        asio::co_spawn(context_, runAndStop, asio::detached);
        context_.run();
        context_.restart();
    }

    asio::awaitable<void> pause(int milliseconds)
    {
        asio::steady_timer timer(context_, std::chrono::milliseconds(milliseconds));
        co_await timer.async_wait(asio::use_awaitable);
    }
};

std::string findValue(const PlatformRange& range, const std::string& key)
{
    for (const auto& item : range.items_) {
        if (item.key_ == key)
            return item.value_.value_or("");
    }
    return {};
}

} // namespace

TEST_CASE("A compare-and-swap under each fault reports Written or Conflict only if that is certain", "[Platform]")
{
    struct Row {
        const char* description_;
        PlatformFault fault_;
        std::int64_t expected_;
        WriteOutcome outcome_;
        const char* value_;
    };
    auto row = GENERATE(values<Row>({
        { "a missing key, as expected", PlatformFault::None, 0, WriteOutcome::Written, "new" },
        { "a missing key where a revision is expected", PlatformFault::None, 7, WriteOutcome::Conflict, "" },
        { "an outage", PlatformFault::Outage, 0, WriteOutcome::Unknown, "" },
        { "a response lost after the write", PlatformFault::LoseAnswers, 0, WriteOutcome::Unknown, "new" },
        { "a response after the timeout", PlatformFault::Slow, 0, WriteOutcome::Unknown, "new" },
    }));
    CAPTURE(row.description_);
    PlatformFixture fixture;
    fixture.run([&]() -> asio::awaitable<void> {
        fixture.platform_.setFault(row.fault_);
        CompareAndSwap swap { "lagoonpick/key", row.expected_, "new" };
        WriteOutcome outcome = co_await fixture.client_.compareAndSwap(std::move(swap));
        CHECK(outcome == row.outcome_);
        co_await fixture.pause(1600);
        fixture.platform_.setFault(PlatformFault::None);
        auto range = co_await fixture.client_.range("lagoonpick/");
        REQUIRE(range);
        CHECK(findValue(range.value(), "lagoonpick/key") == row.value_);
    });
}

TEST_CASE("Of two writes that expect the same revision, only the first succeeds", "[Platform]")
{
    PlatformFixture fixture;
    fixture.run([&]() -> asio::awaitable<void> {
        CompareAndSwap first { "lagoonpick/key", 0, "first" };
        CompareAndSwap second { "lagoonpick/key", 0, "second" };
        WriteOutcome firstOutcome = co_await fixture.client_.compareAndSwap(std::move(first));
        WriteOutcome secondOutcome = co_await fixture.client_.compareAndSwap(std::move(second));
        CHECK(firstOutcome == WriteOutcome::Written);
        CHECK(secondOutcome == WriteOutcome::Conflict);
    });
}

TEST_CASE("An agent does not join while the fence list can't be read", "[Platform]")
{
    PlatformFixture fixture;
    Registration registration { .target_ = "target", .service_ = "service", .availabilityZone_ = "a", .address_ = "10.0.0.1:1", .agent_ = Incarnation(1), .registeredAt_ = {}, .ledgerLostAt_ = {} };
    Registrar registrar(fixture.context_, fixture.client_, registration);
    std::optional<std::vector<Incarnation>> fenced;
    fixture.run([&]() -> asio::awaitable<void> {
        CompareAndSwap malformed { PlatformKeys::membership, 0, "{" };
        WriteOutcome malformedOutcome = co_await fixture.client_.compareAndSwap(std::move(malformed));
        REQUIRE(malformedOutcome == WriteOutcome::Written);
        auto enroll = [&]() -> asio::awaitable<void> { fenced = co_await registrar.enroll([] { return Time(std::chrono::hours(1)); }); };
        asio::co_spawn(fixture.context_, enroll, asio::detached);
        co_await fixture.pause(1000);
        CHECK_FALSE(fenced.has_value());
        Membership table;
        table.fenced_.push_back({ .incarnation_ = Incarnation(9) });
        auto range = co_await fixture.client_.range(PlatformKeys::membership);
        REQUIRE(range);
        CompareAndSwap readable { PlatformKeys::membership, range.value().items_.at(0).revision_, writeMembership(table) };
        WriteOutcome readableOutcome = co_await fixture.client_.compareAndSwap(std::move(readable));
        REQUIRE(readableOutcome == WriteOutcome::Written);
        co_await fixture.pause(1000);
    });
    REQUIRE(fenced.has_value());
    CHECK(*fenced == std::vector { Incarnation(9) });
}

TEST_CASE("A key under a lease is deleted when the lease expires or is revoked", "[Platform]")
{
    bool isRevoked = GENERATE(true, false);
    PlatformFixture fixture;
    fixture.run([&]() -> asio::awaitable<void> {
        auto lease = co_await fixture.client_.grantLease(std::chrono::seconds(1));
        REQUIRE(lease);
        auto written = co_await fixture.client_.put("lagoonpick/entries/000000000001", "x", lease.value());
        REQUIRE(written);
        auto renewed = co_await fixture.client_.keepAlive(lease.value());
        CHECK(renewed);
        if (isRevoked) {
            auto revoked = co_await fixture.client_.revoke(lease.value());
            CHECK(revoked);
        } else {
            co_await fixture.pause(1300);
        }
        auto range = co_await fixture.client_.range("lagoonpick/");
        REQUIRE(range);
        CHECK(range.value().items_.empty());
        auto renewedTooLate = co_await fixture.client_.keepAlive(lease.value());
        REQUIRE_FALSE(renewedTooLate);
        CHECK(renewedTooLate.error().code_ == ErrorCode::NotFound);
    });
}

TEST_CASE("A watcher sees every change, keeps its view during an outage and catches up afterwards", "[Platform]")
{
    PlatformFixture fixture;
    std::shared_ptr<const PlatformView> view;
    bool isFresh = false;
    PlatformWatcher watcher(fixture.context_, fixture.client_, 1, [&](auto newView, bool fresh) {
        if (view)
            CHECK(newView->revision_ >= view->revision_);
        view = std::move(newView);
        isFresh = fresh;
    });
    asio::co_spawn(fixture.context_, watcher.run(), asio::detached);
    auto put = [&](const char* entry) -> asio::awaitable<void> {
        auto written = co_await fixture.client_.put(std::string(PlatformKeys::entries) + entry, "x", LeaseId::None);
        CHECK(written);
    };
    fixture.run([&]() -> asio::awaitable<void> {
        co_await put("000000000001");
        co_await fixture.pause(400);
        CHECK(isFresh);
        CHECK(view->liveEntries_.size() == 1);
        co_await put("000000000002");
        co_await fixture.pause(100);
        CHECK(view->liveEntries_.size() == 2);
        fixture.platform_.setFault(PlatformFault::Outage);
        co_await fixture.pause(400);
        CHECK_FALSE(isFresh);
        CHECK(view->liveEntries_.size() == 2);
        fixture.platform_.setFault(PlatformFault::None);
        co_await put("000000000003");
        co_await fixture.pause(1200);
        CHECK(isFresh);
        CHECK(view->liveEntries_.size() == 3);
    });
}

TEST_CASE("Malformed values are rejected and change nothing", "[Platform]")
{
    struct Row {
        const char* key_;
        const char* value_;
    };
    auto row = GENERATE(values<Row>({
        { "lagoonpick/membership", "" },
        { "lagoonpick/membership", "{}" },
        { "lagoonpick/membership", R"({"horizon_ms":1,"epochs":[{}],"fenced":[]})" },
        { "lagoonpick/entries/x", "" },
        { "lagoonpick/targets/t", "{}" },
        { "lagoonpick/targets/t", R"({"agent":"zz"})" },
    }));
    CAPTURE(row.key_, row.value_);
    PlatformView view;
    CHECK_FALSE(view.apply(row.key_, std::string(row.value_), 5));
    CHECK(view.membership_ == Membership {});
    CHECK(view.targets_.empty());
    CHECK(view.liveEntries_.empty());
}
