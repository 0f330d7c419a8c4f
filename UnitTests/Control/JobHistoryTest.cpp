#include "Control/JobHistory.h"
#include "Control/StateReport.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace Lagoonpick {

namespace {

const std::vector<std::string> log {
    R"({"at_ms":9000,"process":"agent-1","event":"target_lost","target":"t"})",
    R"(   12.3 entry-1 {"at_ms":10000,"process":"entry-1","event":"job_accepted","job":"a1","tasks":2})",
    R"({"at_ms":10300,"process":"agent-1","event":"run_ended","task":"a1.0.0.0","end":"done"})",
    R"({"at_ms":10400,"process":"agent-1","event":"run_ended","task":"a12.0.0.0","end":"done"})",
    R"({"at_ms":10100,"process":"agent-2","event":"target_lost","target":"u"})",
    R"({"at_ms":4000,"process":"agent-1","event":"store_lost"})",
    R"({"at_ms":10350,"process":"entry-1","event":"job_answered","job":"a1","verdict":"done"})",
    R"({"at_ms":"soon","process":"entry-1","event":"job_answered","job":"a1"})",
    "{",
    "no log line",
};

} // namespace

TEST_CASE("A job's history holds its own lines and the context events of its processes, by time")
{
    JobHistory history("a1");
    for (const auto& line : log)
        history.add(line);
    std::vector<std::string> events;
    for (const auto& line : history.lines())
        events.push_back(line.process_ + " " + line.event_);
    CHECK(events == std::vector<std::string> { "agent-1 target_lost", "entry-1 job_accepted", "agent-1 run_ended", "entry-1 job_answered" });
    CHECK(history.unparsedLines() == 2);
    auto table = writeHistoryTable(history);
    CHECK(table.find("outcome: job_answered by entry-1: job=a1 verdict=done") != std::string::npos);
    CHECK(boost::json::parse(writeHistoryJson(history)).as_array().size() == 4);
}

TEST_CASE("A history without an answer names possible causes")
{
    auto [lines, part] = GENERATE(table<std::size_t, std::string>({ { 1, "no entry accepted the job" }, { 2, "never answered" } }));
    JobHistory history("a1");
    for (std::size_t i = 0; i < lines; ++i)
        history.add(log[i]);
    CHECK(writeHistoryTable(history).find(part) != std::string::npos);
}

TEST_CASE("Arbitrary text is accepted as a line and adds nothing to the history")
{
    rc::prop("any text", [](const std::string& text) {
        JobHistory history("a1");
        history.add(text);
        history.add("{" + text);
        RC_ASSERT(history.lines().empty());
    });
}

TEST_CASE("One table shows the states of all kinds of processes")
{
    const std::vector<ProcessState> states {
        { "10.0.0.1:1", R"({"role":"entry","name":"e","incarnation":"i","registered":true,"tasks_pending":3,"tasks_outstanding":4})" },
        { "10.0.0.2:1", R"({"entry":"entry-1","ready":true,"configuration":7,"evacuation":{"zones":["a","b"],"revision":12,"age_ms":340},"jobs":5,"agents":[{"linked":true,"open":true,"suspect":false,"runs":2,"report_age_ms":140},{"linked":true,"open":false,"suspect":true,"runs":0}]})" },
        { "10.0.0.3:1", R"({"agent":"agent-1","target":"t","born_ms":1,"draining":true,"runs":6,"configuration":7,"entries":[{"entry":"entry-1","linked":true,"leaving":false},{"entry":"entry-2","linked":false,"leaving":false}]})" },
        { "10.0.0.4:1", "" },
        { "10.0.0.5:1", R"({"agent":"agent-2","target":"t","born_ms":1,"draining":false,"runs":0,"configuration":7,"evacuation":{"zones":[],"revision":0,"age_ms":0},"zone_open":false,"entries":[]})" },
        { "10.0.0.6:1", R"({"agent":"agent-3","target":"t","born_ms":1,"draining":false,"runs":0,"configuration":7,"evacuation":{"zones":["a"],"revision":3,"age_ms":1},"zone_open":false,"entries":[]})" },
        { "10.0.0.7:1", R"({"agent":"agent-4","target":"t","born_ms":1,"draining":false,"runs":0,"configuration":7,"evacuation":{"zones":[],"revision":4,"age_ms":1},"zone_open":true,"entries":[]})" },
    };
    auto table = writeStatus(states);
    for (const auto* part : { "entry-1", "1 of 2 targets open", "oldest report 140 ms", "1 of 2 entries linked", "agent-1", "draining", "no answer", "serving", "evacuated: a b (revision 12, for 340 ms)", "evacuated: not known", "zones not known", "zone closed", "evacuated: none (revision 4" })
        CHECK(table.find(part) != std::string::npos);
}

} // namespace Lagoonpick
