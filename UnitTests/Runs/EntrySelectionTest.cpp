#include "Lagoonpick/Run/EntrySelection.h"
#include "Lagoonpick/Run/ConfigurationFetch.h"
#include "UnitTests/Runs/RunAgentFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace Lagoonpick {

namespace {

using Addresses = std::set<std::string>;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t size = 12;
constexpr Time start { std::chrono::hours(1) };

Addresses makeAddresses(std::size_t count)
{
    Addresses addresses;
    for (std::size_t i = 0; i < count; ++i)
        addresses.insert("10.0.0." + std::to_string(i) + ":7720");
    return addresses;
}

/// The entries that an agent is connected to once all the chosen ones have answered.
Addresses settle(EntrySelection& selection, const Addresses& known, Addresses connected, Time now)
{
    for (int round = 0; round < 2; ++round)
        connected = selection.choose(known, connected, now);
    return connected;
}

std::size_t countMissing(const Addresses& from, const Addresses& in)
{
    return static_cast<std::size_t>(std::count_if(from.begin(), from.end(), [&](const auto& address) { return !in.contains(address); }));
}

} // namespace

TEST_CASE("An agent attaches to all entries of a small deployment and to a fixed number of those of a large one")
{
    auto [count, expected] = GENERATE(table<std::size_t, std::size_t>({ { 0, 0 }, { 1, 1 }, { 4, 4 }, { 12, 12 }, { 13, 12 }, { 55, 12 }, { 800, 12 } }));
    EntrySelection selection("agent", size);
    CHECK(settle(selection, makeAddresses(count), {}, start).size() == expected);
}

TEST_CASE("Each entry gets about its share of the agents, and agents choose independently of each other")
{
    constexpr int agentCount = 240;
    const Addresses known = makeAddresses(55);
    std::map<std::string, int> agentsOf;
    std::set<Addresses> choices;
    for (int i = 0; i < agentCount; ++i) {
        EntrySelection selection("side-" + std::to_string(i), size);
        Addresses chosen = settle(selection, known, {}, start);
        choices.insert(chosen);
        for (const auto& address : chosen)
            ++agentsOf[address];
    }
    CHECK(choices.size() == agentCount);
    REQUIRE(agentsOf.size() == known.size());
    for (const auto& [address, agents] : agentsOf) {
        INFO(address << ": " << agents);
        // The share is 52 agents; a random choice stays within half and one and a half of that.
        CHECK(agents >= 26);
        CHECK(agents <= 78);
    }
}

TEST_CASE("Only the links to lost entries move when entries are lost, and only as many as they attract when entries are added")
{
    rc::prop("any change", [](std::uint32_t name) {
        const Addresses all = makeAddresses(*rc::gen::inRange<std::size_t>(20, 100));
        Addresses some = all;
        auto lostCount = *rc::gen::inRange<std::size_t>(1, 8);
        for (std::size_t i = 0; i < lostCount; ++i)
            some.erase(some.begin());
        EntrySelection selection(std::to_string(name), size);
        Addresses before = settle(selection, all, {}, start);
        Addresses remaining;
        for (const auto& address : before) {
            if (some.contains(address))
                remaining.insert(address);
        }
        Addresses during = settle(selection, some, remaining, start + seconds(10));
        RC_ASSERT(during.size() == size);
        RC_ASSERT(countMissing(remaining, during) == 0U);
        RC_ASSERT(settle(selection, all, during, start + seconds(20)) == before);
    });
}

TEST_CASE("An entry that can't be reached is replaced after 2 s, and the agent returns to it once it is connected again")
{
    const Addresses known = makeAddresses(30);
    EntrySelection selection("agent", size);
    const Addresses before = settle(selection, known, {}, start);
    Addresses connected = before;
    const std::string lost = *connected.begin();
    connected.erase(lost);
    CHECK(selection.choose(known, connected, start + seconds(1)) == before);
    Addresses during = selection.choose(known, connected, start + seconds(3));
    CHECK(during.contains(lost));
    REQUIRE(during.size() == size + 1);
    Addresses replaced = during;
    replaced.erase(lost);
    CHECK(selection.choose(known, replaced, start + seconds(4)) == during);
    CHECK(selection.choose(known, during, start + seconds(5)) == before);
}

TEST_CASE("No more than three times the wanted number of entries is tried while none can be reached")
{
    EntrySelection selection("agent", size);
    for (int second = 0; second < 100; ++second)
        CHECK(selection.choose(makeAddresses(200), {}, start + seconds(second)).size() <= 3 * size);
}

