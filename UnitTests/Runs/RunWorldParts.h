#pragma once

#include "UnitTests/Runs/RunWorld.h"

// What the files of `RunWorld` share.

namespace Lagoonpick {

inline constexpr Duration linkDelay = std::chrono::milliseconds(1);
inline constexpr Duration targetDelay = std::chrono::milliseconds(2);
/// How often a caller sends a job.
inline constexpr int maxAttempts = 3;

struct RunWorld::Link {
    LinkId id_;
    Entry* entry_;
    Agent* agent_;
    std::uint64_t entryLife_;
    std::uint64_t agentLife_;
    bool isOpen_ { true };
    bool isCut_ { false };
    std::vector<std::pair<bool, Wire::RunMessage>> held_ {};
};

struct RunWorld::Entry {
    std::unique_ptr<JobEntryCore> core_;
    std::uint64_t life_ { 0 };
    bool isUp_ { false };
    Time frozenUntil_;
    Time lastRan_;
    std::vector<std::function<void()>> inbox_;
};

struct RunWorld::Agent {
    std::size_t index_;
    std::unique_ptr<RunAgentCore> core_;
    std::unique_ptr<StandIns::LeasedTarget> target_;
    std::uint64_t life_ { 0 };
    bool isUp_ { false };
    Time frozenUntil_;
    Time lastRan_;
    Time targetCutUntil_;
    std::optional<Time> drainAcknowledgedAt_;
    std::int64_t clockOffsetMs_ { 0 };
    std::vector<std::function<void()>> inbox_;
    /// What becomes of the calls that are under way if their connections are reset, and until when they are.
    std::vector<std::pair<Time, std::function<void()>>> calls_;
};

struct RunWorld::Caller {
    std::string id_;
    JobRequest request_;
    int attempt_;
    std::size_t entry_;
    std::uint64_t entryLife_;
};

} // namespace Lagoonpick
