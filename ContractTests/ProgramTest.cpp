#include "ContractTests/Support/Caller.h"
#include "ContractTests/Support/Deployment.h"
#include "Lagoonpick/Configuration/CommandLine.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <fmt/format.h>
#include <thread>

using namespace Lagoonpick;
using namespace Lagoonpick::Contract;

namespace {

/// Runs a program until it exits, up to 20 s; returns its exit code (-1 if it is still running) and its output.
std::pair<int, std::string> runProgram(const std::vector<std::string>& arguments)
{
    TemporaryFolder folder;
    Process process(arguments, folder.path() + "/output");
    int code = process.waitForExit(20);
    return { code, readFile(folder.path() + "/output").value_or("") };
}

constexpr auto validEntry = "[entry]\nname = a\navailability_zone = z\ncaller_address = 127.0.0.1:1\npeer_address = 127.0.0.1:2\n[platform]\naddress = 127.0.0.1:3\n";
constexpr auto validAgent = "[agent]\ntarget = a\navailability_zone = z\naddress = 127.0.0.1:1\ndebug_address = 127.0.0.1:2\n[target]\naddress = 127.0.0.1:3\n[platform]\naddress = 127.0.0.1:4\n";

constexpr auto validJobEntry = "[entry]\nname = a\navailability_zone = z\nfront_address = 127.0.0.1:1\nready_address = 127.0.0.1:2\nlink_address = 127.0.0.1:3\nmetrics_address = 127.0.0.1:4\n[store]\naddress = 127.0.0.1:5\n";
constexpr auto validRunAgent = "[agent]\nname = a\navailability_zone = z\ncontrol_address = 127.0.0.1:1\nmetrics_address = 127.0.0.1:2\nentry_link_address = 127.0.0.1:3\n[target]\naddress = 127.0.0.1:4\n[store]\naddress = 127.0.0.1:5\n";

} // namespace

TEST_CASE("Every program prints its help and version, and exits with a distinct code on faulty options and settings", "[Program]")
{
    auto program = GENERATE(as<std::string> {}, ENTRY_PROGRAM, AGENT_PROGRAM, CTL_PROGRAM, LOAD_PROGRAM, JOB_ENTRY_PROGRAM, RUN_AGENT_PROGRAM);
    CAPTURE(program);
    auto [helpCode, help] = runProgram({ program, "--help" });
    CHECK(helpCode == 0);
    CHECK(help.find("--config") != std::string::npos);
    CHECK(help.find("Exit codes") != std::string::npos);
    auto [versionCode, version] = runProgram({ program, "--version" });
    CHECK(versionCode == 0);
    CHECK(version.find("0.1.0") != std::string::npos);
    CHECK(runProgram({ program }).first == 64);
    CHECK(runProgram({ program, "--colour" }).first == 64);
    CHECK(runProgram({ program, "--config", "/nowhere/at/all" }).first == 78);
}