TEST_CASE("An agent that leaves an entry reports its target as closed, runs what arrives meanwhile, and then drops the link")
{
    // Entries that hash before the fixture's one, so that the agent leaves that one once they are connected.
    RunAgentFixture agent;
    const std::string left = "10.0.0.1:1";
    Addresses listed;
    for (int i = 10; listed.size() < RunAgentCoreSettings().maxEntries_; ++i) {
        std::string address = "10.0.1." + std::to_string(i) + ":1";
        EntrySelection one("agent", 1);
        if (*settle(one, { left, address }, {}, start).begin() == address)
            listed.insert(address);
    }
    std::uint64_t next = 10;
    for (const auto& address : listed) {
        LinkId other { next };
        agent.core_.linkOpened(other, agent.now_);
        agent.core_.receive(other, Wire::EntryHello { .incarnation_ = Incarnation(next++), .name_ = address, .address_ = address }, agent.now_);
    }
    CHECK(agent.core_.selectEntries(listed, agent.now_).contains(left));
    agent.advance(milliseconds(100));
    auto isOpenFor = [&agent](LinkId to) {
        bool isOpen = false;
        for (const auto& item : agent.messages_) {
            if (const auto* report = std::get_if<Wire::TargetReport>(&item.message_); report && item.link_ == to)
                isOpen = report->isOpen_;
        }
        return isOpen;
    };
    CHECK_FALSE(isOpenFor(link));
    CHECK(isOpenFor(LinkId(10)));
    agent.startRun(1);
    REQUIRE(agent.starts_.size() == 1);
    agent.reply(0, CallAnswer::Accepted);
    auto keepAlive = [&](Duration span) {
        for (Duration passed {}; passed < span; passed += milliseconds(100)) {
            for (std::uint64_t id = 10; id < next; ++id)
                agent.core_.receive(LinkId(id), Wire::RunHeartbeat {}, agent.now_);
            agent.core_.receive(link, Wire::RunHeartbeat { .highestSeenEnd_ = agent.ends().size() }, agent.now_);
            agent.answerLease({ .running_ = agent.ends().empty() ? std::vector<RunningRow> { { { "job.0.0.1", 1 }, 10 } } : std::vector<RunningRow> {} });
            agent.advance(milliseconds(100));
        }
    };
    keepAlive(seconds(2));
    CHECK(agent.core_.selectEntries(listed, agent.now_).contains(left));
    agent.answerLease({ .ended_ = { { 1, { "job.0.0.1", 1 }, Wire::RunEnd::Done } } });
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.core_.selectEntries(listed, agent.now_).contains(left));
    keepAlive(milliseconds(200));
    CHECK_FALSE(agent.core_.selectEntries(listed, agent.now_).contains(left));
}

TEST_CASE("Heartbeats to an entry are sent each 100 ms while it has runs here, and each 200 ms otherwise")
{
    auto [hasRun, expected] = GENERATE(table<bool, int>({ { true, 20 }, { false, 10 } }));
    RunAgentFixture agent;
    if (hasRun) {
        agent.startRun(1, milliseconds(5000), 1000, milliseconds(100), { milliseconds(100'000), milliseconds(100'000) });
        agent.reply(0, CallAnswer::Accepted);
    }
    agent.advance(milliseconds(200));
    agent.messages_.clear();
    for (int step = 0; step < 100; ++step) {
        if (step % 5 == 0)
            agent.core_.receive(link, Wire::RunHeartbeat { .zonesRevision_ = agent.core_.evacuation().revision() }, agent.now_);
        agent.answerLease({ .running_ = hasRun ? std::vector<RunningRow> { { { "job.0.0.1", 1 }, 0 } } : std::vector<RunningRow> {} });
        agent.advance(milliseconds(20));
    }
    auto count = std::count_if(agent.messages_.begin(), agent.messages_.end(), [](const auto& item) { return !std::holds_alternative<Wire::RunStalled>(item.message_); });
    CHECK(count >= expected - 1);
    CHECK(count <= expected + 1);
}

TEST_CASE("A newer configuration is asked for from one peer at a time, after a delay unless there is none yet")
{
    struct Row {
        std::string name_;
        std::uint64_t installed_;
        /// Versions that heartbeats show, 100 ms apart.
        std::vector<std::uint64_t> offered_;
        /// Indices of the heartbeats whose senders are asked.
        std::vector<std::size_t> asked_;
    };
    auto row = GENERATE(values<Row>({
        { "none newer", 5, { 5, 4, 0, 5, 5, 5, 5 }, {} },
        { "a newer one", 5, { 5, 6, 6, 6, 6, 6, 6 }, { 4 } },
        { "no configuration yet", 0, { 0, 6, 6, 6, 6 }, { 1 } },
        { "no answer for 1 s", 0, { 6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6 }, { 0, 10 } },
    }));
    ConfigurationFetch fetch;
    std::vector<std::size_t> asked;
    for (std::size_t i = 0; i < row.offered_.size(); ++i) {
        if (fetch.mustAsk(row.offered_[i], row.installed_, start + milliseconds(100) * static_cast<int>(i)))
            asked.push_back(i);
    }
    INFO(row.name_);
    CHECK(asked == row.asked_);
}

TEST_CASE("An agent keeps the newest configuration and sends it only to entries that ask for it")
{
    RunAgentFixture agent;
    auto count = [&agent](auto predicate) { return std::count_if(agent.messages_.begin(), agent.messages_.end(), predicate); };
    auto isCopy = [](const auto& item) { return std::holds_alternative<Wire::ConfigurationCopy>(item.message_); };
    auto showsVersion = [](const auto& item) {
        const auto* heartbeat = std::get_if<Wire::RunHeartbeat>(&item.message_);
        return heartbeat && heartbeat->configurationVersion_ == 7;
    };
    agent.core_.receive(link, Wire::ConfigurationCopy { 7, "seven" }, agent.now_);
    agent.core_.receive(link, Wire::ConfigurationCopy { 6, "six" }, agent.now_);
    CHECK(agent.core_.configurationVersion() == 7);
    agent.core_.receive(link, Wire::RunHeartbeat { .configurationVersion_ = 6 }, agent.now_);
    agent.collect();
    CHECK(count(isCopy) == 0);
    CHECK(count(showsVersion) == 1);
    agent.core_.receive(link, Wire::ConfigurationRequest { 7 }, agent.now_);
    agent.core_.receive(link, Wire::ConfigurationRequest { 6 }, agent.now_);
    agent.collect();
    CHECK(count(isCopy) == 1);
}

} // namespace Lagoonpick
