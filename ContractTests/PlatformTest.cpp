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

/// The stand-in and a client of it on one context.
struct Bench {
    asio::io_context context_ { 1 };
    std::string address_ { findFreeAddress() };
    PlatformStandIn platform_ { context_ };
    PlatformClient client_ { context_, address_, callTimeout };

    Bench() { REQUIRE(platform_.listen(address_).empty()); }

    /// Runs `body` to its end.
    template <typename Body>
    void run(Body body)
    {
        auto outer = [&]() -> asio::awaitable<void> {
            co_await body();
            context_.stop();
        };
        asio::co_spawn(context_, outer, asio::detached);
        context_.run();
        context_.restart();
    }

    asio::awaitable<void> pause(int milliseconds)
    {
        asio::steady_timer timer(context_, std::chrono::milliseconds(milliseconds));
        co_await timer.async_wait(asio::use_awaitable);
    }
};

std::string valueIn(const PlatformRange& range, const std::string& key)
{
    for (const auto& item : range.items_) {
        if (item.key_ == key)
            return item.value_.value_or("");
    }
    return {};
}

} // namespace

TEST_CASE("A compare-and-swap under each fault says no more than it knows", "[Platform]")
{
    struct Row {
        const char* what_;
        PlatformFault fault_;
        std::int64_t expected_;
        WriteOutcome outcome_;
        const char* value_;
    };
    auto row = GENERATE(values<Row>({
        { "a key that isn't there", PlatformFault::None, 0, WriteOutcome::Written, "new" },
        { "a revision that is over", PlatformFault::None, 7, WriteOutcome::Conflict, "" },
        { "an outage", PlatformFault::Outage, 0, WriteOutcome::Unknown, "" },
        { "an answer lost after the write", PlatformFault::LoseAnswers, 0, WriteOutcome::Unknown, "new" },
        { "an answer that comes too late", PlatformFault::Slow, 0, WriteOutcome::Unknown, "new" },
    }));
    CAPTURE(row.what_);
    Bench bench;
    bench.run([&]() -> asio::awaitable<void> {
        bench.platform_.setFault(row.fault_);
        CompareAndSwap swap { "lagoonpick/key", row.expected_, "new" };
        WriteOutcome outcome = co_await bench.client_.compareAndSwap(std::move(swap));
        CHECK(outcome == row.outcome_);
        co_await bench.pause(1600);
        bench.platform_.setFault(PlatformFault::None);
        auto range = co_await bench.client_.range("lagoonpick/");
        REQUIRE(range);
        CHECK(valueIn(range.value(), "lagoonpick/key") == row.value_);
    });
}

TEST_CASE("Of two operators that write against the same revision one wins", "[Platform]")
{
    Bench bench;
    bench.run([&]() -> asio::awaitable<void> {
        CompareAndSwap first { "lagoonpick/key", 0, "first" };
        CompareAndSwap second { "lagoonpick/key", 0, "second" };
        WriteOutcome firstOutcome = co_await bench.client_.compareAndSwap(std::move(first));
        WriteOutcome secondOutcome = co_await bench.client_.compareAndSwap(std::move(second));
        CHECK(firstOutcome == WriteOutcome::Written);
        CHECK(secondOutcome == WriteOutcome::Conflict);
    });
}

TEST_CASE("A key under a lease goes when the lease lapses or is given back", "[Platform]")
{
    bool isRevoked = GENERATE(true, false);
    Bench bench;
    bench.run([&]() -> asio::awaitable<void> {
        auto lease = co_await bench.client_.grantLease(std::chrono::seconds(1));
        REQUIRE(lease);
        auto written = co_await bench.client_.put("lagoonpick/entries/000000000001", "x", lease.value());
        REQUIRE(written);
        auto kept = co_await bench.client_.keepAlive(lease.value());
        CHECK(kept);
        if (isRevoked) {
            auto revoked = co_await bench.client_.revoke(lease.value());
            CHECK(revoked);
        } else {
            co_await bench.pause(1300);
        }
        auto range = co_await bench.client_.range("lagoonpick/");
        REQUIRE(range);
        CHECK(range.value().items_.empty());
        auto late = co_await bench.client_.keepAlive(lease.value());
        REQUIRE_FALSE(late);
        CHECK(late.error().code_ == ErrorCode::NotFound);
    });
}

TEST_CASE("A watcher sees every change, keeps its view in an outage and catches up after it", "[Platform]")
{
    Bench bench;
    std::shared_ptr<const PlatformView> view;
    bool isFresh = false;
    PlatformWatcher watcher(bench.context_, bench.client_, 1, [&](auto seen, bool fresh) {
        if (view)
            CHECK(seen->revision_ >= view->revision_);
        view = std::move(seen);
        isFresh = fresh;
    });
    asio::co_spawn(bench.context_, watcher.run(), asio::detached);
    auto put = [&](const char* entry) -> asio::awaitable<void> {
        auto written = co_await bench.client_.put(std::string(PlatformKeys::entries) + entry, "x", LeaseId::None);
        CHECK(written);
    };
    bench.run([&]() -> asio::awaitable<void> {
        co_await put("000000000001");
        co_await bench.pause(400);
        CHECK(isFresh);
        CHECK(view->liveEntries_.size() == 1);
        co_await put("000000000002");
        co_await bench.pause(100);
        CHECK(view->liveEntries_.size() == 2);
        bench.platform_.setFault(PlatformFault::Outage);
        co_await bench.pause(400);
        CHECK_FALSE(isFresh);
        CHECK(view->liveEntries_.size() == 2);
        bench.platform_.setFault(PlatformFault::None);
        co_await put("000000000003");
        co_await bench.pause(1200);
        CHECK(isFresh);
        CHECK(view->liveEntries_.size() == 3);
    });
}

TEST_CASE("Values that can't be read are reported and change nothing", "[Platform]")
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
