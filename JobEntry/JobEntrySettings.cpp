#include "JobEntry/JobEntrySettings.h"

#include "Lagoonpick/Configuration/RunTimesReader.h"

#include <algorithm>
#include <chrono>

namespace Lagoonpick {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

JobEntrySettings readJobEntrySettings(SettingsReader& reader)
{
    JobEntrySettings settings;
    JobSettings& job = settings.job_;
    job.name_ = reader.text("entry", "name");
    job.availabilityZone_ = reader.text("entry", "availability_zone");
    settings.linkListenAddress_ = reader.address("entry", "link_address");
    job.linkAddress_ = reader.address("entry", "advertised_link_address", settings.linkListenAddress_.empty() ? "0.0.0.0:0" : settings.linkListenAddress_);
    settings.frontAddress_ = reader.address("entry", "front_address");
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
