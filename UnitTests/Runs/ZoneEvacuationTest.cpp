#include "UnitTests/Runs/JobEntryFixture.h"
#include "UnitTests/Runs/RunAgentFixture.h"

#include <catch2/catch.hpp>

namespace Lagoonpick {

using std::chrono::milliseconds;
using Wire::EvacuatedZones;
using Wire::NotStartedReason;

namespace {

/// The zone of the agent of `RunAgentFixture`.
const std::vector<std::string> ownZone { "zone" };

/// An entry with an agent in each of the zones z0 and z1, on the links 11 and 12.
struct TwoZonesFixture : JobEntryFixture {
    TwoZonesFixture()
        : JobEntryFixture(0)
    {
        attachIn("z0", 11);
        attachIn("z1", 12);
        collect();
    }

    void attachIn(const std::string& zone, std::uint64_t on)
    {
        greet(on, { .incarnation_ = Incarnation(on), .name_ = "agent-" + zone, .availabilityZone_ = zone });
        core_.receive(LinkId(on), openReport(), now_);
    }

    /// Returns the sets that were sent since the last collection, with their links.
    std::vector<std::pair<LinkId, EvacuatedZones>> takeZones()
    {
        std::vector<std::pair<LinkId, EvacuatedZones>> sets;
        for (const auto& item : core_.takeEffects().messages_) {
            if (const auto* zones = std::get_if<EvacuatedZones>(&item.message_))
                sets.emplace_back(item.link_, *zones);
        }
        return sets;
    }
};

template <typename Message>
std::vector<Message> messagesOf(const RunAgentFixture& agent)
{
    std::vector<Message> found;
    for (const auto& item : agent.messages_) {
        if (const auto* message = std::get_if<Message>(&item.message_))
            found.push_back(*message);
    }
    return found;
}

} // namespace

// Guards against: a read or a message that arrived late undid a newer evacuation, or kept a zone closed after its withdrawal.
TEST_CASE("A set of zones replaces one of a lower revision only, in whatever order they arrive")
{
    Time now { std::chrono::hours(1) };
    EvacuationState state;
    CHECK_FALSE(state.isKnown());
    CHECK_FALSE(state.permitsStarts("a"));
    CHECK(state.merge({ 10, {} }, now));
    CHECK(state.permitsStarts("a"));
    CHECK(state.recordRead({ 12, { "a", "c" } }, now));
    CHECK_FALSE(state.permitsStarts("a"));
    CHECK(state.permitsStarts("b"));
    CHECK_FALSE(state.merge({ 11, { "b" } }, now));
    CHECK_FALSE(state.merge({ 12, {} }, now));
    CHECK_FALSE(state.recordRead({ 11, {} }, now));
    CHECK(state.set() == EvacuatedZones { 12, { "a", "c" } });
    CHECK(state.merge({ 13, {} }, now));
    CHECK(state.permitsStarts("a"));
}

// Guards against: each read of the store raised the revision that is passed on, so that every write to the store crossed every link.
TEST_CASE("A read of the same zones is not passed on, until a peer has an older set under a higher revision")
{
    Time now { std::chrono::hours(1) };
    EvacuationState state;
    CHECK(state.recordRead({ 10, {} }, now));
    CHECK_FALSE(state.recordRead({ 20, {} }, now));
    CHECK(state.revision() == 10);
    SECTION("other names, evacuated and withdrawn meanwhile")
    {
        CHECK_FALSE(state.merge({ 15, { "a" } }, now));
        CHECK(state.set() == EvacuatedZones { 20, {} });
    }
    SECTION("the same names")
    {
        CHECK_FALSE(state.merge({ 15, {} }, now));
        CHECK(state.set() == EvacuatedZones { 15, {} });
    }
    SECTION("other names at a later revision")
    {
        CHECK(state.merge({ 21, { "a" } }, now));
        CHECK(state.set() == EvacuatedZones { 21, { "a" } });
    }
}

// Guards against: tasks that waited at the agent, or were in transit to it, started in an evacuated zone.
TEST_CASE("An agent in an evacuated zone returns what waits, starts nothing and lets running tasks end")
{
    RunAgentFixture agent;
    agent.startRun(1, milliseconds(100), 1500);
    agent.reply(0, CallAnswer::Accepted);
    agent.startRun(2, milliseconds(1000), 2000);
    REQUIRE(agent.starts_.size() == 1);
    agent.sendZones(link, 2, ownZone);
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].run_ == 2);
    CHECK(agent.ends()[0].end_ == Wire::RunEnd::NotStarted);
    CHECK(agent.ends()[0].reason_ == NotStartedReason::ZoneEvacuated);
    agent.startRun(3, milliseconds(1000), 100);
    REQUIRE(agent.ends().size() == 2);
    CHECK(agent.ends()[1].reason_ == NotStartedReason::ZoneEvacuated);
    CHECK(agent.stops_.empty());
    CHECK(agent.core_.runCount() == 1);
    agent.advance(milliseconds(50));
    CHECK_FALSE(messagesOf<Wire::TargetReport>(agent).back().isOpen_);
    CHECK(agent.starts_.size() == 1);

    agent.sendZones(link, 3, {});
    agent.advance(milliseconds(50));
    CHECK(messagesOf<Wire::TargetReport>(agent).back().isOpen_);
    agent.startRun(4, milliseconds(1000), 100);
    CHECK(agent.starts_.size() == 2);
}

