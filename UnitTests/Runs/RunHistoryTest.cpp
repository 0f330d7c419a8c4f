#include "UnitTests/Runs/RunWorld.h"
#include "UnitTests/Support/Environment.h"

#include <catch2/catch.hpp>
#include <cstdlib>

namespace Lagoonpick {

using std::chrono::milliseconds;

namespace {

/// Plays histories with the seeds that the environment names, by default `defaultSeeds` of them.
void checkHistories(const RunFaults& faults, std::uint64_t defaultSeeds)
{
    if (const char* row = std::getenv("RUN_HISTORY_ROW"); row && row != faults.name_)
        return;
    std::uint64_t done = 0;
    std::uint64_t startsAfterWithdrawal = 0;
    const std::uint64_t first = numberFromEnvironment("RUN_HISTORY_FIRST_SEED", 1);
    const std::uint64_t end = first + numberFromEnvironment("RUN_HISTORY_SEEDS", defaultSeeds);
    for (std::uint64_t seed = first; seed < end; ++seed) {
        RunWorld world(faults, seed);
        world.run(std::chrono::seconds(30));
        INFO(faults.name_ << ", seed " << seed << ", " << world.jobsDone() << " of " << world.jobsSent() << " jobs done");
        for (const auto& text : world.violations())
            UNSCOPED_INFO(text);
        CHECK(world.violations().empty());
        done += world.jobsDone();
        startsAfterWithdrawal += world.startsAfterWithdrawal();
    }
    INFO(faults.name_);
    CHECK(done > 0);
    CHECK((startsAfterWithdrawal > 0) == (faults.zoneChange_ > 0));
}

} // namespace

TEST_CASE("No fault makes two runs of a task overlap, exceeds a target's capacity or makes an answer wrong", "[RunHistory]")
{
    auto faults = GENERATE(values<RunFaults>({
        { .name_ = "none" },
        { .name_ = "overload", .load_ = 1.6 },
        { .name_ = "agents are killed", .agentKill_ = 0.02 },
        { .name_ = "agents are killed, clocks step back", .agentKill_ = 0.02, .clockStepBack_ = 0.2 },
        { .name_ = "agents share names, are killed and cut off", .agentKill_ = 0.01, .hasNamesakes_ = true, .linkReset_ = 0.02, .linkCut_ = 0.02 },
        { .name_ = "entries are killed", .entryKill_ = 0.02 },
        { .name_ = "entries freeze", .entrySuspension_ = 0.02 },
        { .name_ = "agents freeze", .agentSuspension_ = 0.02 },
        { .name_ = "links are reset", .linkReset_ = 0.05 },
        { .name_ = "links are cut", .linkCut_ = 0.02 },
        { .name_ = "targets restart", .targetRestart_ = 0.01 },
        { .name_ = "targets restart after their clocks stepped back, and drain", .agentKill_ = 0.01, .targetRestart_ = 0.02, .targetClockStepBack_ = 0.5, .targetDrain_ = 0.01 },
        { .name_ = "targets crash as they begin a task", .crashAtStart_ = 0.2, .load_ = 0.2 },
        { .name_ = "other targets take their places", .targetReplacement_ = 0.02, .load_ = 1.2 },
        { .name_ = "other targets take their places while links and agents fail", .agentKill_ = 0.01, .linkCut_ = 0.01, .targetReplacement_ = 0.02, .targetCut_ = 0.01, .answerLoss_ = 0.02 },
        { .name_ = "targets are cut off", .targetCut_ = 0.02 },
        { .name_ = "targets drain", .agentKill_ = 0.01, .targetRestart_ = 0.01, .targetDrain_ = 0.01 },
        { .name_ = "orders are carried out late", .delayedCall_ = 0.05 },
        { .name_ = "orders are carried out late, also after a restart", .targetRestart_ = 0.02, .delayedCall_ = 0.05, .delayedCallOutlivesRestart_ = true },
        { .name_ = "answers are lost", .answerLoss_ = 0.05 },
        { .name_ = "targets fail", .targetFailure_ = 0.05 },
        { .name_ = "heartbeats of another writer", .strayHeartbeat_ = 0.05 },
        { .name_ = "heartbeats of another writer while targets restart and drain", .agentKill_ = 0.01, .targetRestart_ = 0.01, .targetCut_ = 0.01, .targetDrain_ = 0.01, .strayHeartbeat_ = 0.05 },
        { .name_ = "attachments change", .agentKill_ = 0.02, .entryHidden_ = 0.05, .maxEntries_ = 2 },
        { .name_ = "attachments change, entries are killed and freeze", .entryKill_ = 0.01, .entrySuspension_ = 0.01, .linkReset_ = 0.02, .entryHidden_ = 0.05, .maxEntries_ = 1 },
        { .name_ = "callers leave", .callerDisconnect_ = 0.4, .load_ = 1 },
        { .name_ = "everything", .agentKill_ = 0.005, .entryKill_ = 0.005, .entrySuspension_ = 0.005, .agentSuspension_ = 0.005, .linkReset_ = 0.01, .linkCut_ = 0.005, .targetRestart_ = 0.003, .targetCut_ = 0.005, .targetDrain_ = 0.002, .clockStepBack_ = 0.05, .delayedCall_ = 0.02, .answerLoss_ = 0.02, .targetFailure_ = 0.01, .callerDisconnect_ = 0.1, .load_ = 0.9 },
    }));
    checkHistories(faults, 12);
}

TEST_CASE("Nothing starts in a zone that was evacuated for some time, and a zone whose evacuation was withdrawn serves again", "[RunHistoryOfZones]")
{
    auto faults = GENERATE(values<RunFaults>({
        { .name_ = "zones are evacuated", .zoneChange_ = 0.01, .load_ = 0.9 },
        { .name_ = "zones are evacuated and withdrawn within a second", .zoneChange_ = 0.2, .zoneChangeMissed_ = 0.3, .zoneReadLate_ = 0.2 },
        { .name_ = "zones are evacuated, entries miss it and read late", .zoneChange_ = 0.01, .zoneChangeMissed_ = 0.5, .zoneReadLate_ = 0.5, .storeCut_ = 0.05 },
        { .name_ = "zones are evacuated while entries and agents are killed", .agentKill_ = 0.02, .entryKill_ = 0.02, .zoneChange_ = 0.01, .zoneChangeMissed_ = 0.3, .storeCut_ = 0.05 },
        { .name_ = "zones are evacuated while agents are cut off", .linkReset_ = 0.02, .linkCut_ = 0.01, .zoneChange_ = 0.01, .zoneChangeMissed_ = 0.3 },
        { .name_ = "zones are evacuated while ways get slow by 600 ms", .slowWay_ = 0.03, .maxLatency_ = milliseconds(600), .zoneChange_ = 0.01, .zoneChangeMissed_ = 0.3, .zoneReadLate_ = 0.2 },
        { .name_ = "zones are evacuated while targets restart and answers are lost", .targetRestart_ = 0.01, .targetCut_ = 0.01, .answerLoss_ = 0.05, .zoneChange_ = 0.01, .load_ = 1.2 },
        { .name_ = "zones are evacuated while attachments change", .entryKill_ = 0.01, .linkReset_ = 0.02, .entryHidden_ = 0.05, .maxEntries_ = 1, .zoneChange_ = 0.01, .zoneChangeMissed_ = 0.3, .storeCut_ = 0.05 },
        { .name_ = "zones are evacuated while entries and agents start anew and the store does not answer", .agentKill_ = 0.05, .entryKill_ = 0.05, .maxEntries_ = 1, .zoneChange_ = 0.01, .storeCut_ = 0.05 },
        { .name_ = "zones are evacuated while processes are starved and freeze", .entrySuspension_ = 0.005, .agentSuspension_ = 0.005, .entryStall_ = 0.1, .agentStall_ = 0.1, .zoneChange_ = 0.01, .zoneChangeMissed_ = 0.3 },
    }));
    checkHistories(faults, 12);
}

TEST_CASE("Messages that are handled late, and processes that get little processor time, make no two runs of a task overlap", "[RunHistoryOfLateMessages]")
{
    auto faults = GENERATE(values<RunFaults>({
        { .name_ = "ways get slow by 300 ms", .slowWay_ = 0.03, .maxLatency_ = milliseconds(300) },
        { .name_ = "ways get slow by 600 ms", .slowWay_ = 0.03, .maxLatency_ = milliseconds(600) },
        { .name_ = "ways get slow by 2 s", .slowWay_ = 0.03, .maxLatency_ = milliseconds(2000) },
        { .name_ = "ways get slow by 600 ms while links are reset and cut", .linkReset_ = 0.02, .linkCut_ = 0.02, .slowWay_ = 0.03, .maxLatency_ = milliseconds(600) },
        { .name_ = "the way up is lost while the way down gets slow by 300 ms", .maxLatency_ = milliseconds(300), .lostWayUp_ = 0.01 },
        { .name_ = "the way up is lost while the way down gets slow by 600 ms", .maxLatency_ = milliseconds(600), .lostWayUp_ = 0.01 },
        { .name_ = "the way up is lost while the way down gets slow by 2 s", .maxLatency_ = milliseconds(2000), .lostWayUp_ = 0.01 },
        { .name_ = "entries are killed while what they sent is on its way", .entryKill_ = 0.02, .slowWay_ = 0.03, .maxLatency_ = milliseconds(2000) },
        { .name_ = "callers leave while what entries sent is on its way", .slowWay_ = 0.03, .maxLatency_ = milliseconds(2000), .callerDisconnect_ = 0.4 },
        { .name_ = "agents are starved", .agentStall_ = 0.3 },
        { .name_ = "agents are starved while links are reset and cut", .linkReset_ = 0.05, .linkCut_ = 0.05, .agentStall_ = 0.3 },
        { .name_ = "agents are starved while entries are killed", .entryKill_ = 0.02, .agentStall_ = 0.3 },
        { .name_ = "entries are starved", .entryStall_ = 0.3 },
        { .name_ = "entries are starved while ways get slow by 600 ms", .slowWay_ = 0.03, .maxLatency_ = milliseconds(600), .entryStall_ = 0.3 },
        { .name_ = "agents and entries are starved while links are reset", .linkReset_ = 0.05, .entryStall_ = 0.3, .agentStall_ = 0.3 },
        { .name_ = "agents are starved while targets restart", .agentStall_ = 0.3, .targetRestart_ = 0.02 },
        { .name_ = "agents are starved while targets restart and are cut off", .agentStall_ = 0.3, .targetRestart_ = 0.05, .targetCut_ = 0.05 },
        { .name_ = "agents are starved while targets restart and are cut off, links are cut and answers are lost", .linkCut_ = 0.03, .agentStall_ = 0.3, .targetRestart_ = 0.02, .targetCut_ = 0.02, .answerLoss_ = 0.02 },
        { .name_ = "machines are replaced under their agents' names", .machineReplacement_ = 0.005 },
        { .name_ = "machines are replaced under their agents' names while ways get slow", .slowWay_ = 0.03, .maxLatency_ = milliseconds(600), .machineReplacement_ = 0.005 },
        { .name_ = "stops of long tasks are lost while links are reset and cut", .linkReset_ = 0.03, .linkCut_ = 0.03, .stopLoss_ = 0.05, .longestTask_ = milliseconds(4000), .load_ = 0.12 },
        { .name_ = "stops of long tasks are lost while callers leave", .stopLoss_ = 0.05, .callerDisconnect_ = 0.4, .longestTask_ = milliseconds(4000), .load_ = 0.12 },
        { .name_ = "callers of long tasks leave while entries are starved and ways get slow by 600 ms", .slowWay_ = 0.05, .maxLatency_ = milliseconds(600), .entryStall_ = 0.3, .callerDisconnect_ = 0.4, .longestTask_ = milliseconds(4000), .load_ = 0.12 },
        { .name_ = "callers of long tasks leave while entries are starved, the way up is lost and the way down gets slow by 2 s", .maxLatency_ = milliseconds(2000), .lostWayUp_ = 0.02, .entryStall_ = 0.3, .callerDisconnect_ = 0.4, .longestTask_ = milliseconds(4000), .load_ = 0.12 },
        { .name_ = "callers of long tasks leave while entries and agents are starved and links are cut", .linkCut_ = 0.05, .entryStall_ = 0.3, .agentStall_ = 0.3, .callerDisconnect_ = 0.4, .longestTask_ = milliseconds(4000), .load_ = 0.12 },
        { .name_ = "everything late, long tasks", .agentKill_ = 0.005, .entryKill_ = 0.005, .linkReset_ = 0.02, .linkCut_ = 0.01, .slowWay_ = 0.02, .maxLatency_ = milliseconds(2000), .lostWayUp_ = 0.005, .entryStall_ = 0.1, .agentStall_ = 0.1, .targetRestart_ = 0.003, .targetCut_ = 0.005, .delayedCall_ = 0.02, .answerLoss_ = 0.02, .callerDisconnect_ = 0.1, .longestTask_ = milliseconds(4000), .load_ = 0.2 },
        { .name_ = "everything late", .agentKill_ = 0.005, .entryKill_ = 0.005, .linkReset_ = 0.02, .linkCut_ = 0.01, .slowWay_ = 0.02, .maxLatency_ = milliseconds(2000), .lostWayUp_ = 0.005, .entryStall_ = 0.1, .agentStall_ = 0.1, .targetRestart_ = 0.003, .targetCut_ = 0.005, .delayedCall_ = 0.02, .answerLoss_ = 0.02, .callerDisconnect_ = 0.1, .load_ = 0.9 },
    }));
    checkHistories(faults, 12);
}

} // namespace Lagoonpick
