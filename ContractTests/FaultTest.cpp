#include "ContractTests/Support/Caller.h"
#include "ContractTests/Support/Deployment.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <fmt/format.h>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

using namespace Lagoonpick::Contract;

namespace {

constexpr std::size_t entryCount = 3;
constexpr std::size_t agentCount = 3;
constexpr int callerCount = 6;
constexpr int jobsPerCaller = 60;
constexpr std::uint32_t maxTasks = 4;

/// The responses that callers received about one submission.
struct SubmissionResponses {
    std::uint32_t tasks_ { 0 };
    /// The distinct bodies of responses with status 200.
    std::set<std::string> answers_;
    /// The bodies of final refusals, which state that the submission did not and will not run.
    std::vector<std::string> finalRefusals_;
};

/// The responses that all callers received, by submission. Responses may be added from several threads.
class ResponseLog {
public:
    void add(const std::string& id, std::uint32_t tasks, const CallerAnswer& answer)
    {
        std::lock_guard lock(mutex_);
        SubmissionResponses& responses = responses_[id];
        responses.tasks_ = tasks;
        if (answer.status_ == 200)
            responses.answers_.insert(answer.body_);
        else if (answer.member("submission_run") == "no")
            responses.finalRefusals_.push_back(answer.body_);
    }

    const std::map<std::string, SubmissionResponses>& responses() const { return responses_; }

private:
    std::mutex mutex_;
    std::map<std::string, SubmissionResponses> responses_;
};

/// One caller: submits each job up to 8 times, each time to a random entry, until it has an answer or a final refusal.
void submitJobs(const Deployment& system, ResponseLog& responseLog, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    for (int job = 0; job < jobsPerCaller; ++job) {
        bool isIssued = random() % 2;
        std::string id = isIssued ? takeId(system.callerAddress(random() % entryCount)) : makeCallerId();
        if (id.empty()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            continue;
        }
        auto tasks = static_cast<std::uint32_t>(1 + random() % maxTasks);
        auto body = jobBody(tasks, static_cast<std::uint32_t>(20'000 + random() % 180'000));
        for (int attempt = 0; attempt < 8; ++attempt) {
            auto answer = call(system.callerAddress(random() % entryCount), "PUT", "/v1/jobs/" + id + "?wait_ms=3000", body, 5);
            responseLog.add(id, tasks, answer);
            bool isFinal = answer.status_ == 200 || answer.member("submission_run") == "no";
            // After one in four final responses the caller submits again, as if it had lost the response.
            if (isFinal && random() % 4)
                break;
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
    }
}

void pauseFor(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

void injectFaults(Deployment& system)
{
    pauseFor(1000);
    system.relay(0).cut();
    pauseFor(500);
    system.entry(0).sendSignal(SIGSTOP);
    pauseFor(1000);
    system.agent(0).kill();
    system.startAgent(0);
    pauseFor(500);
    system.relay(1).cut();
    pauseFor(3500);
    // The entry was stopped for longer than its lease (2 s), so that the other entries have fenced it by now.
    system.entry(0).sendSignal(SIGCONT);
    pauseFor(1000);
    system.startEntry(0);
    system.setPlatformFault("lose_answers");
    pauseFor(1500);
    system.setPlatformFault("outage");
    system.entry(1).kill();
    pauseFor(1500);
    system.relay(2).setSilent(true);
    pauseFor(2000);
    system.relay(2).setSilent(false);
    system.agent(1).sendSignal(SIGSTOP);
    pauseFor(1500);
    system.agent(1).sendSignal(SIGCONT);
    system.setPlatformFault("none");
    system.startEntry(1);
    pauseFor(2000);
    system.relay(0).cut();
    system.relay(1).cut();
    system.relay(2).cut();
    system.agent(2).sendSignal(SIGTERM);
    system.agent(2).waitForExit(30);
    system.startAgent(2);
}

/// Returns "submission/task" for each task whose outcome in `answer` is `outcome`.
std::set<std::string> tasksWithOutcome(const std::string& id, const std::string& answer, std::string_view outcome)
{
    std::set<std::string> keys;
    auto value = boost::json::parse(answer);
    const auto& tasks = value.at("tasks").as_array();
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        if (tasks[i].at("fate").as_string() == outcome)
            keys.insert(fmt::format("{}/{}", id, i));
    }
    return keys;
}

} // namespace

TEST_CASE("Under kills, suspensions, cut links and outages no task starts twice, no answer is partial, and tasks reported as not run did not start", "[Fault]")
{
    Deployment system({ .entries_ = entryCount, .agents_ = agentCount, .extraEntrySettings_ = {}, .extraAgentSettings_ = {} });
    REQUIRE(system.waitUntilConnected());
    ResponseLog responseLog;
    std::vector<std::thread> callers;
    callers.reserve(callerCount);
    for (int i = 0; i < callerCount; ++i)
        callers.emplace_back([&, i] { submitJobs(system, responseLog, 1000 + i); });
    injectFaults(system);
    for (auto& caller : callers)
        caller.join();
    // Gives processes that were suspended time to finish their outstanding work.
    pauseFor(2000);

    std::map<std::string, int> starts;
    std::set<std::string> startedSubmissions;
    for (const auto& key : system.starts()) {
        ++starts[key];
        startedSubmissions.insert(key.substr(0, key.find('/')));
    }
    std::size_t complete = 0;
    std::size_t failed = 0;
    std::size_t refused = 0;
    for (const auto& [key, count] : starts)
        CHECK(count == 1);
    for (const auto& [id, responses] : responseLog.responses()) {
        CAPTURE(id);
        CHECK(responses.answers_.size() <= 1);
        refused += !responses.finalRefusals_.empty();
        if (!responses.finalRefusals_.empty() && startedSubmissions.contains(id))
            FAIL_CHECK("submission was started although a final refusal says that it did not run: " << responses.finalRefusals_.front());
        for (const auto& answer : responses.answers_) {
            auto value = boost::json::parse(answer);
            CHECK(value.at("tasks").as_array().size() == responses.tasks_);
            bool isComplete = value.at("outcome").as_string() == "complete";
            ++(isComplete ? complete : failed);
            for (const auto& key : tasksWithOutcome(id, answer, "not_run"))
                CHECK_FALSE(starts.contains(key));
            for (const auto& key : tasksWithOutcome(id, answer, "succeeded"))
                CHECK(starts.contains(key));
        }
    }
    WARN("submissions " << responseLog.responses().size() << ", complete " << complete << ", failed " << failed << ", finally refused " << refused << ", starts " << starts.size());
    CHECK(complete > 0);
}

TEST_CASE("Callers that generate ids concurrently generate different ones", "[Fault]")
{
    constexpr int idsPerCaller = 50'000;
    std::vector<std::vector<std::string>> idsByCaller(callerCount);
    std::vector<std::thread> callers;
    callers.reserve(callerCount);
    for (auto& ids : idsByCaller) {
        callers.emplace_back([&ids] {
            for (int i = 0; i < idsPerCaller; ++i)
                ids.push_back(makeCallerId());
        });
    }
    for (auto& caller : callers)
        caller.join();
    std::set<std::string> all;
    for (const auto& ids : idsByCaller)
        all.insert(ids.begin(), ids.end());
    CHECK(all.size() == static_cast<std::size_t>(callerCount) * idsPerCaller);
}
