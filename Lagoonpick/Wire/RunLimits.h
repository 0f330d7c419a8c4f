#pragma once

#include <cstddef>
#include <cstdint>

/// The limits of what the messages between job entries and run agents hold: far above anything real, and so low that sums and
/// products of a few values fit into their types.
namespace Lagoonpick::Wire {

/// Numbers that count up from 1: of runs, of ends, of versions. Exact as a double too.
constexpr std::uint64_t maxCounter = 1ULL << 53U;
/// A year.
constexpr std::uint64_t maxSpanMicroseconds = 31'536'000'000'000;
/// The end of the year 9999.
constexpr std::uint64_t maxUnixMilliseconds = 253'402'300'799'999;
/// An amount of one resource of a task or a target. Sums of amounts may exceed it.
constexpr std::uint32_t maxAmount = 1'000'000'000;
/// A slowdown of a million.
constexpr std::uint64_t maxSlowdownPermille = 1'000'000'000;
/// Names of processes, availability zones, services and labels.
constexpr std::size_t maxNameBytes = 256;
constexpr std::size_t maxLabels = 64;
/// Evacuated availability zones.
constexpr std::size_t maxEvacuatedZones = 1024;
/// Places in the order of queued runs for which a report gives the backlog.
constexpr std::size_t maxQueuedBacklogs = 16;
constexpr std::size_t maxAddressBytes = 64;
constexpr std::size_t maxAddresses = 1024;
constexpr std::size_t maxTaskNameBytes = 128;
constexpr std::size_t maxPayloadBytes = 4000;
/// As much as a frame can hold.
constexpr std::size_t maxConfigurationBytes = 16'777'216;

} // namespace Lagoonpick::Wire
