#pragma once

#include "Lagoonpick/Core/Error.h"
#include "Lagoonpick/Run/TargetCalls.h"

namespace Lagoonpick {

/// The record of a target in the store: what the agent's next incarnation needs before the target's next heartbeat, above
/// all whether the target is draining. JSON with the fields `target`, `born_ms`, `service`, `availability_zone`, `labels`,
/// `milli_cores`, `memory_mb`, `accelerators` and `draining`.
std::string encodeTargetRecord(const TargetHeartbeat& heartbeat);
Outcome<TargetHeartbeat> decodeTargetRecord(std::string_view text);

} // namespace Lagoonpick
