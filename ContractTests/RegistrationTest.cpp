#include "ContractTests/Support/Process.h"
#include "JobEntry/EntryRegistration.h"
#include "Lagoonpick/Core/StoreKeys.h"
#include "Lagoonpick/Transport/HttpClient.h"
#include "StandIns/UsersStoreStandIn.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

namespace Lagoonpick {

namespace {

/// The store's stand-in and registrations of entries in it, on one context.
struct RegistrationFixture {
    boost::asio::io_context context_ { 1 };
    std::string address_ { Contract::findFreeAddress() };
    StandIns::UsersStoreStandIn standIn_ { context_ };
    UsersPlatform::StoreClient store_ { context_, address_ };

    RegistrationFixture() { REQUIRE(standIn_.listen(address_).empty()); }

    /// Runs the context until the store lists as many entries as expected; false if that takes longer than 5 s.
    bool waitForEntries(std::size_t count)
    {
        bool isReached = false;
        for (int step = 0; step < 50 && !isReached; ++step) {
            auto list = [&]() -> boost::asio::awaitable<void> {
                auto items = co_await store_.list(std::string(entriesPrefix));
                isReached = items && items.value().size() == count;
            };
            boost::asio::co_spawn(context_, list, boost::asio::detached);
            context_.run_for(std::chrono::milliseconds(100));
        }
        return isReached;
    }

    /// Runs the context until the store lists the address of an entry; false if that takes longer than 5 s.
    bool waitForAddress(const std::string& address)
    {
        bool isListed = false;
        for (int step = 0; step < 50 && !isListed; ++step) {
            auto list = [&]() -> boost::asio::awaitable<void> {
                auto items = co_await store_.list(std::string(entriesPrefix));
                auto isSought = [&](const auto& item) { return item.value_ == address; };
                isListed = items && std::any_of(items.value().begin(), items.value().end(), isSought);
            };
            boost::asio::co_spawn(context_, list, boost::asio::detached);
            context_.run_for(std::chrono::milliseconds(100));
        }
        return isListed;
    }

    void removeFromStore(const std::string& name)
    {
        HttpClient http(context_, address_, 4096);
        auto remove = [&]() -> boost::asio::awaitable<void> {
            co_await http.exchange({ .path_ = "/standin/remove?key=" + std::string(entriesPrefix) + name, .idempotencyKey_ = {}, .body_ = {} }, std::chrono::seconds(1));
        };
        boost::asio::co_spawn(context_, remove, boost::asio::detached);
        context_.run_for(std::chrono::milliseconds(100));
    }
};

} // namespace

TEST_CASE("An entry whose key was removed registers again, also beside an entry whose name begins with its name")
{
    RegistrationFixture fixture;
    auto ignore = [](bool) {};
    EntryRegistration first(fixture.context_, fixture.store_, "entry-1", "10.0.0.1:1", ignore);
    EntryRegistration tenth(fixture.context_, fixture.store_, "entry-10", "10.0.0.10:1", ignore);
    first.start();
    tenth.start();
    REQUIRE(fixture.waitForEntries(2));
    fixture.removeFromStore("entry-1");
    REQUIRE(fixture.waitForEntries(1));
    CHECK(fixture.waitForEntries(2));
}

// Guards against: an instance that was replaced under its name took the key, and agents never learnt the address of its successor.
TEST_CASE("An entry whose key holds another entry's address registers again")
{
    RegistrationFixture fixture;
    auto ignore = [](bool) {};
    EntryRegistration present(fixture.context_, fixture.store_, "entry", "10.0.0.2:1", ignore);
    present.start();
    REQUIRE(fixture.waitForAddress("10.0.0.2:1"));
    EntryRegistration former(fixture.context_, fixture.store_, "entry", "10.0.0.1:1", ignore);
    former.start();
    REQUIRE(fixture.waitForAddress("10.0.0.1:1"));
    CHECK(fixture.waitForAddress("10.0.0.2:1"));
}

} // namespace Lagoonpick
