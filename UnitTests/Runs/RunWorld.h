#pragma once

#include "Lagoonpick/Job/JobEntryCore.h"
#include "Lagoonpick/Run/RunAgentCore.h"
#include "StandIns/LeasedTarget.h"
#include "UnitTests/Runs/RunLoad.h"

#include <memory>
#include <queue>

namespace Lagoonpick {

/// The faults that a `RunWorld` injects. Unless noted otherwise, each is the probability per entry, agent, target or link in
/// each step of 100 ms.
struct RunFaults {
    std::string name_;
    double agentKill_ { 0 };
    /// Each agent has the name of another one, beside another target: an instance was replaced under its name and goes on.
    bool hasNamesakes_ { false };
    double entryKill_ { 0 };
    /// The process is suspended for up to 4 s and handles its pending input afterwards.
    double entrySuspension_ { 0 };
    /// As `entrySuspension_`, for up to 3 s.
    double agentSuspension_ { 0 };
    double linkReset_ { 0 };
    /// The link delays all messages for up to 3 s without closing.
    double linkCut_ { 0 };
    /// The way up or down between an agent and all entries gets slower little by little, by up to `maxLatency_`, and fast again
    /// within 6 s. Messages and the end of a link arrive in order.
    double slowWay_ { 0 };
    Duration maxLatency_ { std::chrono::milliseconds(600) };
    /// For up to 4 s, nothing from the agent reaches the entries and no link opens; meanwhile the way down is slow as with
    /// `slowWay_`.
    double lostWayUp_ { 0 };
    /// The process does not run for 100 to 390 ms, too short to count as suspended: it handles what waited as current.
    double entryStall_ { 0 };
    /// As `entryStall_`.
    double agentStall_ { 0 };
    double targetRestart_ { 0 };
    /// Share of these restarts before which the target's clock has stepped back.
    double targetClockStepBack_ { 0 };
    /// Share of the starts at which the target crashes as it begins the task, without an answer; it is back under its id at once.
    double crashAtStart_ { 0 };
    /// Another target takes the place of the agent's, by half without the label that half of the jobs require then.
    double targetReplacement_ { 0 };
    /// The agent's machine is replaced: another agent of that name joins within 1.5 s, with another target, while the former two
    /// run on for up to 4 s, cut off from the entries.
    double machineReplacement_ { 0 };
    /// Calls to the target and its heartbeats are lost for up to 2.5 s.
    double targetCut_ { 0 };
    /// Stops to the target are lost for up to 3 s, while it answers its other calls.
    double stopLoss_ { 0 };
    /// The target drains until it restarts.
    double targetDrain_ { 0 };
    /// The clock that the agent's next incarnation starts with is up to 5 s behind.
    double clockStepBack_ { 0 };
    /// Share of starts and stops that get no answer and are carried out seconds later.
    double delayedCall_ { 0 };
    /// Such calls outlive a restart of their target: its next incarnation carries them out.
    bool delayedCallOutlivesRestart_ { false };
    /// Share of the target's answers that are lost.
    double answerLoss_ { 0 };
    /// The target is set to fail either all its tasks or no more of them, with equal probability.
    double targetFailure_ { 0 };
    /// Another writer's heartbeat reaches the agent: it names an unknown target, or another start time of the real one.
    double strayHeartbeat_ { 0 };
    /// An agent does not know a random entry for up to 4 s, so that it attaches to others and returns later.
    double entryHidden_ { 0 };
    /// Number of entries that an agent attaches to; with fewer than there are, attachments change when entries are lost.
    std::uint32_t maxEntries_ { RunAgentCoreSettings().maxEntries_ };
    /// Operators evacuate a zone, or withdraw its evacuation.
    double zoneChange_ { 0 };
    /// Share of these changes that an entry's watch does not report, so that it finds them by its next read.
    double zoneChangeMissed_ { 0 };
    /// Share of an entry's reads of the zones that are answered up to 1.5 s late.
    double zoneReadLate_ { 0 };
    /// An entry's reads of the zones get no answer for up to 2 s.
    double storeCut_ { 0 };
    /// Share of requests whose callers disconnect within 0.3 s.
    double callerDisconnect_ { 0 };
    /// Longest time that a task takes.
    Duration longestTask_ { std::chrono::milliseconds(900) };
    /// Mean utilization of the targets, as a share of their capacity.
    double load_ { 0.5 };
};

/// Simulates entries, agents and targets in virtual time, with callers that send a job up to three times until they get a
/// final answer.
///
/// `JobEntryCore` and `RunAgentCore` make the decisions, as in the programs; links, targets and callers are simulated and
/// follow `RunFaults` or a `LoadPlan`. Single-threaded; the same seed gives the same history.
class RunWorld {
public:
    /// Generates random jobs and injects the faults at random.
    RunWorld(RunFaults faults, std::uint64_t seed);
    /// Takes jobs, targets and disturbances from a plan, which must outlive the world.
    RunWorld(const LoadPlan& plan, std::uint64_t seed);
    ~RunWorld();

