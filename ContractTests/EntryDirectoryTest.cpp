#include "RunAgent/EntryDirectory.h"
#include "ContractTests/Support/Process.h"
#include "Lagoonpick/Core/StoreKeys.h"
#include "Lagoonpick/Transport/Spawn.h"
#include "StandIns/UsersStoreStandIn.h"

#include <catch2/catch.hpp>

namespace Lagoonpick {

namespace {

/// A directory of the entries in a stand-in of the store, on one context.
struct DirectoryFixture {
    boost::asio::io_context context_ { 1 };
    std::string storeAddress_ { Contract::findFreeAddress() };
    StandIns::UsersStoreStandIn standIn_ { context_ };
    UsersPlatform::StoreClient store_ { context_, storeAddress_ };
    BootTime clock_;
    std::vector<std::string> unreadableKeys_;
    EntryDirectory directory_ { context_, store_, clock_, { [] {}, [](bool) {}, [this](const std::string& key) { unreadableKeys_.push_back(key); } } };

    DirectoryFixture()
    {
        REQUIRE(standIn_.listen(storeAddress_).empty());
        directory_.start();
    }

    void write(const std::string& name, const std::string& value)
    {
        auto put = [](UsersPlatform::StoreClient& store, std::string key, std::string text) -> boost::asio::awaitable<void> {
            auto written = co_await store.put(std::move(key), std::move(text), {});
            CHECK(written.has_value());
        };
        spawn(context_, put(store_, std::string(entriesPrefix) + name, value), "write of an entry");
    }

    /// Runs for a second of real time, in which the directory lists the entries a few times.
    std::vector<std::string> addressesAfterASecond()
    {
        auto failure = runFor(std::chrono::seconds(1));
        INFO(failure);
        REQUIRE(failure.empty());
        return directory_.addresses(clock_.now());
    }

private:
    std::string runFor(Duration span)
    {
        try {
            context_.run_for(span);
        } catch (const std::exception& exception) {
            return exception.what();
        }
        return {};
    }
};

} // namespace

// Guards against: another writer's odd entry in the list ended the machines that read it, or they followed it no longer.
TEST_CASE("Odd entries in the list are left out and reported once; the others are followed")
{
    DirectoryFixture fixture;
    fixture.write("a", "10.0.0.1:1");
    fixture.write("odd-port", "10.0.0.2:99999");
    fixture.write("odd-number", "10.0.0.3:1e400");
    fixture.write("odd-nesting", std::string(100'000, '['));
    fixture.write("odd-bytes", "\xff\xfe");
    fixture.write("odd-name", "elsewhere.example:80");
    fixture.write("odd-nothing", "");
    CHECK(fixture.addressesAfterASecond() == std::vector<std::string> { "10.0.0.1:1" });
    CHECK(fixture.unreadableKeys_.size() == 6);
    fixture.write("z", "10.0.0.9:1");
    CHECK(fixture.addressesAfterASecond() == std::vector<std::string> { "10.0.0.1:1", "10.0.0.9:1" });
    CHECK(fixture.unreadableKeys_.size() == 6);
}

} // namespace Lagoonpick