// Guards against: a start that the target rejected for lack of room before the evacuation was repeated after it.
TEST_CASE("A start that comes back from the target during an evacuation is not sent again")
{
    auto answer = GENERATE(CallAnswer::NoRoom, CallAnswer::Late, CallAnswer::Fenced);
    RunAgentFixture agent;
    agent.startRun(1, milliseconds(1000));
    REQUIRE(agent.starts_.size() == 1);
    agent.sendZones(link, 2, ownZone);
    CHECK(agent.ends().empty());
    agent.reply(0, answer);
    agent.advance(milliseconds(50));
    CHECK(agent.starts_.size() == 1);
    REQUIRE(agent.ends().size() == 1);
    CHECK(agent.ends()[0].reason_ == NotStartedReason::ZoneEvacuated);
}

// Guards against: an agent that had restarted started tasks before it knew whether its zone is evacuated.
TEST_CASE("An agent that knows no set of zones is closed")
{
    RunAgentCore core(RunAgentCoreSettings { .name_ = "agent", .availabilityZone_ = "zone", .incarnation_ = Incarnation(7) });
    CHECK_FALSE(core.isZoneOpen());
    Time now { std::chrono::hours(1) };
    core.linkOpened(link, now);
    core.receive(link, Wire::EntryHello { .incarnation_ = Incarnation(1), .name_ = "entry", .address_ = "10.0.0.1:1" }, now);
    CHECK_FALSE(core.isZoneOpen());
    core.receive(link, EvacuatedZones { 4, { "another" } }, now);
    CHECK(core.isZoneOpen());
}

// Guards against: an agent whose reports replace its heartbeats never showed that its set was old, or kept a newer one to itself.
TEST_CASE("An agent sends its set to an entry with an older one, and shows its revision to one with a newer")
{
    RunAgentFixture agent;
    agent.sendZones(link, 5, { "another" });
    agent.messages_.clear();
    auto [revision, sets, heartbeats] = GENERATE(table<std::uint64_t, std::size_t, std::size_t>({ { 4, 1, 0 }, { 5, 0, 0 }, { 6, 0, 1 } }));
    agent.core_.receive(link, Wire::RunHeartbeat { .agentTime_ = agent.agentTime(), .zonesRevision_ = revision }, agent.now_);
    agent.collect();
    CHECK(messagesOf<EvacuatedZones>(agent).size() == sets);
    auto shown = messagesOf<Wire::RunHeartbeat>(agent);
    REQUIRE(shown.size() == heartbeats);
    CHECK((shown.empty() || shown[0].zonesRevision_ == 5));
}

// Guards against: tasks were sent in vain to targets of an evacuated zone, whose reports said open for some time yet.
TEST_CASE("An entry places nothing in an evacuated zone, and again once the evacuation is withdrawn")
{
    TwoZonesFixture entry;
    entry.core_.setEvacuatedZones({ 2, { "z0" } }, entry.now_);
    for (std::uint64_t job = 1; job <= 6; ++job)
        entry.submit(makeRequest("job" + std::to_string(job)), job);
    REQUIRE(entry.starts_.size() == 6);
    for (const auto& [on, start] : entry.starts_)
        CHECK(on == LinkId(12));
    entry.core_.setEvacuatedZones({ 3, {} }, entry.now_);
    for (std::uint64_t job = 11; job <= 16; ++job)
        entry.submit(makeRequest("job" + std::to_string(job)), job);
    CHECK(std::any_of(entry.starts_.begin() + 6, entry.starts_.end(), [](const auto& start) { return start.first == LinkId(11); }));
}

