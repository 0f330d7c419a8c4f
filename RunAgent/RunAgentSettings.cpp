#include "RunAgent/RunAgentSettings.h"

#include "Lagoonpick/Configuration/LeaseTimingReader.h"

namespace Lagoonpick {

RunAgentSettings readRunAgentSettings(SettingsReader& reader)
{
    RunAgentSettings settings;
    settings.run_.name_ = reader.text("agent", "name");
    settings.run_.availabilityZone_ = reader.text("agent", "availability_zone");
    settings.run_.controlAddress_ = reader.address("agent", "control_address");
    settings.metricsAddress_ = reader.address("agent", "metrics_address");
    settings.entryLinkAddress_ = reader.address("agent", "entry_link_address");
    settings.run_.maxEntries_ = static_cast<std::uint32_t>(reader.number("agent", "max_entries", settings.run_.maxEntries_, 1, 1000));
    settings.seeds_ = splitList(reader.text("agent", "seeds", "-"));
    settings.run_.targetAddress_ = reader.address("target", "address");
    settings.storeAddress_ = reader.address("store", "address");
    settings.run_.times_ = readLeaseTiming(reader);
    settings.run_.renewalWait_ = settings.run_.times_.lease_ / 10;
    // Runs may end during 85 % of the grace period; the rest is left for sending the last reports.
    constexpr double gracePeriodShare = 0.85;
    double gracePeriodSeconds = reader.decimal("times", "shutdown_grace_s", 6, 0.1, 600);
    settings.shutdownTimeout_ = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gracePeriodSeconds * gracePeriodShare));
    return settings;
}

} // namespace Lagoonpick
