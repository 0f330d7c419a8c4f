#include "JobEntry/JobEntrySettings.h"

#include "Lagoonpick/Configuration/LeaseTimingReader.h"

#include <algorithm>
#include <chrono>

namespace Lagoonpick {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

/// File descriptors that are left to files, links and the store; the rest serves callers' connections.
constexpr std::uint64_t reservedDescriptors = 600;
constexpr std::uint64_t minDescriptors = 1000;
constexpr std::uint64_t maxDescriptors = 1'000'000;
constexpr std::uint64_t maxMegabytes = 1'000'000;
constexpr std::uint64_t bytesPerMegabyte = 1'000'000;
/// Request bodies may take 1/8 of the process's memory, because each is also parsed and kept with its job.
constexpr std::uint64_t bodyMemoryDivisor = 8;

HttpLimits readFrontLimits(SettingsReader& reader)
{
    HttpLimits limits;
    auto descriptors = reader.number("limits", "descriptors", 4096, minDescriptors, maxDescriptors);
    auto megabytes = reader.number("limits", "memory_mb", 256, 1, maxMegabytes);
    limits.maxConnections_ = static_cast<std::uint32_t>(descriptors - reservedDescriptors);
    limits.maxBodyBytes_ = 262'144;
    limits.maxHeldBytes_ = std::max(megabytes * bytesPerMegabyte / bodyMemoryDivisor, limits.maxBodyBytes_);
    limits.readTimeout_ = seconds(15);
    return limits;
}

} // namespace

JobEntrySettings readJobEntrySettings(SettingsReader& reader)
{
    JobEntrySettings settings;
    JobEntryCoreSettings& job = settings.job_;
    job.name_ = reader.text("entry", "name");
    job.availabilityZone_ = reader.text("entry", "availability_zone");
    settings.linkListenAddress_ = reader.address("entry", "link_address");
    job.linkAddress_ = reader.address("entry", "advertised_link_address", settings.linkListenAddress_.empty() ? "0.0.0.0:0" : settings.linkListenAddress_);
    settings.frontAddress_ = reader.address("entry", "front_address");
    settings.frontLimits_ = readFrontLimits(reader);
    settings.readyAddress_ = reader.address("entry", "ready_address");
    settings.metricsAddress_ = reader.address("entry", "metrics_address");
    settings.seeds_ = splitList(reader.text("entry", "seeds", "-"));
    settings.storeAddress_ = reader.address("store", "address");
    // All answers must be sent before the process is killed at the end of the grace period. Shutdown ends at the latest after
    // 13/15 of it (5.2 s of 6 s), and jobs are accepted at most during its first 5/12 (2.5 s of 6 s).
    auto gracePeriod = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(reader.decimal("times", "shutdown_grace_s", 6, 0.1, 600)));
    job.shutdownTimeout_ = std::min<Duration>(job.shutdownTimeout_, gracePeriod * 13 / 15);
    job.minListenTime_ = std::min<Duration>(job.minListenTime_, gracePeriod * 5 / 12);
    job.times_ = readLeaseTiming(reader);
    job.remoteFactor_ = reader.decimal("jobs", "remote_factor", 1, 1, 100);
    job.maxJobs_ = static_cast<std::uint32_t>(reader.number("limits", "max_jobs", job.maxJobs_, 1, 1'000'000));
    return settings;
}

} // namespace Lagoonpick