    /// Runs for a span of virtual time with random jobs and faults, both from 2 s on.
    void run(Duration span);

    /// Plays the whole plan that the world was constructed with.
    LoadOutcome play();

    /// Called when a run starts (`end` empty) or ends on a target, with the time since the load started.
    using RunObserver = std::function<void(std::size_t target, const RunName& name, Duration time, std::optional<Wire::RunEnd> end)>;
    void observeRuns(RunObserver observer) { runObserver_ = std::move(observer); }

    /// Violated invariants, one line each.
    const std::vector<std::string>& violations() const { return violations_; }
    std::uint64_t jobsDone() const { return jobsDone_; }
    std::uint64_t jobsSent() const { return jobsSent_; }
    std::uint64_t tasksStarted() const { return tasksStarted_; }
    /// Number of starts in zones whose evacuation was withdrawn before.
    std::uint64_t startsAfterWithdrawal() const { return startsAfterWithdrawal_; }
    /// Number of runs that ended because they were stopped.
    std::uint64_t runsStopped() const { return runsStopped_; }
    /// Number of messages between entries and agents that start, stop or end a run.
    std::uint64_t taskMessages() const { return taskMessages_; }
    /// Number of all other messages between entries and agents.
    std::uint64_t controlMessages() const { return controlMessages_; }

private:
    struct Link;
    struct Way;
    struct Entry;
    struct Agent;
    struct Caller;

    /// Schedules `action` at a point in virtual time.
    void at(Time time, std::function<void()> action);
    /// Returns true with this probability.
    bool chance(double share);
    /// Returns a random duration, evenly distributed between the limits.
    Duration randomDuration(Duration minimum, Duration maximum);

    RunWorld(RunFaults faults, std::uint64_t seed, const LoadPlan* plan);

    /// Sends a job to a random entry. Its caller disconnects after `leavesAfter`, by default after the request's timeout.
    void sendJob(const std::string& id, const JobRequest& request, int attempt, std::optional<Duration> leavesAfter = std::nullopt);
    void sendPlannedJob(const PlannedJob& job);
    /// Starts or ends a phase of the plan on the targets that it affects.
    void applyPhase(const LoadPhase& phase, std::size_t index, bool hasEnded);
    void updateTarget(std::size_t target);
    /// Stops an agent and its target without closing their connections.
    void powerOff(Agent& agent);
    /// Returns the needs, the length and the end of a run that a target starts.
    StandIns::LeasedTarget::Running describeRun(const RunName& name);
    void advanceTargets();
    void runUntil(Time end);
    /// Handles the end of a caller's request; `answer` is empty if the connection ended without one.
    void finishAttempt(std::uint64_t caller, std::optional<JobAnswer> answer);
    void injectFaults();
    void injectZoneChanges();
    void changeZone(const std::string& zone, bool isEvacuated);
    void scheduleZoneReads(Entry& entry, std::uint64_t incarnation, Duration delay);
    /// Has an entry read the evacuated zones regularly.
    void beginZoneReads(Entry& entry);
    void readZones(Entry& entry, std::uint64_t incarnation);
    /// The availability zone of a machine, by its index.
    static std::string zoneOf(std::size_t machine);
    /// Checks that no process in contact has an old set of zones.
    void checkZones();
    void checkStartsSent(const Agent& agent, const std::vector<StartCall>& starts);
    void checkZoneOfStart(std::size_t machine, const RunName& name);
    void injectEntryFaults();
    void injectAgentFaults();
    void injectTargetFaults(Agent& agent);
    void injectLinkFaults();
    void killEntry(Entry& entry);
    void killAgent(Agent& agent);
    void replaceMachine(Agent& agent);
    void hideEntry(Agent& agent);
    void cutLink(const std::shared_ptr<Link>& link);
    void slowDown(Way& way, Duration span);
    void injectWayFaults(Agent& agent);
    void stallEntry(Entry& entry);
    void stallAgent(Agent& agent);
    /// Passes an input to a process as its host does: once it is not suspended, and after reporting a suspension to the core.
    /// Drops the input if the process has stopped or is in another incarnation.
    void deliverToEntry(Entry& entry, std::uint64_t incarnation, const std::function<void()>& input);
    void deliverToAgent(Agent& agent, std::uint64_t incarnation, const std::function<void()>& input);
    /// Reports a suspension to the core and handles the inputs that arrived during it.
    void beginEntryInput(Entry& entry);
    void beginAgentInput(Agent& agent);
    void tickEntry(Entry& entry);
    void tickAgent(Agent& agent);
    void applyEntryEffects(Entry& entry);
    void applyAgentEffects(Agent& agent);
    /// Calls the target unless it is cut off or restarts before the call arrives. `onNoAnswer` runs after the timeout even if
    /// an answer has arrived.
    void callTarget(Agent& agent, const std::function<void(StandIns::LeasedTarget&, bool isLate)>& call, const std::function<void()>& onNoAnswer, Duration timeout, bool canBeLate);
    void sendStart(Agent& agent, const StartCall& start);
    void sendStop(Agent& agent, const StopCall& stop);
    void sendLease(Agent& agent, const LeaseCall& call);
    void recordCall(Agent& agent, Duration timeout, std::function<void()> onNoAnswer);
    void resetCalls(Agent& agent);
    /// Restarts an agent's target under its id.
    void restartTarget(Agent& agent);
    /// Has an agent choose its entries anew: connects it to those that are new and closes its links to those that it left.
    void selectEntries(Agent& agent);
    /// Opens a link if the agent has none to the entry, as soon as the ways between them permit one.
    void connect(Entry& entry, Agent& agent);
    void connectLater(Entry& entry, Agent& agent, Duration delay);
    /// Closes a link: each end that is to be notified receives what was sent to it before, then the close; the other one has closed
    /// it. Once the agent knows, it connects again unless it has restarted or chosen other entries.
    void closeLink(const std::shared_ptr<Link>& link, bool notifiesEntry, bool notifiesAgent);
    void endLinkAtEntry(const std::shared_ptr<Link>& link);
    void endLinkAtAgent(const std::shared_ptr<Link>& link);
    /// Returns when what is sent now on a link arrives, in order.
    Time reserveArrival(Link& link, bool toAgent) const;
    void transmit(const std::shared_ptr<Link>& link, bool toAgent, Wire::RunMessage message);
    std::shared_ptr<Link> findLink(LinkId id) const;
    void startEntry(Entry& entry);
    /// Adds a machine with an agent and a target.
    Agent& addMachine(std::string agentName, std::string target, const Wire::Resources& capacity);
    void startAgent(Agent& agent);
    void sendHeartbeat(Agent& agent);
    void sendStrayHeartbeat(Agent& agent);
    void recordDrain(Agent& agent, const TargetHeartbeat& heartbeat);
    /// Forgets the drain of a target or an agent that has ended.
    void resetDrain(Agent& agent);
    /// Called by a target when a run starts or ends there.
    void runStarted(std::size_t target, const RunName& name);
    void runEnded(std::size_t target, const RunName& name, Wire::RunEnd end);
    void reportViolation(std::string text);
    void trace(const std::string& source, const std::vector<LogLine>& lines) const;
    /// Traces a message that is handled late.
    void traceAge(const std::string& receiver, const std::string& sender, const Wire::RunMessage& message, Time sentAt) const;

