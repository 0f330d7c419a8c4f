#pragma once

#include "Lagoonpick/Configuration/SettingsReader.h"
#include "Lagoonpick/Run/LeaseTiming.h"

namespace Lagoonpick {

/// Reads the settings from which entries and agents derive the lease and the timeouts that they share.
inline LeaseTiming readLeaseTiming(SettingsReader& reader)
{
    using std::chrono::milliseconds;
    using std::chrono::minutes;
    Duration maxLease = reader.milliseconds("times", "max_lease_ms", milliseconds(1000), milliseconds(100), minutes(1));
    Duration stopTimeout = reader.milliseconds("times", "stop_timeout_ms", milliseconds(50), milliseconds(1), minutes(1));
    Duration resendInterval = reader.milliseconds("times", "resend_ms", milliseconds(1300), milliseconds(100), minutes(1));
    if (resendInterval < 4 * stopTimeout)
        reader.addFault("times", "resend_ms", "", "give at least four times stop_timeout_ms, or two runs of one job may overlap");
    return LeaseTiming::derive(maxLease, stopTimeout, resendInterval);
}

} // namespace Lagoonpick
