#pragma once

#include "Lagoonpick/Configuration/SettingsReader.h"
#include "Lagoonpick/Run/LeaseTiming.h"

namespace Lagoonpick {

/// Reads the limits that entries and agents derive their common times from.
inline LeaseTiming readLeaseTiming(SettingsReader& reader)
{
    using std::chrono::milliseconds;
    using std::chrono::minutes;
    Duration maxLease = reader.milliseconds("times", "max_lease_ms", milliseconds(1000), milliseconds(100), minutes(1));
    Duration stopTimeout = reader.milliseconds("times", "stop_timeout_ms", milliseconds(50), milliseconds(1), minutes(1));
    Duration resendInterval = reader.milliseconds("times", "resend_ms", milliseconds(1300), milliseconds(100), minutes(1));
    if (resendInterval < 4 * stopTimeout)
        reader.fault("times", "resend_ms", "", "give at least four times stop_timeout_ms, or runs of one job overlap");
    return LeaseTiming::derive(maxLease, stopTimeout, resendInterval);
}

} // namespace Lagoonpick
