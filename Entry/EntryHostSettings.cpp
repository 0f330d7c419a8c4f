#include "Entry/EntryHostSettings.h"

namespace Lagoonpick {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// The largest value of the queue depth and of the settings that `readCount` reads.
constexpr std::uint64_t maxCount = 1'000'000'000;
constexpr std::uint64_t kibibyte = 1024;
constexpr std::uint64_t gibibyte = kibibyte * kibibyte * kibibyte;

std::uint32_t readCount(SettingsReader& reader, std::string_view section, std::string_view key, std::uint32_t defaultValue)
{
    return static_cast<std::uint32_t>(reader.number(section, key, defaultValue, 1, maxCount));
}

void readTimes(SettingsReader& reader, EntrySettings& entry)
{
    entry.rememberingWindow_ = reader.milliseconds("times", "remembering_window_ms", entry.rememberingWindow_, seconds(5), hours(24));
    entry.maxIdAhead_ = reader.milliseconds("times", "max_id_ahead_ms", entry.maxIdAhead_, milliseconds(0), minutes(1));
    entry.clockError_ = reader.milliseconds("times", "clock_error_ms", entry.clockError_, milliseconds(0), minutes(1));
    entry.heartbeatInterval_ = reader.milliseconds("times", "heartbeat_ms", entry.heartbeatInterval_, milliseconds(10), minutes(1));
    entry.linkTimeout_ = reader.milliseconds("times", "link_timeout_ms", entry.linkTimeout_, milliseconds(100), minutes(10));
    entry.leaseTtl_ = reader.milliseconds("times", "lease_ttl_ms", entry.leaseTtl_, seconds(1), minutes(10));
    entry.horizon_ = reader.milliseconds("times", "horizon_ms", entry.horizon_, seconds(2), minutes(10));
    entry.maxWait_ = reader.milliseconds("times", "max_wait_ms", entry.maxWait_, milliseconds(100), hours(1));
}

void readLimits(SettingsReader& reader, EntryHostSettings& settings)
{
    EntrySettings& entry = settings.entry_;
    entry.maxTasksPerJob_ = readCount(reader, "limits", "max_tasks_per_job", entry.maxTasksPerJob_);
    entry.maxTasksHeld_ = readCount(reader, "limits", "max_tasks_held", entry.maxTasksHeld_);
    entry.maxJobsRemembered_ = readCount(reader, "limits", "max_jobs_remembered", entry.maxJobsRemembered_);
    entry.maxKeptBytes_ = reader.number("limits", "max_kept_bytes", entry.maxKeptBytes_, kibibyte, gibibyte);
    entry.maxRequests_ = readCount(reader, "limits", "max_requests", entry.maxRequests_);
    entry.maxAttempts_ = readCount(reader, "limits", "max_attempts", entry.maxAttempts_);
    entry.defaultTaskTimeoutMilliseconds_ = readCount(reader, "limits", "default_task_timeout_ms", entry.defaultTaskTimeoutMilliseconds_);
    entry.queueDepth_ = static_cast<std::uint32_t>(reader.number("limits", "queue_depth", entry.queueDepth_, 0, maxCount));
    settings.http_.maxConnections_ = readCount(reader, "limits", "max_connections", settings.http_.maxConnections_);
    settings.http_.maxBodyBytes_ = reader.number("limits", "max_body_bytes", settings.http_.maxBodyBytes_, 1, gibibyte);
    settings.http_.readTimeout_ = reader.milliseconds("limits", "read_timeout_ms", settings.http_.readTimeout_, milliseconds(10), hours(1));
    settings.http_.writeTimeout_ = reader.milliseconds("limits", "write_timeout_ms", settings.http_.writeTimeout_, milliseconds(10), hours(1));
    settings.links_.maxFrameBytes_ = reader.number("limits", "max_frame_bytes", settings.links_.maxFrameBytes_, kibibyte, gibibyte);
}

/// Reports settings that are each within their range but contradict each other.
void checkConsistency(SettingsReader& reader, const EntrySettings& entry)
{
    if (entry.linkTimeout_ < 2 * entry.heartbeatInterval_)
        reader.addFault("times", "link_timeout_ms", "", "give at least twice heartbeat_ms, or working links time out");
    if (entry.horizon_ < 2 * entry.leaseTtl_)
        reader.addFault("times", "horizon_ms", "", "give at least twice lease_ttl_ms");
    if (entry.rememberingWindow_ < entry.horizon_)
        reader.addFault("times", "remembering_window_ms", "", "give at least horizon_ms");
    if (entry.maxTasksPerJob_ > entry.maxTasksHeld_)
        reader.addFault("limits", "max_tasks_per_job", "", "give at most max_tasks_held");
}

} // namespace

EntryHostSettings readEntryHostSettings(SettingsReader& reader)
{
    EntryHostSettings settings;
    settings.entry_.name_ = reader.text("entry", "name");
    settings.entry_.availabilityZone_ = reader.text("entry", "availability_zone");
    settings.callerAddress_ = reader.address("entry", "caller_address");
    settings.entry_.peerAddress_ = reader.address("entry", "peer_address");
    settings.platformAddress_ = reader.address("platform", "address");
    settings.platformTimeout_ = reader.milliseconds("platform", "timeout_ms", settings.platformTimeout_, milliseconds(10), minutes(1));
    settings.shutdownTimeout_ = reader.milliseconds("entry", "shutdown_timeout_ms", settings.shutdownTimeout_, milliseconds(100), hours(1));
    settings.entry_.duePerTask_ = reader.milliseconds("dispatch", "due_per_task_ms", settings.entry_.duePerTask_, milliseconds(0), minutes(1));
    settings.entry_.maxBacklog_ = reader.milliseconds("dispatch", "max_backlog_ms", settings.entry_.maxBacklog_, milliseconds(100), hours(1));
    std::string policy = reader.text("dispatch", "policy", "expected_finish");
    if (auto name = readPolicyName(policy))
        settings.entry_.policy_ = name.value();
    else
        reader.addFault("dispatch", "policy", policy, name.error().message_);
    readTimes(reader, settings.entry_);
    readLimits(reader, settings);
    checkConsistency(reader, settings.entry_);
    return settings;
}

} // namespace Lagoonpick
