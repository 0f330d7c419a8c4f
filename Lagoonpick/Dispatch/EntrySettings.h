#pragma once

#include "Lagoonpick/Core/Time.h"
#include "Lagoonpick/Dispatch/PolicyName.h"

#include <cstdint>
#include <string>

namespace Lagoonpick {

/// The settings that an entry's decisions depend on. Read by `readEntryHostSettings`.
struct EntrySettings {
    std::string name_;
    std::string availabilityZone_;
    /// Address at which other entries reach this one, as `IP:port`.
    std::string peerAddress_;
    /// A submission is remembered for this long after its id was created; a request with an older, unknown id is refused.
    Duration rememberingWindow_ { std::chrono::minutes(10) };
    /// Maximum time by which an id's timestamp may be ahead of this instance's clock.
    Duration maxIdAhead_ { std::chrono::seconds(5) };
    /// Maximum difference between the clocks of two instances.
    Duration clockError_ { std::chrono::seconds(2) };
    /// A link on which nothing was sent for this long gets a heartbeat.
    Duration heartbeatInterval_ { std::chrono::seconds(1) };
    /// A link on which nothing was received for this long is closed.
    Duration linkTimeout_ { std::chrono::seconds(3) };
    /// Time to live of this entry's lease. Entries whose lease has been missing for this long are fenced.
    Duration leaseTtl_ { std::chrono::seconds(6) };
    /// How far into the future the entries' table is fixed; a new epoch begins at that horizon or later.
    Duration horizon_ { std::chrono::seconds(20) };
    /// Maximum time that a request waits for its job to end; also the default.
    Duration maxWait_ { std::chrono::seconds(60) };
    std::uint32_t maxTasksPerJob_ { 450 };
    /// Maximum number of pending and outstanding tasks at this entry.
    std::uint32_t maxTasksHeld_ { 200'000 };
    /// Maximum number of jobs, open or ended, that are kept.
    std::uint32_t maxJobsRemembered_ { 1'000'000 };
    /// Maximum total size of the answers that are kept; the oldest are evicted first.
    std::uint64_t maxKeptBytes_ { 67'108'864 };
    /// Maximum number of waiting requests; applies to callers' requests, to forwards in each direction and to settlements
    /// separately.
    std::uint32_t maxRequests_ { 20'000 };
    /// A task that was refused at this many attempts is not sent again.
    std::uint32_t maxAttempts_ { 16 };
    std::uint32_t defaultTaskTimeoutMilliseconds_ { 30'000 };
    /// Tasks that may wait at a target beyond its slots, as far as this entry's load data shows; see `PolicyInput`.
    std::uint32_t queueDepth_ { 6 };
    /// A job is due this long after its acceptance for each of its tasks, so that small jobs overtake large ones.
    Duration duePerTask_ { std::chrono::milliseconds(20) };
    /// A job is refused if the tasks that already wait are expected to take longer than this.
    Duration maxBacklog_ { std::chrono::seconds(10) };
    PolicyName policy_ { PolicyName::ExpectedFinish };
    bool operator==(const EntrySettings&) const = default;
};

} // namespace Lagoonpick
