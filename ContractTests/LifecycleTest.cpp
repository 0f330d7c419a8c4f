#include "ContractTests/Support/Caller.h"
#include "ContractTests/Support/Deployment.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <fmt/format.h>
#include <future>
#include <thread>

using namespace Lagoonpick::Contract;

namespace {

constexpr int exitCodeFenced = 75;
constexpr int timeoutSeconds = 30;

void pauseFor(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

std::string jobPath(const std::string& id)
{
    return "/v1/jobs/" + id;
}

std::future<CallerAnswer> putAsync(const std::string& address, const std::string& id, const std::string& body)
{
    return std::async(std::launch::async, [=] { return call(address, "PUT", jobPath(id), body, timeoutSeconds); });
}

std::size_t countStarts(const Deployment& system, const std::string& prefix)
{
    auto starts = system.starts();
    return std::count_if(starts.begin(), starts.end(), [&](const std::string& key) { return key.starts_with(prefix); });
}

/// Polls until the response is final (status 200 or 410), at most 150 times; returns the last response.
CallerAnswer fetchFinalAnswer(const std::string& address, const std::string& id)
{
    CallerAnswer answer;
    for (int i = 0; i < timeoutSeconds * 5; ++i) {
        answer = call(address, "GET", jobPath(id) + "?wait_ms=2000");
        if (answer.status_ == 200 || answer.status_ == 410)
            return answer;
        // Until the submission is settled, a response may only report it as unknown or running.
        CHECK((answer.member("submission_run") == "unknown" || answer.member("submission_run") == "running"));
        pauseFor(200);
    }
    return answer;
}

} // namespace

TEST_CASE("On SIGTERM an entry finishes its jobs and refuses new ones, which do not run", "[Lifecycle]")
{
    Deployment system({ .entries_ = 2, .agents_ = 2, .extraEntrySettings_ = {}, .extraAgentSettings_ = {} });
    REQUIRE(system.waitUntilConnected());
    auto id = takeId(system.callerAddress(0));
    auto lateId = takeId(system.callerAddress(0));
    auto answer = putAsync(system.callerAddress(0), id, jobBody(6, 700'000));
    pauseFor(200);
    system.entry(0).sendSignal(SIGTERM);
    pauseFor(100);
    auto refused = call(system.callerAddress(0), "PUT", jobPath(lateId), jobBody(1, 0));
    CHECK(refused.status_ == 503);
    CHECK(refused.member("title") == "shutting-down");
    CHECK(refused.member("submission_run") == "no");
    auto finalAnswer = answer.get();
    CHECK(finalAnswer.status_ == 200);
    CHECK(finalAnswer.member("outcome") == "complete");
    CHECK(system.entry(0).waitForExit(timeoutSeconds) == 0);
    // The answer is still available after the entry's exit: the agents' ledgers hold it.
    auto again = fetchFinalAnswer(system.callerAddress(1), id);
    CHECK(again.status_ == 200);
    CHECK(again.body_ == finalAnswer.body_);
    auto lateAnswer = fetchFinalAnswer(system.callerAddress(1), lateId);
    CHECK(lateAnswer.member("submission_run") == "no");
    CHECK(countStarts(system, lateId) == 0);
    CHECK(countStarts(system, id) == 6);
}

TEST_CASE("On SIGTERM an agent finishes its tasks and exits, and jobs complete on the other agent", "[Lifecycle]")
{
    Deployment system({ .entries_ = 1, .agents_ = 2, .extraEntrySettings_ = {}, .extraAgentSettings_ = {} });
    REQUIRE(system.waitUntilConnected());
    auto id = takeId(system.callerAddress(0));
    // More tasks than both agents have slots (8), so that tasks are queued at the agents as well.
    auto answer = putAsync(system.callerAddress(0), id, jobBody(24, 400'000));
    pauseFor(200);
    system.agent(0).sendSignal(SIGTERM);
    auto state = call(system.callerAddress(0), "GET", "/debug/state");
    CHECK(system.agent(0).waitForExit(timeoutSeconds) == 0);
    auto finalAnswer = answer.get();
    CHECK(finalAnswer.status_ == 200);
    CHECK(finalAnswer.member("outcome") == "complete");
    CHECK(countStarts(system, id) == 24);
    auto next = call(system.callerAddress(0), "PUT", jobPath(takeId(system.callerAddress(0))), jobBody(8, 1000));
    CHECK(next.member("outcome") == "complete");
}

TEST_CASE("After an entry is killed, its submissions are settled from the agents' ledgers", "[Lifecycle]")
{
    Deployment system({ .entries_ = 2, .agents_ = 2, .extraEntrySettings_ = {}, .extraAgentSettings_ = {} });
    REQUIRE(system.waitUntilConnected());
    auto running = takeId(system.callerAddress(0));
    auto unused = takeId(system.callerAddress(0));
    auto lostAnswer = putAsync(system.callerAddress(0), running, jobBody(3, 600'000));
    pauseFor(200);
    system.entry(0).kill();
    CHECK(lostAnswer.get().status_ == 0);
    auto settled = fetchFinalAnswer(system.callerAddress(1), running);
    CHECK(settled.status_ == 200);
    CHECK(settled.member("outcome") == "complete");
    auto unstartedAnswer = fetchFinalAnswer(system.callerAddress(1), unused);
    CHECK(unstartedAnswer.status_ == 410);
    CHECK(unstartedAnswer.member("title") == "never-started");
    CHECK(unstartedAnswer.member("submission_run") == "no");
    auto tooLate = call(system.callerAddress(1), "PUT", jobPath(unused), jobBody(1, 0));
    CHECK(tooLate.member("submission_run") == "no");
    CHECK(countStarts(system, running) == 3);
    CHECK(countStarts(system, unused) == 0);
}

TEST_CASE("During a platform outage no entry is fenced, new jobs complete, and a killed entry's submissions stay unknown", "[Lifecycle]")
{
    Deployment system({ .entries_ = 2, .agents_ = 2, .extraEntrySettings_ = {}, .extraAgentSettings_ = {} });
    REQUIRE(system.waitUntilConnected());
    auto orphan = takeId(system.callerAddress(0));
    auto lostAnswer = putAsync(system.callerAddress(0), orphan, jobBody(2, 300'000));
    pauseFor(150);
    system.setPlatformFault("outage");
    system.entry(0).kill();
    lostAnswer.get();
    // At least 6 s, longer than the lease (2 s) and the horizon (4 s).
    for (int i = 0; i < 10; ++i) {
        auto answer = call(system.callerAddress(1), "PUT", jobPath(takeId(system.callerAddress(1))), jobBody(4, 1000));
        CHECK(answer.member("outcome") == "complete");
        auto unknown = call(system.callerAddress(1), "GET", jobPath(orphan));
        CHECK(unknown.status_ == 503);
        CHECK(unknown.member("submission_run") == "unknown");
        pauseFor(600);
    }
    auto callersId = call(system.callerAddress(1), "PUT", jobPath(makeCallerId()), jobBody(1, 0));
    CHECK(callersId.status_ == 503);
    CHECK(callersId.member("run") == "no");
    system.setPlatformFault("none");
    auto settled = fetchFinalAnswer(system.callerAddress(1), orphan);
    CHECK(settled.member("outcome") == "complete");
    CHECK(countStarts(system, orphan) == 2);
}

TEST_CASE("An entry suspended for longer than its lease is fenced, returns no answer that differs from the settled one, and exits", "[Lifecycle]")
{
    Deployment system({ .entries_ = 2, .agents_ = 2, .extraEntrySettings_ = {}, .extraAgentSettings_ = {} });
    REQUIRE(system.waitUntilConnected());
    auto id = takeId(system.callerAddress(0));
    // 60 tasks, and the two agents take 20 (4 slots and 6 queued each): most wait at the entry when it is suspended.
    auto suspendedAnswer = putAsync(system.callerAddress(0), id, jobBody(60, 300'000));
    pauseFor(100);
    system.entry(0).sendSignal(SIGSTOP);
    auto settled = fetchFinalAnswer(system.callerAddress(1), id);
    CHECK(settled.member("outcome") == "failed");
    auto started = countStarts(system, id);
    system.entry(0).sendSignal(SIGCONT);
    CHECK(system.entry(0).waitForExit(timeoutSeconds) == exitCodeFenced);
    auto resumedAnswer = suspendedAnswer.get();
    bool isConsistent = resumedAnswer.status_ != 200 || resumedAnswer.body_ == settled.body_;
    CHECK(isConsistent);
    CHECK(countStarts(system, id) == started);
    system.startEntry(0);
    CHECK(system.waitUntilConnected());
}

TEST_CASE("Tasks that a killed agent was running are reported as unknown and not started again", "[Lifecycle]")
{
    Deployment system({ .entries_ = 1, .agents_ = 2, .extraEntrySettings_ = {}, .extraAgentSettings_ = {} });
    REQUIRE(system.waitUntilConnected());
    auto id = takeId(system.callerAddress(0));
    auto answer = putAsync(system.callerAddress(0), id, jobBody(8, 800'000));
    pauseFor(300);
    system.agent(0).kill();
    pauseFor(300);
    system.startAgent(0);
    auto finalAnswer = answer.get();
    CHECK(finalAnswer.status_ == 200);
    CHECK(finalAnswer.member("outcome") == "failed");
    CHECK(finalAnswer.body_.find("unknown") != std::string::npos);
    CHECK(countStarts(system, id) == 8);
}

TEST_CASE("A link that is silent for longer than its timeout loses no task", "[Lifecycle]")
{
    Deployment system({ .entries_ = 1, .agents_ = 1, .extraEntrySettings_ = {}, .extraAgentSettings_ = {} });
    REQUIRE(system.waitUntilConnected());
    auto id = takeId(system.callerAddress(0));
    auto answer = putAsync(system.callerAddress(0), id, jobBody(12, 200'000));
    pauseFor(250);
    system.relay(0).setSilent(true);
    pauseFor(2500);
    system.relay(0).setSilent(false);
    auto finalAnswer = answer.get();
    CHECK(finalAnswer.status_ == 200);
    CHECK(finalAnswer.member("outcome") == "complete");
    CHECK(countStarts(system, id) == 12);
}

TEST_CASE("When one of two targets is unreachable, all tasks still succeed, each started once", "[Lifecycle]")
{
    Deployment system({ .entries_ = 1, .agents_ = 2, .extraEntrySettings_ = {}, .extraAgentSettings_ = {} });
    REQUIRE(system.waitUntilConnected());
    system.killTarget(0);
    auto id = takeId(system.callerAddress(0));
    auto answer = call(system.callerAddress(0), "PUT", jobPath(id), jobBody(16, 20'000));
    CHECK(answer.member("outcome") == "complete");
    CHECK(countStarts(system, id) == 16);
}
