#pragma once

#include "Lagoonpick/Core/Error.h"
#include "Lagoonpick/Run/TargetCalls.h"

namespace Lagoonpick {

/// What an agent's next life has to know of its target before the target's next heartbeat, as kept in the store: above
/// all whether the target leaves. JSON with the fields `target`, `born_ms`, `service`, `availability_zone`, `labels`,
/// `milli_cores`, `memory_mb`, `accelerators` and `draining`.
std::string encodeTargetRecord(const TargetHeartbeat& heartbeat);
Outcome<TargetHeartbeat> decodeTargetRecord(std::string_view text);

} // namespace Lagoonpick