TEST_CASE("With --check a program validates its settings file and starts nothing", "[Program]")
{
    struct Row {
        std::string program_;
        std::string text_;
        int code_;
        const char* expectedOutput_;
    };
    auto row = GENERATE(values<Row>({
        { ENTRY_PROGRAM, validEntry, 0, "good" },
        { AGENT_PROGRAM, validAgent, 0, "good" },
        { ENTRY_PROGRAM, std::string(validEntry) + "[limits]\nmax_requests = 0\nqueue_dept = 1\n", 78, "queue_dept" },
        { ENTRY_PROGRAM, std::string(validEntry) + "[times]\nlink_timeout_ms = 1100\n", 78, "twice heartbeat_ms" },
        { ENTRY_PROGRAM, std::string(validEntry) + "[times]\nhorizon_ms = 2000\n", 78, "twice lease_ttl_ms" },
        { AGENT_PROGRAM, std::string(validAgent) + "[target]\n", 0, "good" },
        { AGENT_PROGRAM, "[agent]\n", 78, "target" },
        { CTL_PROGRAM, "[ctl]\nprocesses = localhost:1\n", 78, "numeric" },
        { JOB_ENTRY_PROGRAM, validJobEntry, 0, "good" },
        { JOB_ENTRY_PROGRAM, std::string(validJobEntry) + "[times]\nresend_ms = 150\n", 78, "four times stop_timeout_ms" },
        { JOB_ENTRY_PROGRAM, std::string(validJobEntry) + "[times]\nshutdown_grace_s = soon\n", 78, "number from" },
        { JOB_ENTRY_PROGRAM, "[entry]\nname = a\n", 78, "front_address" },
        { RUN_AGENT_PROGRAM, validRunAgent, 0, "good" },
        { RUN_AGENT_PROGRAM, std::string(validRunAgent) + "[agent]\n", 0, "good" },
        { RUN_AGENT_PROGRAM, "[agent]\nname = a\n", 78, "control_address" },
    }));
    TemporaryFolder folder;
    auto file = folder.write("settings.ini", row.text_);
    auto [code, output] = runProgram({ row.program_, "--check", "--config", file });
    CAPTURE(row.text_, output);
    CHECK(code == row.code_);
    if (code)
        CHECK(output.find(row.expectedOutput_) != std::string::npos);
}

TEST_CASE("Every process dumps its state over HTTP and, on SIGUSR1, into its log", "[Program]")
{
    Deployment system({ .entries_ = 1, .agents_ = 1, .extraEntrySettings_ = {}, .extraAgentSettings_ = {} });
    REQUIRE(system.waitUntilConnected());
    CHECK(call(system.callerAddress(0), "GET", "/debug/state").member("role") == "entry");
    CHECK(call(system.agentDebugAddress(0), "GET", "/debug/state").member("role") == "agent");
    system.entry(0).sendSignal(SIGUSR1);
    system.agent(0).sendSignal(SIGUSR1);
    bool isLogged = false;
    for (int i = 0; i < 100 && !isLogged; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        isLogged = system.log("entry-0").find("tasks_pending") != std::string::npos && system.log("agent-0").find("ledger_rows") != std::string::npos;
    }
    CHECK(isLogged);

    TemporaryFolder folder;
    auto file = folder.write("ctl.ini", fmt::format("[ctl]\nprocesses = {}, {}\n", system.callerAddress(0), system.agentDebugAddress(0)));
    auto [statusCode, status] = runProgram({ CTL_PROGRAM, "status", "--config", file });
    CHECK(statusCode == 0);
    CHECK(status.find("entry-0") != std::string::npos);
    CHECK(status.find("target-0") != std::string::npos);
    auto [dumpCode, dump] = runProgram({ CTL_PROGRAM, "dump", "--config", file });
    CHECK(dumpCode == 0);
    CHECK(boost::json::parse(dump).as_array().size() == 2);
    auto partial = folder.write("partial.ini", fmt::format("[ctl]\nprocesses = {}, {}\n", system.callerAddress(0), findFreeAddress()));
    auto [partialCode, partialStatus] = runProgram({ CTL_PROGRAM, "status", "--config", partial });
    CHECK(partialCode == 69);
    CHECK(partialStatus.find("no answer") != std::string::npos);
}

TEST_CASE("Every log line is JSON, and the audit logs the start and the end of each task and job", "[Program]")
{
    Deployment system({ .entries_ = 1, .agents_ = 1, .extraEntrySettings_ = {}, .extraAgentSettings_ = {} });
    REQUIRE(system.waitUntilConnected());
    auto id = takeId(system.callerAddress(0));
    REQUIRE(call(system.callerAddress(0), "PUT", "/v1/jobs/" + id, jobBody(2, 1000)).status_ == 200);
    std::istringstream lines(system.log("agent-0") + system.log("entry-0"));
    std::vector<std::string> events;
    for (std::string line; std::getline(lines, line);) {
        CAPTURE(line);
        boost::json::error_code error;
        auto value = boost::json::parse(line, error);
        REQUIRE_FALSE(error);
        const auto& object = value.as_object();
        if (object.contains("audit") && object.contains("submission") && object.at("submission").as_string() == id)
            events.emplace_back(object.at("audit").as_string());
    }
    CHECK(std::count(events.begin(), events.end(), "task_starting") == 2);
    CHECK(std::count(events.begin(), events.end(), "task_ended") == 2);
    CHECK(std::count(events.begin(), events.end(), "job_accepted") == 1);
    CHECK(std::count(events.begin(), events.end(), "job_ended") == 1);
    CHECK(events.at(0) == "task_starting");
}

