#include "Agent/AgentHostSettings.h"

namespace Lagoonpick {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// The largest value of the limits on tasks that the agent queues or remembers.
constexpr std::uint64_t maxRows = 100'000'000;
constexpr std::uint64_t maxSlots = 10'000;
constexpr std::uint64_t gibibyte = 1'073'741'824;

} // namespace

AgentHostSettings readAgentHostSettings(SettingsReader& reader)
{
    AgentHostSettings settings;
    AgentSettings& agent = settings.agent_;
    agent.name_ = reader.text("agent", "target");
    agent.service_ = reader.text("agent", "service", "default");
    agent.availabilityZone_ = reader.text("agent", "availability_zone");
    settings.address_ = reader.address("agent", "address");
    settings.advertisedAddress_ = reader.address("agent", "advertised_address", settings.address_.empty() ? "0.0.0.0:0" : settings.address_);
    settings.debugAddress_ = reader.address("agent", "debug_address");
    settings.targetAddress_ = reader.address("target", "address");
    settings.platformAddress_ = reader.address("platform", "address");
    settings.platformTimeout_ = reader.milliseconds("platform", "timeout_ms", settings.platformTimeout_, milliseconds(10), minutes(1));
    settings.shutdownTimeout_ = reader.milliseconds("agent", "shutdown_timeout_ms", settings.shutdownTimeout_, milliseconds(100), hours(1));
    agent.slots_ = static_cast<std::uint32_t>(reader.number("target", "slots", agent.slots_, 1, maxSlots));
    settings.maxAnswerBytes_ = reader.number("target", "max_answer_bytes", settings.maxAnswerBytes_, 1, gibibyte);
    agent.maxQueued_ = static_cast<std::uint32_t>(reader.number("limits", "max_queued", agent.maxQueued_, 1, maxRows));
    agent.maxLedgerRows_ = static_cast<std::uint32_t>(reader.number("limits", "max_ledger_rows", agent.maxLedgerRows_, 1, maxRows));
    agent.maxKeptBytes_ = reader.number("limits", "max_kept_bytes", agent.maxKeptBytes_, 1, gibibyte);
    agent.rememberingWindow_ = reader.milliseconds("times", "remembering_window_ms", agent.rememberingWindow_, seconds(5), hours(24));
    agent.clockError_ = reader.milliseconds("times", "clock_error_ms", agent.clockError_, milliseconds(0), minutes(2));
    agent.heartbeatInterval_ = reader.milliseconds("times", "heartbeat_ms", agent.heartbeatInterval_, milliseconds(10), minutes(1));
    agent.linkTimeout_ = reader.milliseconds("times", "link_timeout_ms", agent.linkTimeout_, milliseconds(100), minutes(10));
    if (agent.linkTimeout_ < 2 * agent.heartbeatInterval_)
        reader.addFault("times", "link_timeout_ms", "", "give at least twice heartbeat_ms, or working links time out");
    return settings;
}

} // namespace Lagoonpick
