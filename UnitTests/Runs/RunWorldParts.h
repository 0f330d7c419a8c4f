#pragma once

#include "UnitTests/Runs/RunWorld.h"

// Declarations shared by the source files of `RunWorld`.

namespace Lagoonpick {

/// One-way latency between an entry and an agent.
inline constexpr Duration linkDelay = std::chrono::milliseconds(1);
/// One-way latency between an agent and its target.
inline constexpr Duration targetDelay = std::chrono::milliseconds(2);
/// Maximum number of times that a caller sends a job.
inline constexpr int maxAttempts = 3;

/// The label that half of the jobs require when targets are replaced.
inline constexpr auto requiredLabel = "kind";

/// One direction of the links between an agent and all entries.
struct RunWorld::Way {
    /// While it is slow, its latency grows by up to `peak_` and falls again.
    Time slowFrom_;
    Time slowUntil_;
    Duration peak_ {};
    /// Nothing arrives before this time.
    Time lostUntil_;

    Duration latency(Time now) const;
};

/// A link between one incarnation of an entry and one of an agent.
struct RunWorld::Link {
    LinkId id_;
    Entry* entry_;
    Agent* agent_;
    std::uint64_t entryIncarnation_;
    std::uint64_t agentIncarnation_;
    /// False once it is closed: no more is sent.
    bool isOpen_ { true };
    /// False once the entry has closed it or been notified.
    bool isOpenAtEntry_ { true };
    bool isOpenAtAgent_ { true };
    /// When what was last sent to the entry arrives.
    Time arrivesAtEntry_ {};
    Time arrivesAtAgent_ {};
    /// Messages are held back, and neither end is notified when the link closes.
    bool isCut_ { false };
    /// Messages held back while the link is cut; true for those to the agent.
    std::vector<std::pair<bool, Wire::RunMessage>> heldMessages_ {};
};

/// An entry process.
struct RunWorld::Entry {
    std::string address_;
    std::unique_ptr<JobEntryCore> core_;
    /// Number of starts of the process; identifies its incarnation.
    std::uint64_t incarnationCount_ { 0 };
    bool isUp_ { false };
    Time suspendedUntil_;
    /// When the process last handled an input.
    Time lastInputAt_;
    /// Until this time, reads of the evacuated zones get no answer.
    Time storeCutUntil_;
    /// Inputs that arrived while the process was suspended.
    std::vector<std::function<void()>> pendingInputs_;
};

/// An agent process and its target.
struct RunWorld::Agent {
    std::size_t index_;
    std::string name_;
    /// True once another machine takes its place.
    bool isReplaced_ { false };
    std::unique_ptr<RunAgentCore> core_;
    std::unique_ptr<StandIns::LeasedTarget> target_;
    /// Number of starts of the process; identifies its incarnation.
    std::uint64_t incarnationCount_ { 0 };
    bool isUp_ { false };
    Time suspendedUntil_;
    /// When the process last handled an input.
    Time lastInputAt_;
    /// Until this time, calls to the target and its heartbeats are lost.
    Time targetCutUntil_;
    /// Until this time, stops to the target are lost.
    Time stopsLostUntil_;
    /// When the agent received the first heartbeat that reports the drain of its target.
    std::optional<Time> drainAcknowledgedAt_;
    /// When the agent received the first heartbeat of a draining target that it has not acknowledged.
    std::optional<Time> drainReportedAt_;
    /// Deviation, in milliseconds, of the clock from which the agent takes its fencing token.
    std::int64_t clockOffsetMs_ { 0 };
    /// Inputs that arrived while the process was suspended.
    std::vector<std::function<void()>> pendingInputs_;
    /// Addresses of the entries that the agent keeps links to.
    std::set<std::string> selected_;
    /// Address of an entry that the agent does not know, and until when.
    std::string hiddenEntry_;
    Time hiddenUntil_;
    /// From the agent to the entries.
    Way wayUp_ {};
    /// From the entries to the agent.
    Way wayDown_ {};
    /// Pending calls to the target: when they time out, and what is run if their connections are reset before.
    std::vector<std::pair<Time, std::function<void()>>> pendingCalls_;
};

/// A request for a job that has not been answered.
struct RunWorld::Caller {
    /// Id of the job.
    std::string id_;
    JobRequest request_;
    /// Counts the requests for the job, this one included.
    int attempt_;
    /// Index of the entry that the request was sent to.
    std::size_t entry_;
    std::uint64_t entryIncarnation_;
};

} // namespace Lagoonpick