    RunFaults faults_;
    /// The plan that is played; null for random jobs and faults.
    const LoadPlan* plan_;
    Time planStartedAt_;
    /// The jobs of the plan that were sent, by id.
    std::map<std::string, const PlannedJob*> plannedJobs_;
    std::optional<LoadOutcome> outcome_;
    std::mt19937_64 random_;
    Time now_;
    Time end_;
    struct Event {
        Time time_;
        /// Orders events of the same time as they were scheduled.
        std::uint64_t order_;
        std::shared_ptr<std::function<void()>> action_;
        bool operator>(const Event& other) const { return std::tie(time_, order_) > std::tie(other.time_, other.order_); }
    };
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::uint64_t lastEvent_ { 0 };
    std::vector<std::unique_ptr<Entry>> entries_;
    std::vector<std::unique_ptr<Agent>> agents_;
    std::map<LinkId, std::shared_ptr<Link>> links_;
    std::uint64_t lastLink_ { 0 };
    std::map<std::uint64_t, Caller> callers_;
    std::uint64_t lastCaller_ { 0 };
    std::uint64_t lastIncarnation_ { 0 };
    std::uint64_t lastJob_ { 0 };
    /// Index of the target on which each running task runs, by task name.
    std::map<std::string, std::size_t> runningTarget_;
    /// A job as its callers and targets have observed it.
    struct JobRecord {
        /// A task of the job has started.
        bool hasStarted_ { false };
        /// All attempts so far were rejected.
        bool wasOnlyRejected_ { true };
        /// No final answer yet, and attempts are left.
        bool isOpen_ { true };
        /// Names of the tasks that were done on a target.
        std::set<std::string> doneTasks_;
        std::uint32_t taskCount_ { 0 };
        /// Label that the job's targets must have; empty for none.
        std::string requiredLabel_;
    };
    std::map<std::string, JobRecord> jobs_;
    /// Whether operators have evacuated a zone, and since when.
    struct ZoneChange {
        bool isEvacuated_ { false };
        Time at_;
    };
    std::map<std::string, ZoneChange> zoneChanges_;
    std::uint64_t storeRevision_ { 1 };
    std::uint64_t startsAfterWithdrawal_ { 0 };
    std::vector<std::string> violations_;
    std::uint64_t jobsDone_ { 0 };
    std::uint64_t jobsSent_ { 0 };
    std::uint64_t tasksStarted_ { 0 };
    std::uint64_t runsStopped_ { 0 };
    RunObserver runObserver_ { [](std::size_t, const RunName&, Duration, std::optional<Wire::RunEnd>) {} };
    std::uint64_t taskMessages_ { 0 };
    std::uint64_t controlMessages_ { 0 };
};

} // namespace Lagoonpick
