#include "JobEntry/JobEntrySettings.h"

#include "Lagoonpick/Configuration/LeaseTimingReader.h"
#include "platform/JobCodec.h"

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
/// What callers' connections hold may take 1/8 of the process's memory, because each request is also parsed and kept with its job. The same
/// goes for incomplete frames, and for frames that wait to be written.
constexpr std::uint64_t peerMemoryDivisor = 8;
/// The store's responses may take 1/4: one of the largest size (16 MiB) must fit at the smallest memory in use (160 MB), with the spare room
/// of a string that grows by doubling.
constexpr std::uint64_t storeMemoryDivisor = 4;
/// Memory of a connection that holds nothing, in user space: its session, coroutine and timers.
constexpr std::uint64_t connectionBytes = 4096;
constexpr std::uint64_t minConnections = 64;

void readPeerLimits(SettingsReader& reader, JobEntrySettings& settings)
{
    HttpLimits& limits = settings.frontLimits_;
    auto descriptors = reader.number("limits", "descriptors", 4096, minDescriptors, maxDescriptors);
    auto megabytes = reader.number("limits", "memory_mb", 256, 1, maxMegabytes);
    auto peerBytes = megabytes * bytesPerMegabyte / peerMemoryDivisor;
    limits.maxConnections_ = static_cast<std::uint32_t>(std::min(descriptors - reservedDescriptors, std::max(peerBytes / connectionBytes, minConnections)));
    limits.maxBodyBytes_ = 262'144;
    limits.maxHeldBytes_ = std::max(peerBytes, limits.maxBodyBytes_);
    limits.readTimeout_ = seconds(15);
    limits.answersWhenFull_ = false;
    limits.callerTimeField_ = UsersPlatform::callerTimeoutField;
    settings.linkMemoryBytes_ = peerBytes;
    settings.storeMemoryBytes_ = megabytes * bytesPerMegabyte / storeMemoryDivisor;
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
    readPeerLimits(reader, settings);
    settings.readyAddress_ = reader.address("entry", "ready_address");
    settings.metricsAddress_ = reader.address("entry", "metrics_address");
    settings.seeds_ = splitList(reader.text("entry", "seeds", "-"));
    settings.storeAddress_ = reader.address("store", "address");
    // All answers must be sent before the process is killed at the end of the grace period. Shutdown ends at the latest after
    // 13/15 of it (5.2 s of 6 s), and jobs are accepted at most during its first 5/12 (2.5 s of 6 s).
    auto gracePeriod = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(reader.decimal("times", "shutdown_grace_s", 6, 0.1, 600)));
    job.shutdownTimeout_ = std::min<Duration>(job.shutdownTimeout_, gracePeriod * 13 / 15);
    job.shutdownAcceptance_ = std::min<Duration>(job.shutdownAcceptance_, gracePeriod * 5 / 12);
    job.times_ = readLeaseTiming(reader);
    job.remoteFactor_ = reader.decimal("jobs", "remote_factor", 1, 1, 100);
    job.maxJobs_ = static_cast<std::uint32_t>(reader.number("limits", "max_jobs", job.maxJobs_, 1, 1'000'000));
    return settings;
}

} // namespace Lagoonpick
