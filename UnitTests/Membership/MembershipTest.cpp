#include "Lagoonpick/Membership/FenceTable.h"
#include "Lagoonpick/Membership/MembershipManager.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck/catch.h>

using namespace Lagoonpick;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t startMilliseconds = 1'800'000'000'000;

Time begin()
{
    return fromUnixMilliseconds(startMilliseconds);
}

Member member(std::uint64_t number)
{
    return { Incarnation(number), "entry-" + std::to_string(number), "zone", "127.0.0.1:" + std::to_string(number) };
}

EntrySettings settingsOf(std::uint64_t number)
{
    EntrySettings settings;
    settings.name_ = member(number).name_;
    settings.availabilityZone_ = "zone";
    settings.peerAddress_ = member(number).peerAddress_;
    settings.leaseTtl_ = seconds(6);
    settings.horizon_ = seconds(20);
    return settings;
}

SubmissionId callerId(Time createdAt, std::uint64_t number)
{
    return SubmissionId::makeCallerId(createdAt, number, number * 7919);
}

PlatformView viewOf(const Membership& membership, std::initializer_list<std::uint64_t> alive)
{
    PlatformView view;
    view.revision_ = 5;
    view.membershipRevision_ = 5;
    view.membership_ = membership;
    for (auto number : alive)
        view.liveEntries_.insert(Incarnation(number));
    return view;
}

Membership tableOf(std::initializer_list<std::uint64_t> members, Time horizon)
{
    Membership table;
    table.epochs_.push_back({ Time(), {} });
    for (auto number : members)
        table.epochs_[0].members_.push_back(member(number));
    table.horizon_ = horizon;
    return table;
}

Membership writtenTable(const std::optional<CompareAndSwap>& swap)
{
    REQUIRE(swap);
    auto table = readMembership(swap->value_);
    REQUIRE(table);
    return table.value();
}

} // namespace

TEST_CASE("An encoded table decodes to the same table", "[Membership]")
{
    Membership table = tableOf({ 1, 2 }, begin());
    table.epochs_.push_back({ begin(), { member(3) } });
    table.fenced_.push_back({ Incarnation(9), begin() });
    auto read = readMembership(writeMembership(table));
    REQUIRE(read);
    CHECK(read.value() == table);
}