TEST_CASE("A caller that does not read its answer delays no other caller and is disconnected", "[Program]")
{
    Deployment system({ .entries_ = 1, .agents_ = 1, .extraEntrySettings_ = "[limits]\nwrite_timeout_ms = 500\nmax_body_bytes = 30000000\n", .extraAgentSettings_ = "[target]\nmax_answer_bytes = 3000000\n" });
    REQUIRE(system.waitUntilConnected());
    auto id = takeId(system.callerAddress(0));
    std::string task = R"({"payload":"echo:)" + std::string(2'000'000, 'x') + R"("})";
    std::string body = R"({"tasks":[)" + task;
    for (int i = 0; i < 7; ++i)
        body += "," + task;
    body += "]}";
    NonReadingCaller nonReadingCaller(system.callerAddress(0), fmt::format("PUT /v1/jobs/{} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{}", id, body.size(), body));
    bool isDisconnected = false;
    for (int i = 0; i < 100 && !isDisconnected; ++i) {
        CHECK(call(system.callerAddress(0), "GET", "/healthz").status_ == 200);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        auto state = call(system.callerAddress(0), "GET", "/debug/state");
        // The request for the state is itself the one busy connection that remains.
        isDisconnected = state.member("jobs") == "1" && state.member("tasks_outstanding") == "0" && state.member("connections_busy") == "1";
    }
    CHECK(isDisconnected);
    CHECK(call(system.callerAddress(0), "GET", "/v1/jobs/" + id).member("outcome") == "complete");
}

TEST_CASE("Metrics count jobs, tasks, messages and refusals", "[Program]")
{
    Deployment system({ .entries_ = 1, .agents_ = 1, .extraEntrySettings_ = {}, .extraAgentSettings_ = {} });
    REQUIRE(system.waitUntilConnected());
    REQUIRE(call(system.callerAddress(0), "PUT", "/v1/jobs/" + takeId(system.callerAddress(0)), jobBody(3, 1000)).status_ == 200);
    call(system.callerAddress(0), "PUT", "/v1/jobs/" + takeId(system.callerAddress(0)), "{}");
    struct Row {
        bool isAgent_;
        const char* line_;
    };
    auto row = GENERATE(values<Row>({
        { false, "lagoonpick_job_response_seconds_count 1\n" },
        { false, "lagoonpick_job_response_seconds_bucket{le=\"+Inf\"} 1\n" },
        { false, "lagoonpick_job_wait_seconds_count 1\n" },
        { false, "lagoonpick_task_run_seconds_count 3\n" },
        { false, "lagoonpick_messages_total{kind=\"start\"} 3\n" },
        { false, "lagoonpick_refusals_total{reason=\"malformed-job\"} 1\n" },
        { false, "lagoonpick_platform_fresh 1\n" },
        { true, "lagoonpick_agent_task_run_seconds_count 3\n" },
        { true, "lagoonpick_agent_messages_total{kind=\"result\"} 3\n" },
        { true, "lagoonpick_agent_ledger_rows 3\n" },
    }));
    CAPTURE(row.line_);
    auto answer = call(row.isAgent_ ? system.agentDebugAddress(0) : system.callerAddress(0), "GET", "/metrics");
    CHECK(answer.status_ == 200);
    CHECK(answer.body_.find(row.line_) != std::string::npos);
}
