#pragma once

#include "Lagoonpick/Dispatch/EntryCore.h"
#include "Lagoonpick/Ledger/AgentCore.h"
#include "UnitTests/History/FakePlatform.h"
#include "UnitTests/History/Record.h"

#include <array>
#include <deque>
#include <memory>
#include <random>

namespace Lagoonpick::History {

/// One kind of event in a history. The numbers of the kinds appear in printed histories.
enum class StepKind : std::uint8_t {
    /// A new submission with an issued id.
    Submit,
    /// A new submission with an id of the caller, created up to 4 s before or after the virtual time.
    SubmitCallerId,
    Resubmit,
    Fetch,
    CancelJob,
    Deliver,
    DeliverAll,
    /// Delivers a message and leaves it in the inbox.
    Duplicate,
    /// Delivers any message of an inbox.
    Reorder,
    /// Cuts a connection; one end notices it at once.
    Cut,
    Connect,
    Tick,
    /// Advances the time by up to 3 s.
    Advance,
    /// Ends a task on a target.
    FinishTask,
    CrashEntry,
    StartEntry,
    CrashAgent,
    StartAgent,
    MakeAgentReady,
    ToggleEntrySuspension,
    ToggleAgentSuspension,
    DrainAgent,
    DrainEntry,
    /// Makes the platform unavailable or available again.
    ToggleOutage,
    ReadView,
    /// Ends a write that an entry requested from the platform.
    ResolveSwap,
    /// Ends the lease of an entry.
    ExpireLease,
    FenceEntry,
};
constexpr std::uint32_t stepKindCount = 28;

/// One event of a history. The numbers select the process, connection, submission or message that the event concerns, and
/// durations and the like; their meaning depends on the kind.
struct Step {
    StepKind kind_ { StepKind::Tick };
    std::uint32_t first_ { 0 };
    std::uint32_t second_ { 0 };
    std::uint32_t third_ { 0 };
};

/// Simulates three entries and two agents in virtual time, with targets, callers, message queues between the processes and a
/// fake platform.
///
/// `EntryCore` and `AgentCore` make the decisions, as in the programs. Time advances and inputs are handled only in
/// steps and in `heal`. Single-threaded and deterministic.
class World {
public:
    /// Starts all processes and connects them.
    World();

    /// Carries out a step; does nothing if the step is not possible at present.
    void run(const Step& step);

    /// Ends all faults and runs the world for 30 s of virtual time; then reports requests without a reply and jobs that have not
    /// ended.
    void heal();

    const Record& record() const { return record_; }

private:
    static constexpr std::size_t entryCount = 3;
    static constexpr std::size_t agentCount = 2;

    struct EntryProcess {
        /// Null while the process does not run.
        std::unique_ptr<EntryCore> core_;
        bool isSuspended_ { false };
        /// Requested writes to the platform, the oldest first.
        std::deque<CompareAndSwap> swaps_;
        /// Requests without a reply.
        std::set<RequestId> requests_;
    };

    struct RunningTask {
        TaskKey key_;
        /// False if the target is unreachable, so that the task does not start there.
        bool isWritten_ { true };
    };

    struct AgentProcess {
        /// Null while the process does not run.
        std::unique_ptr<AgentCore> core_;
        bool isSuspended_ { false };
        bool isReady_ { false };
        std::deque<RunningTask> running_;
    };

    /// One end of a connection, with the messages that are under way to it.
    struct End {
        bool isEntry_ { true };
        std::size_t process_ { 0 };
        LinkId link_ {};
        std::deque<Wire::Message> inbox_;
        bool isOpen_ { true };
    };

    struct Connection {
        std::array<End, 2> ends_;
        /// No more messages are sent on the connection. The ends may notice it at different times.
        bool isCut_ { false };
    };

    void submit(std::size_t entry, const SubmissionId& id, std::uint32_t taskCount);
    void sendRequest(std::size_t entry, Wire::RequestKind kind, const SubmissionId& id);
    /// Passes a message from the inbox of one end to its process. The message stays in the inbox if it is to arrive twice.
    void deliver(Connection&, std::size_t end, std::size_t messageIndex, bool isDuplicate);
    /// Delivers messages until all inboxes of runnable processes are empty, and closes the ends of cut connections.
    void deliverAll();
    void closeEnd(Connection&, std::size_t end);
    void cutProcessLinks(bool isEntry, std::size_t process);
    void connect(bool isAgent, std::size_t from, std::size_t to);
    void connectAll();
    bool isConnected(bool isAgent, std::size_t from, std::size_t to) const;
    void crashEntry(std::size_t);
    void startEntry(std::size_t);
    void crashAgent(std::size_t);
    void startAgent(std::size_t);
    void makeAgentReady(std::size_t);
    void replaceIfFenced(std::size_t);
    void replaceIfDrained(std::size_t);
    void finishTask(std::size_t agent, std::uint32_t choice, std::uint32_t ending);
    /// Ends an entry's lease, optionally suspends the entry, and lets the other entries fence it. Takes 4 s of virtual time.
    void fenceEntry(std::size_t entry, bool withSuspension);
    /// Ends the oldest write that an entry requested. `ending` decides whether the write is lost or its response is.
    void resolveSwap(std::size_t entry, std::uint32_t ending);
    void readView(std::size_t entry);
    void tick();
    void cutLinks(const std::vector<LinkId>& links);
    void applyEntryEffects(std::size_t);
    void applyAgentEffects(std::size_t);
    void enqueue(bool isEntry, std::size_t process, const Wire::OutgoingMessage&);
    /// Selects an open end of a runnable process with messages in its inbox; null if there is none.
    Connection* chooseNonEmptyInbox(std::uint32_t choice, std::size_t& end);
    /// True if the end's process runs and is not suspended.
    bool isRunnable(const End&) const;
    bool isAlive(const End&) const;

    Time now_;
    FakePlatform platform_;
    Record record_;
    std::array<EntryProcess, entryCount> entries_;
    std::array<AgentProcess, agentCount> agents_;
    std::deque<Connection> connections_;
    std::vector<SubmissionId> submissions_;
    std::vector<std::uint32_t> taskCounts_;
    std::uint64_t lastIncarnation_ { 0 };
    std::uint64_t lastLink_ { 0 };
    std::uint64_t lastRequest_ { 0 };
    std::uint64_t lastCallerId_ { 0 };
};

} // namespace Lagoonpick::History
