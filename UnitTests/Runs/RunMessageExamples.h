#pragma once

#include "Lagoonpick/Wire/RunMessage.h"

namespace Lagoonpick {

/// One message of each kind, in the order of the variant, with a value in every field.
inline std::vector<Wire::RunMessage> makeOneOfEachRunMessage()
{
    return {
        Wire::EntryHello { .incarnation_ = Incarnation(5), .name_ = "e", .availabilityZone_ = "z", .address_ = "10.0.0.1:1" },
        Wire::AgentHello { .incarnation_ = Incarnation(6), .name_ = "a", .availabilityZone_ = "z", .controlAddress_ = "10.1.0.1:1", .targetAddress_ = "10.1.0.1:2", .agentTime_ = 1 },
        Wire::RunHeartbeat { 3, 4, 5, 6 },
        Wire::ConfigurationRequest { 8 },
        Wire::ConfigurationCopy { 9, "text" },
        Wire::EntryAddresses { { "10.0.0.1:1", "10.0.0.2:1" } },
        Wire::StartRun { 1, "job.0.0.1", 2, "payload", "service", "label", { 1, 2, 3 }, 4, 5, -6, 9, 7, 8 },
        Wire::StopRun { 1 },
        Wire::QueryRun { 2 },
        Wire::RunEnded { 1, 2, Wire::RunEnd::NotStarted, Wire::NotStartedReason::Unknown, 5 },
        Wire::RunStalled { 4, 700'000, 900'000 },
        Wire::TargetReport { true, true, "s", { "a", "b" }, { 1, 2, 3 }, { 4, 5, 6 }, { 7, 8, 9 }, 1000, 4, { { 0, -5, 5 }, { 2, 6, 7 } }, 5, 6, 7 },
        Wire::EvacuatedZones { 10, { "a", "b" } },
    };
}

} // namespace Lagoonpick