// Guards against: room in evacuated zones counted, so that jobs were accepted that the other zones could not serve in time.
TEST_CASE("A job that only the evacuated zone could serve in time is rejected")
{
    TwoZonesFixture entry;
    entry.core_.receive(LinkId(12), fullReport(5'000'000), entry.now_);
    auto [zones, isRejected, reason] = GENERATE(table<std::vector<std::string>, bool, JobFailureReason>({
        { {}, false, JobFailureReason::None },
        { { "nobody's" }, false, JobFailureReason::None },
        { { "z0" }, true, JobFailureReason::Overloaded },
        { { "z0", "z1" }, true, JobFailureReason::NoTargets },
    }));
    entry.core_.setEvacuatedZones({ 2, zones }, entry.now_);
    entry.submit(makeRequest("job"));
    CHECK(entry.starts_.empty() == isRejected);
    REQUIRE(entry.answers_.size() == (isRejected ? 1 : 0));
    if (!isRejected)
        return;
    CHECK(entry.answers_[0].jobOutcome_ == JobOutcome::Rejected);
    CHECK(entry.answers_[0].failureReason_ == reason);
    CHECK(entry.answers_[0].retryAfter_ > Duration());
    CHECK_THAT(entry.lastLine("job_rejected"), Catch::Matchers::Contains("\"zones_revision\":2"));
}

// Guards against: a task that was returned unsent used up one of its starts, or its job counted as begun and was answered as given up.
TEST_CASE("A task that an evacuated zone returned was never sent")
{
    TwoZonesFixture entry;
    entry.submit(makeRequest("job"));
    REQUIRE(entry.starts_.size() == 1);
    bool isIn0 = entry.starts_[0].first == LinkId(11);
    entry.core_.setEvacuatedZones({ 2, { isIn0 ? "z0" : "z1" } }, entry.now_);
    entry.end(0, Wire::RunEnd::NotStarted, NotStartedReason::ZoneEvacuated);
    REQUIRE(entry.starts_.size() == 2);
    CHECK(entry.starts_[1].first == LinkId(isIn0 ? 12 : 11));
    CHECK(entry.starts_[1].second.number_ == entry.starts_[0].second.number_);
    entry.core_.setEvacuatedZones({ 3, { "z0", "z1" } }, entry.now_);
    entry.end(1, Wire::RunEnd::NotStarted, NotStartedReason::ZoneEvacuated);
    for (int step = 0; step < 120 && entry.answers_.empty(); ++step) {
        entry.now_ += milliseconds(20);
        entry.core_.tick(entry.now_);
        entry.collect();
    }
    REQUIRE(entry.answers_.size() == 1);
    CHECK(entry.answers_[0].jobOutcome_ == JobOutcome::Rejected);
}

// Guards against: agents learned of an evacuation only by chance, or a restarted entry took jobs before it knew the evacuated zones.
TEST_CASE("An entry sends its set after its hello, at each change and to agents with an older one")
{
    TwoZonesFixture entry;
    entry.core_.setEvacuatedZones({ 5, { "z0" } }, entry.now_);
    CHECK(entry.takeZones() == std::vector<std::pair<LinkId, EvacuatedZones>> { { LinkId(11), { 5, { "z0" } } }, { LinkId(12), { 5, { "z0" } } } });
    entry.core_.setEvacuatedZones({ 6, { "z0" } }, entry.now_);
    CHECK(entry.takeZones().empty());
    entry.core_.linkOpened(LinkId(13), entry.now_);
    CHECK(entry.takeZones() == std::vector<std::pair<LinkId, EvacuatedZones>> { { LinkId(13), { 5, { "z0" } } } });
    entry.core_.receive(LinkId(11), Wire::RunHeartbeat { .agentTime_ = entry.agentTime(), .zonesRevision_ = 4 }, entry.now_);
    CHECK(entry.takeZones() == std::vector<std::pair<LinkId, EvacuatedZones>> { { LinkId(11), { 5, { "z0" } } } });
    entry.core_.receive(LinkId(11), Wire::RunHeartbeat { .agentTime_ = entry.agentTime(), .zonesRevision_ = 5 }, entry.now_);
    CHECK(entry.takeZones().empty());
    // From another entry, which is no agent.
    entry.core_.receive(LinkId(13), EvacuatedZones { 9, { "z1" } }, entry.now_);
    CHECK(entry.takeZones().size() == 2);
    CHECK(entry.core_.evacuation().set() == EvacuatedZones { 9, { "z1" } });
}

TEST_CASE("An entry is ready only once it knows the evacuated zones")
{
    JobEntryCore core(JobEntryCoreSettings { .name_ = "entry", .incarnation_ = Incarnation(1), .linkAddress_ = "10.0.0.1:1" }, 1);
    Time now { std::chrono::hours(1) };
    core.setQueues(JobEntryFixture::makeQueues(1), "text");
    core.linkOpened(link, now);
    core.receive(link, Wire::AgentHello { .incarnation_ = Incarnation(7), .name_ = "agent", .availabilityZone_ = "z0" }, now);
    core.receive(link, openReport(), now);
    CHECK_FALSE(core.isReady());
    core.receive(link, EvacuatedZones { 3, {} }, now);
    CHECK(core.isReady());
    core.receive(link, EvacuatedZones { 4, { "z0" } }, now);
    CHECK_FALSE(core.isReady());
}

} // namespace Lagoonpick
