#pragma once

#include "Lagoonpick/Job/JobEntryCore.h"
#include "Lagoonpick/Run/RunAgentCore.h"
#include "StandIns/LeasedTarget.h"
#include "UnitTests/Runs/RunLoad.h"

#include <memory>
#include <queue>

namespace Lagoonpick {

/// What goes wrong in a run of the world; how often, as a share of steps of 100 ms.
struct RunFaults {
    std::string name_;
    double agentKill_ { 0 };
    double entryKill_ { 0 };
    double entryFreeze_ { 0 };
    double agentFreeze_ { 0 };
    double linkReset_ { 0 };
    double linkCut_ { 0 };
    double targetRestart_ { 0 };
    double targetCut_ { 0 };
    double drain_ { 0 };
    double clockBack_ { 0 };
    /// Share of starts and stops that get no answer and are carried out seconds later.
    double appliedLate_ { 0 };
    /// Share of answers of the target that are lost.
    double answerLost_ { 0 };
    double failing_ { 0 };
    /// Share of callers that leave early.
    double giveUp_ { 0 };
    double load_ { 0.5 };
};

/// Entries, agents and targets in virtual time, with callers that send a job again when it got no final answer.
/// The decisions are the real ones; links, targets and callers are fakes that misbehave as told.
class RunWorld {
public:
    RunWorld(RunFaults faults, std::uint64_t seed);
    /// A world for the jobs, targets and disturbances of a plan, which must outlive it.
    RunWorld(const LoadPlan& plan, std::uint64_t seed);
    ~RunWorld();

    void run(Duration span);

    /// Plays the whole plan that this world was made for.
    LoadOutcome play();

    /// What broke, one line each; empty if nothing did.
    const std::vector<std::string>& breaks() const { return breaks_; }
    std::uint64_t jobsDone() const { return done_; }
    std::uint64_t jobsSent() const { return sent_; }
    std::uint64_t tasksStarted() const { return tasksStarted_; }
    /// Messages between entries and agents about single tasks.
    std::uint64_t taskMessages() const { return taskMessages_; }

private:
    struct Link;
    struct Entry;
    struct Agent;
    struct Caller;

    void at(Time time, std::function<void()> action);
    bool chance(double share);
    Duration between(Duration least, Duration most);

    RunWorld(RunFaults faults, std::uint64_t seed, const LoadPlan* plan);

    void sendJob(const std::string& id, const JobRequest& request, int attempt, std::optional<Duration> leavesAfter = std::nullopt);
    void sendPlanned(const PlannedJob& job);
    void apply(const LoadPhase& phase, std::size_t index, bool isOver);
    void updateTarget(std::size_t target);
    void losePower(Agent& agent);
    StandIns::LeasedTarget::Running describe(const RunName& name);
    void advanceTargets();
    void runUntil(Time end);
    void finishAttempt(std::uint64_t caller, std::optional<JobAnswer> answer);
    void misbehave();
    void harmEntries();
    void harmAgents();
    void harmTarget(Agent& agent);
    void harmLinks();
    void killEntry(Entry& entry);
    void killAgent(Agent& agent);
    void cutLink(const std::shared_ptr<Link>& link);
    /// Hands an input to a process as its host would: once it runs, after it has noticed that it stood still.
    void intoEntry(Entry& entry, std::uint64_t life, const std::function<void()>& input);
    void intoAgent(Agent& agent, std::uint64_t life, const std::function<void()>& input);
    void wakeEntry(Entry& entry);
    void wakeAgent(Agent& agent);
    void tickEntry(Entry& entry);
    void tickAgent(Agent& agent);
    void applyEntry(Entry& entry);
    void applyAgent(Agent& agent);
    void callTarget(Agent& agent, const std::function<void(StandIns::LeasedTarget&, bool isLate)>& call, const std::function<void()>& giveUp, Duration timeout, bool canBeLate);
    void sendStart(Agent& agent, const StartCall& start);
    void sendStop(Agent& agent, const StopCall& stop);
    void sendLease(Agent& agent, const LeaseCall& call);
    void noteCall(Agent& agent, Duration timeout, std::function<void()> giveUp);
    void resetCalls(Agent& agent);
    void connect(Entry& entry, Agent& agent);
    void breakLink(Link& link, bool tellEntry, bool tellAgent);
    void transmit(const std::shared_ptr<Link>& link, bool toAgent, Wire::RunMessage message);
    std::shared_ptr<Link> linkOf(LinkId id) const;
    void startEntry(Entry& entry);
    void startAgent(Agent& agent);
    void beat(Agent& agent);
    void began(std::size_t target, const RunName& name);
    void ended(std::size_t target, const RunName& name, Wire::RunEnd end);
    void report(std::string text);
    void trace(const std::string& source, const std::vector<LogLine>& lines) const;

    RunFaults faults_;
    /// The load that is played; none for a history of faults.
    const LoadPlan* plan_;
    Time planBeganAt_;
    std::map<std::string, const PlannedJob*> planned_;
    std::optional<LoadOutcome> outcome_;
    std::mt19937_64 random_;
    Time now_;
    Time end_;
    struct Event {
        Time time_;
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
    /// What each task runs on now.
    std::map<std::string, std::size_t> runningOn_;
    struct JobRecord {
        bool hasStarted_ { false };
        bool wasOnlyRejected_ { true };
        bool isOpen_ { true };
        std::set<std::string> doneTasks_;
        std::uint32_t taskCount_ { 0 };
    };
    std::map<std::string, JobRecord> jobs_;
    std::vector<std::string> breaks_;
    std::uint64_t done_ { 0 };
    std::uint64_t sent_ { 0 };
    std::uint64_t tasksStarted_ { 0 };
    std::uint64_t taskMessages_ { 0 };
};

} // namespace Lagoonpick