TEST_CASE("Ids have their home among the members of their epoch, and callers' ids past the horizon have none", "[Membership]")
{
    Membership table = tableOf({ 1 }, begin() + seconds(20));
    table.epochs_.push_back({ begin() + seconds(10), { member(2) } });
    struct Row {
        Duration offset_;
        std::optional<Incarnation> home_;
    };
    auto row = GENERATE(values<Row>({
        { seconds(-100), Incarnation(1) },
        { milliseconds(9999), Incarnation(1) },
        { seconds(10), Incarnation(2) },
        { milliseconds(19'999), Incarnation(2) },
        { seconds(20), std::nullopt },
    }));
    CHECK(table.homeOf(callerId(begin() + row.offset_, 1)) == row.home_);
    CHECK(table.homeOf(SubmissionId::issue(Incarnation(77), begin() + seconds(100), 1)) == Incarnation(77));
}

TEST_CASE("The homes of ids before the horizon never change, whichever entry writes the table", "[Membership]")
{
    rc::prop("immutable prefix", [](const std::vector<std::uint8_t>& steps) {
        PlatformView view;
        view.revision_ = 1;
        Time now = begin();
        std::map<std::uint64_t, std::unique_ptr<MembershipManager>> managers;
        std::map<std::uint64_t, Incarnation> homes;
        std::uint64_t nextId = 0;
        std::map<std::uint64_t, SubmissionId> ids;
        for (auto step : steps) {
            now += milliseconds(100 * (step % 50));
            std::uint64_t number = 1 + step % 4;
            Incarnation entry(number);
            if (step % 7 == 3)
                view.liveEntries_.erase(entry);
            else
                view.liveEntries_.insert(entry);
            auto& manager = managers[number];
            if (!manager)
                manager = std::make_unique<MembershipManager>(settingsOf(number), entry);
            ++view.revision_;
            if (auto swap = manager->decide(now, view, true)) {
                if (swap->expectedRevision_ == view.membershipRevision_) {
                    view.membership_ = readMembership(swap->value_).value();
                    view.membershipRevision_ = ++view.revision_;
                }
                manager->writeEnded(now, step % 5 ? WriteOutcome::Written : WriteOutcome::Unknown);
            }
            ids.emplace(nextId, callerId(now + milliseconds(step * 100), nextId));
            ++nextId;
            for (const auto& [idNumber, id] : ids) {
                auto home = view.membership_.homeOf(id);
                bool isForgotten = id.createdAt() + std::chrono::minutes(10) < now;
                if (!home || isForgotten)
                    continue;
                auto [known, isNew] = homes.emplace(idNumber, *home);
                RC_ASSERT(known->second == *home);
            }
        }
    });
}

TEST_CASE("Homes are spread evenly over the members", "[Membership]")
{
    Membership table = tableOf({ 11, 12, 13 }, begin() + seconds(20));
    std::map<Incarnation, int> counts;
    for (std::uint64_t i = 0; i < 3000; ++i)
        ++counts[*table.homeOf(callerId(begin(), i))];
    for (const auto& [home, count] : counts)
        CHECK(count == Approx(1000).margin(150));
}

TEST_CASE("The first entry creates the table, and a later one joins at the horizon", "[Membership]")
{
    MembershipManager first(settingsOf(1), Incarnation(1));
    PlatformView empty;
    empty.revision_ = 1;
    CHECK_FALSE(first.decide(begin(), empty, true));
    empty.liveEntries_.insert(Incarnation(1));
    Membership table = writtenTable(first.decide(begin(), empty, true));
    CHECK(table.epochs_ == std::vector<Epoch> { { Time(), { member(1) } } });
    CHECK(table.horizon_ == begin() + seconds(20));

    MembershipManager second(settingsOf(2), Incarnation(2));
    Membership joined = writtenTable(second.decide(begin() + seconds(1), viewOf(table, { 1, 2 }), true));
    REQUIRE(joined.epochs_.size() == 2);
    CHECK(joined.epochs_[1].from_ == table.horizon_);
    CHECK(joined.epochs_[1].members_ == std::vector<Member> { member(1), member(2) });
}

TEST_CASE("An entry is fenced only after its lease was missing from fresh views for a whole TTL", "[Membership]")
{
    struct Row {
        const char* description_;
        bool isFreshBetween_;
        Duration missingFor_;
        bool isFenced_;
    };
    auto row = GENERATE(values<Row>({
        { "missing for less than the TTL", true, milliseconds(5900), false },
        { "missing for the TTL", true, seconds(6), true },
        { "the view was stale in between", false, seconds(6), false },
    }));
    CAPTURE(row.description_);
    MembershipManager manager(settingsOf(1), Incarnation(1));
    auto view = viewOf(tableOf({ 1, 2 }, begin() + seconds(20)), { 1 });
    CHECK_FALSE(manager.decide(begin(), view, true));
    (void)manager.decide(begin() + seconds(3), view, row.isFreshBetween_);
    auto swap = manager.decide(begin() + row.missingFor_, view, true);
    CHECK(swap.has_value() == row.isFenced_);
    if (!swap)
        return;
    Membership table = writtenTable(swap);
    CHECK(table.isFenced(Incarnation(2)));
    CHECK(table.currentMembers() == std::vector<Member> { member(1) });
    CHECK(table.epochs_.back().from_ == begin() + seconds(20));
}

TEST_CASE("A write with unknown outcome is decided again after the backoff, and no write while one is in progress", "[Membership]")
{
    MembershipManager manager(settingsOf(1), Incarnation(1));
    auto view = viewOf(tableOf({ 1 }, begin()), { 1 });
    REQUIRE(manager.decide(begin(), view, true));
    CHECK_FALSE(manager.decide(begin() + seconds(1), view, true));
    manager.writeEnded(begin() + seconds(1), WriteOutcome::Unknown);
    CHECK_FALSE(manager.decide(begin() + milliseconds(1100), view, true));
    auto again = manager.decide(begin() + seconds(2), view, true);
    REQUIRE(again);
    CHECK(again->expectedRevision_ == view.membershipRevision_);
    // The write with unknown outcome took effect after all, so no other write is due.
    manager.writeEnded(begin() + seconds(2), WriteOutcome::Conflict);
    view.membership_ = writtenTable(again);
    view.revision_ = ++view.membershipRevision_;
    CHECK_FALSE(manager.decide(begin() + seconds(2), view, true));
}

TEST_CASE("The state of a fence follows from its acknowledgements and the lost ledgers", "[Membership]")
{
    struct Row {
        const char* description_;
        bool isFenced_;
        std::vector<std::uint64_t> acknowledgedBy_;
        Duration ledgerLostAt_;
        FenceState state_;
    };
    // The submission's id was created at `begin()`; agents 21 and 22 are beside the targets.
    auto row = GENERATE(values<Row>({
        { "the entry is not fenced", false, { 21, 22 }, seconds(-100), FenceState::NotFenced },
        { "no agent has acknowledged", true, {}, seconds(-100), FenceState::Pending },
        { "one agent has not acknowledged", true, { 21 }, seconds(-100), FenceState::Pending },
        { "an earlier agent of the second target has acknowledged", true, { 21, 20 }, seconds(-100), FenceState::Pending },
        { "all agents have acknowledged and no ledger was lost", true, { 21, 22 }, seconds(-100), FenceState::Certain },
        { "a ledger was lost after the id was created", true, { 21, 22 }, seconds(1), FenceState::LedgerLost },
        { "a ledger was lost within the margin", true, { 21, 22 }, seconds(-6), FenceState::LedgerLost },
    }));
    CAPTURE(row.description_);
    PlatformView view;
    if (row.isFenced_)
        view.membership_.fenced_.push_back({ Incarnation(9), begin() });
    view.targets_["first"] = { .target_ = "first", .service_ = {}, .availabilityZone_ = {}, .address_ = {}, .agent_ = Incarnation(21), .registeredAt_ = {}, .ledgerLostAt_ = begin() + row.ledgerLostAt_ };
    view.targets_["second"] = { .target_ = "second", .service_ = {}, .availabilityZone_ = {}, .address_ = {}, .agent_ = Incarnation(22), .registeredAt_ = {}, .ledgerLostAt_ = {} };
    FenceTable fences;
    for (auto agent : row.acknowledgedBy_)
        fences.acknowledge(Incarnation(9), agent == 21 ? "first" : "second", Incarnation(agent));
    CHECK(fences.state(view, Incarnation(9), begin(), seconds(7)) == row.state_);
}

// Guards against: another writer's odd entry among those of the targets ended the entries that read the list, or they
// followed it no longer.
TEST_CASE("An odd registration of a target is rejected, and the others are followed", "[Membership]")
{
    const std::string sound = writeRegistration({ .target_ = "t", .service_ = "s", .availabilityZone_ = "a", .address_ = "10.0.0.1:1", .agent_ = Incarnation(7), .registeredAt_ = begin(), .ledgerLostAt_ = begin() });
    REQUIRE(readRegistration(sound).has_value());
    auto [from, to] = GENERATE(table<std::string, std::string>({
        { "10.0.0.1:1", "10.0.0.1:99999" },
        { "10.0.0.1:1", "10.0.0.1:0" },
        { "10.0.0.1:1", "elsewhere:80" },
        { "10.0.0.1:1", "" },
        { "\"registered_at_ms\":1800000000000", "\"registered_at_ms\":9223372036854775807" },
        { "\"registered_at_ms\":1800000000000", "\"registered_at_ms\":1e400" },
        { "\"registered_at_ms\":1800000000000", "\"registered_at_ms\":-1" },
        { "\"target\":\"t\"", "\"target\":" + std::string(100'000, '[') },
        { "\"target\":\"t\"", "\"target\":7" },
    }));
    std::string odd = sound;
    REQUIRE(odd.find(from) != std::string::npos);
    odd.replace(odd.find(from), from.size(), to);
    INFO(odd.substr(0, 200));
    PlatformView view;
    CHECK_FALSE(view.apply(std::string(PlatformKeys::targets) + "odd", odd, 1).has_value());
    CHECK(view.apply(std::string(PlatformKeys::targets) + "t", sound, 2).has_value());
    CHECK(view.targets_.size() == 1);
}
