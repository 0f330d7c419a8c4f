#include "ContractTests/Support/Caller.h"
#include "Lagoonpick/Configuration/CommandLine.h"
#include "Soak/SoakSystem.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <set>
#include <sstream>
#include <sys/stat.h>
#include <thread>

namespace Lagoonpick::Soak {

namespace {

using std::chrono::milliseconds;

constexpr int timeoutSeconds = 10;

std::string jobBody(int workMs, int tasks = 1, int estimateMs = 100)
{
    return fmt::format(R"({{"spec":"work_ms={} cpu=1000","steps":[{{"count":{},"cpu":1000,"mem_mb":1,"estimate_ms":{}}}],"best_effort":true}})", workMs, tasks, estimateMs);
}

Contract::CallerAnswer submit(const SoakSystem& system, const std::string& id, const std::string& body)
{
    return Contract::call(system.frontAddress(0), "POST", "/queue/" + id, body, timeoutSeconds);
}

} // namespace

TEST_CASE("Jobs are served end to end; a request that can't be served gets the error response that states why", "[RunsProgram]")
{
    SoakSystem system({ 1, 2 });
    REQUIRE(system.waitUntilReady(timeoutSeconds));
    struct Row {
        std::string method_;
        std::string path_;
        std::string body_;
        std::uint32_t status_;
        std::string part_;
    };
    const std::vector<Row> rows {
        { "POST", "/queue/00000000000000a1", jobBody(30, 6), 200, "done" },
        { "POST", "/queue/00000000000000a1", jobBody(30, 6), 200, "done" },
        { "POST", "/other/00000000000000a2", jobBody(30), 404, "no such queue" },
        { "POST", "/queue/00000000000000a3", R"({"spec":"","steps":[{"count":1}]})", 503, "not served" },
        { "POST", "/queue/00000000000000a4", R"({"spec":"","steps":[{"count":1,"cpu":9000000}],"best_effort":true})", 503, "no target" },
        { "POST", "/queue/00000000000000a5", "{", 400, "JSON" },
        { "GET", "/queue/", "", 200, "pending" },
        { "GET", "/other/", "", 404, "no such queue" },
        { "GET", "/queue/00000000000000a6", "", 410, "no such job" },
        { "DELETE", "/queue/00000000000000a6", "", 410, "no such job" },
    };
    for (const auto& row : rows) {
        auto answer = Contract::call(system.frontAddress(0), row.method_, row.path_, row.body_, timeoutSeconds);
        INFO(row.method_ << " " << row.path_ << ": " << answer.status_ << " " << answer.body_);
        CHECK(answer.status_ == row.status_);
        CHECK(answer.body_.find(row.part_) != std::string::npos);
    }
}

TEST_CASE("Jobs under way are completed and answered during a graceful shutdown", "[RunsProgram]")
{
    auto isEntry = GENERATE(true, false);
    SoakSystem system({ 1, 1 });
    REQUIRE(system.waitUntilReady(timeoutSeconds));
    Contract::CallerAnswer answer;
    std::thread caller([&] { answer = submit(system, "00000000000000b1", jobBody(800)); });
    std::this_thread::sleep_for(milliseconds(300));
    if (isEntry) {
        system.signalEntry(0, SIGTERM);
        CHECK(Contract::waitForStatus(system.readyAddress(0), "/lagoonpick/ready", 503, 2));
    } else {
        system.signalAgent(0, SIGTERM);
    }
    caller.join();
    INFO((isEntry ? "entry" : "agent") << " shut down\n"
                                       << readFile(system.logFolder() + "/entry-0.log").value_or("") << readFile(system.logFolder() + "/agent-0.log").value_or(""));
    CHECK(answer.status_ == 200);
    CHECK(answer.member("state") == "done");
    CHECK((isEntry ? system.waitForEntry(0, 7) : system.waitForAgent(0, 7)));
}

TEST_CASE("Malformed heartbeats are rejected and logged, and affect no other target", "[RunsProgram]")
{
    SoakSystem system({ 1, 1 });
    REQUIRE(system.waitUntilReady(timeoutSeconds));
    for (const auto& body : { std::string("{"), std::string("\xff\xfe"), std::string(R"({"service":7})"), std::string(5'000'000, 'x') }) {
        auto answer = Contract::call(system.controlAddress(0), "POST", "/lagoonpick/instances/other/heartbeat", body, timeoutSeconds);
        CHECK((answer.status_ == 400 || answer.status_ == 413 || answer.status_ == 0));
    }
    CHECK(submit(system, "00000000000000c1", jobBody(20)).member("state") == "done");
    CHECK(readFile(system.logFolder() + "/agent-0.log").value_or("").find("heartbeat_unreadable") != std::string::npos);
}

// Guards against: another writer's heartbeat ended all runs as lost, their tasks ran twice, and the machine stayed out of use.
TEST_CASE("A heartbeat that names another target ends no run, and the target stays in use", "[RunsProgram]")
{
    auto [id, fields] = GENERATE(table<std::string, std::string>({
        { "other", R"("address":"127.0.0.1:9","zone":"z","version":"v1","labels":[],"capacity":{"cpu":16000,"mem_mb":100},"born":99999999999999)" },
        { "other", R"("address":"127.0.0.1:9","zone":"z","version":"v1","labels":[],"capacity":{"cpu":16000,"mem_mb":100},"born":1)" },
        { "target-0", R"("address":"127.0.0.1:9","zone":"z","version":"v1","labels":[],"capacity":{"cpu":16000,"mem_mb":100},"born":99999999999999)" },
        { "other", R"("slots":8,"capacity":{"cpu":16000},"born":99999999999999)" },
    }));
    SoakSystem system({ 1, 1 });
    REQUIRE(system.waitUntilReady(timeoutSeconds));
    Contract::CallerAnswer answer;
    std::thread caller([&] { answer = submit(system, "00000000000000c2", jobBody(700, 1, 700)); });
    std::this_thread::sleep_for(milliseconds(300));
    Contract::call(system.controlAddress(0), "POST", "/lagoonpick/instances/" + id + "/heartbeat", R"({"service":"other","state":"ready","seq":9,)" + fields + "}", timeoutSeconds);
    caller.join();
    CHECK(answer.member("state") == "done");
    auto record = readFile(system.recordFile()).value_or("");
    CHECK(record.find(" began ") != std::string::npos);
    CHECK(record.find(" began ") == record.rfind(" began "));
    CHECK(submit(system, "00000000000000c3", jobBody(700, 1, 700)).member("state") == "done");
}

TEST_CASE("Every line of a log is JSON with a time, a process and an event; metrics count jobs and runs by end", "[RunsProgram]")
{
    SoakSystem system({ 1, 1 });
    REQUIRE(system.waitUntilReady(timeoutSeconds));
    REQUIRE(submit(system, "00000000000000d1", jobBody(20, 2)).member("state") == "done");
    system.signalEntry(0, SIGUSR1);
    std::this_thread::sleep_for(milliseconds(200));
    std::set<std::string> events;
    for (const auto* name : { "/entry-0.log", "/agent-0.log" }) {
        std::istringstream lines(readFile(system.logFolder() + name).value_or(""));
        for (std::string line; std::getline(lines, line);) {
            boost::system::error_code error;
            auto value = boost::json::parse(line, error);
            INFO(line);
            REQUIRE_FALSE(error);
            CHECK(value.as_object().contains("at_ms"));
            CHECK(value.as_object().contains("process"));
            events.insert(std::string(value.at("event").as_string()));
        }
    }
    for (const auto* event : { "started", "registered", "configuration_installed", "agent_attached", "entry_attached", "target_began", "job_accepted", "run_ended", "job_answered", "state" })
        CHECK(events.contains(event));
    CHECK(Contract::call(system.entryMetricsAddress(0), "GET", "/metrics").body_.find("lagoonpick_jobs_total{end=\"done\"} 1") != std::string::npos);
    CHECK(Contract::call(system.agentMetricsAddress(0), "GET", "/metrics").body_.find("lagoonpick_run_ends_total{end=\"done\"} 2") != std::string::npos);
}

// Guards against: a signal to reload in the first millisecond ended an agent.
TEST_CASE("A signal to reload that arrives while the settings are read does not end a program", "[RunsProgram]")
{
    const auto* program = GENERATE(RUN_AGENT_PROGRAM, JOB_ENTRY_PROGRAM);
    Contract::TemporaryFolder folder;
    std::string file = folder.path() + "/settings";
    REQUIRE(mkfifo(file.c_str(), S_IRUSR | S_IWUSR) == 0);
    Contract::Process process({ program, "--check", "--config", file }, folder.path() + "/log");
    // Blocks until the program has opened the file.
    std::ofstream settings(file);
    process.sendSignal(SIGHUP);
    settings << "[agent]\n"
             << std::flush;
    settings.close();
    CHECK(process.waitForExit(timeoutSeconds) == static_cast<int>(ExitCode::BadSettings));
}

TEST_CASE("A job is stopped when its caller disconnects", "[RunsProgram]")
{
    SoakSystem system({ 1, 1 });
    REQUIRE(system.waitUntilReady(timeoutSeconds));
    // The job would end within the default caller timeout of 1.5 s, so nothing but the disconnect after 1 s stops it.
    Contract::call(system.frontAddress(0), "POST", "/queue/00000000000000e1", jobBody(1300), 1);
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(readFile(system.logFolder() + "/entry-0.log").value_or("").find("job_abandoned") != std::string::npos);
    CHECK(readFile(system.recordFile()).value_or("").find("stopped") != std::string::npos);
}

TEST_CASE("A job that can't end within its caller's timeout is answered at once and stopped", "[RunsProgram]")
{
    SoakSystem system({ 1, 1 });
    REQUIRE(system.waitUntilReady(timeoutSeconds));
    // A request that states no timeout gets the default caller timeout of 1.5 s.
    auto answer = Contract::call(system.frontAddress(0), "POST", "/queue/00000000000000e2", jobBody(8000), 1);
    CHECK(answer.status_ == 504);
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(readFile(system.recordFile()).value_or("").find("stopped") != std::string::npos);
}

TEST_CASE("Running processes keep serving during a store outage; a configuration written meanwhile takes effect after the outage", "[RunsProgram]")
{
    SoakSystem system({ 2, 1 });
    REQUIRE(system.waitUntilReady(timeoutSeconds));
    Contract::call(system.storeAddress(), "POST", "/standin/fault", "outage");
    std::this_thread::sleep_for(milliseconds(1500));
    CHECK(submit(system, "00000000000000f1", jobBody(20)).member("state") == "done");
    system.configure(7);
    Contract::call(system.storeAddress(), "POST", "/standin/fault", "none");
    std::this_thread::sleep_for(milliseconds(2000));
    CHECK(Contract::call(system.entryMetricsAddress(0), "GET", "/metrics").body_.find("lagoonpick_configuration_version 7") != std::string::npos);
}

// Guards against: an operator's key had no effect on the running programs, or its removal none.
TEST_CASE("No job runs in an evacuated zone, and each zone serves again once its evacuation is withdrawn", "[RunsProgram]")
{
    SoakSystem system({ 1, 2 });
    REQUIRE(system.waitUntilReady(timeoutSeconds));
    auto settle = [] { std::this_thread::sleep_for(milliseconds(500)); };
    auto isOpen = [&](std::size_t agent) {
        return Contract::call(system.agentMetricsAddress(agent), "GET", "/metrics").body_.find("\nlagoonpick_zone_open 1\n") != std::string::npos;
    };
    system.evacuate(SoakSystem::secondZone);
    settle();
    CHECK(isOpen(0));
    CHECK_FALSE(isOpen(1));
    for (int job = 0; job < 5; ++job)
        CHECK(submit(system, fmt::format("00000000000000b{}", job), jobBody(20, 2)).member("state") == "done");
    CHECK(readFile(system.logFolder() + "/agent-1.log").value_or("").find("run_started") == std::string::npos);
    system.evacuate(SoakSystem::firstZone);
    settle();
    CHECK(submit(system, "00000000000000b5", jobBody(20)).status_ == 503);
    CHECK(Contract::call(system.entryMetricsAddress(0), "GET", "/state").body_.find(R"("zones":["zone-a","zone-b"])") != std::string::npos);
    system.withdrawEvacuation(SoakSystem::firstZone);
    system.withdrawEvacuation(SoakSystem::secondZone);
    settle();
    CHECK(isOpen(0));
    CHECK(isOpen(1));
    CHECK(submit(system, "00000000000000b6", jobBody(20)).member("state") == "done");
}

} // namespace Lagoonpick::Soak
