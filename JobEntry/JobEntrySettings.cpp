#include "JobEntry/JobEntrySettings.h"

#include "Lagoonpick/Configuration/RunTimesReader.h"

#include <algorithm>
#include <chrono>

namespace Lagoonpick {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

/// Descriptors that files, links and the store need besides callers' connections.
constexpr std::uint64_t reservedDescriptors = 600;
constexpr std::uint64_t leastDescriptors = 1000;
constexpr std::uint64_t maxDescriptors = 1'000'000;
constexpr std::uint64_t maxMegabytes = 1'000'000;
constexpr std::uint64_t bytesPerMegabyte = 1'000'000;
/// The part of the process's memory that requests' bodies may take: each is also parsed and kept with its job.
constexpr std::uint64_t bodiesShare = 8;

HttpLimits readFrontLimits(SettingsReader& reader)
{
    HttpLimits limits;
    auto descriptors = reader.number("limits", "descriptors", 4096, leastDescriptors, maxDescriptors);
    auto megabytes = reader.number("limits", "memory_mb", 256, 1, maxMegabytes);
    limits.maxConnections_ = static_cast<std::uint32_t>(descriptors - reservedDescriptors);
    limits.maxBodyBytes_ = 262'144;
    limits.maxHeldBytes_ = std::max(megabytes * bytesPerMegabyte / bodiesShare, limits.maxBodyBytes_);
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
    // Answers must be out before the process is killed; the rest of the shutdown follows from it.
    auto grace = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(reader.decimal("times", "shutdown_grace_s", 6, 0.1, 600)));
    job.shutdownTimeout_ = std::min<Duration>(job.shutdownTimeout_, grace * 13 / 15);
    job.shutdownAcceptance_ = std::min<Duration>(job.shutdownAcceptance_, grace * 5 / 12);
    job.times_ = readRunTimes(reader);
    job.remoteFactor_ = reader.decimal("jobs", "remote_factor", 1, 1, 100);
    job.maxJobs_ = static_cast<std::uint32_t>(reader.number("limits", "max_jobs", job.maxJobs_, 1, 1'000'000));
    return settings;
}

} // namespace Lagoonpick
