#pragma once

#include "Lagoonpick/Observability/EventLog.h"
#include "Lagoonpick/Observability/TimeHistogram.h"
#include "Lagoonpick/Run/AddressTable.h"
#include "Lagoonpick/Run/ColdStart.h"
#include "Lagoonpick/Run/ConfigurationFetch.h"
#include "Lagoonpick/Run/EntrySelection.h"
#include "Lagoonpick/Run/EntrySession.h"
#include "Lagoonpick/Run/EvacuationState.h"
#include "Lagoonpick/Run/RunAgentCoreSettings.h"
#include "Lagoonpick/Run/RunTable.h"
#include "Lagoonpick/Run/TargetMonitor.h"
#include "Lagoonpick/Run/TargetState.h"
#include "Lagoonpick/Wire/Outgoing.h"

#include <map>
#include <set>

namespace Lagoonpick {

using OutgoingRunMessage = Wire::Outgoing<Wire::RunMessage>;

/// The actions that a `RunAgentCore` requests from its host.
struct RunAgentEffects {
    std::vector<OutgoingRunMessage> messages_;
    std::vector<LinkId> linksToAbort_;
    std::vector<StartCall> starts_;
    std::vector<StopCall> stops_;
    std::vector<LeaseCall> leases_;
    std::vector<LogLine> log_;
};

/// Counts since the start of the process.
struct RunAgentCounters {
    std::uint64_t started_ { 0 };
    std::uint64_t done_ { 0 };
    std::uint64_t failed_ { 0 };
    std::uint64_t stopped_ { 0 };
    std::uint64_t lost_ { 0 };
    std::uint64_t notStarted_ { 0 };
    std::uint64_t startsWithoutRoom_ { 0 };
    std::uint64_t startsUnanswered_ { 0 };
    std::uint64_t leaseAnswersMissed_ { 0 };
    /// How often the target was found to be cold.
    std::uint64_t coldStarts_ { 0 };
    /// Runs that were reported as stalled, and those among them without any progress.
    std::uint64_t stalled_ { 0 };
    std::uint64_t stuck_ { 0 };
    /// Runs far over their expected time on a sound target, which were left to run.
    std::uint64_t stragglers_ { 0 };
    /// How often the target became suspect.
    std::uint64_t suspicions_ { 0 };
};

/// The state machine of an agent that runs tasks under leases. Decides which of the requested runs begin on the target and
/// when, how long their lease lasts, and what is reported to the entries. Uses no sockets and no clock: each input carries
/// the current time, and `takeEffects` returns the resulting actions.
///
/// Four rules prevent two simultaneous runs of one task: only this agent renews the leases, the start numbers of a task rise,
/// a stop must be answered before its run counts as over, and no lease lasts longer than the entries of the runs on the target
/// permit (`mayRunUntil`). Not thread-safe.
class RunAgentCore {
public:
    explicit RunAgentCore(RunAgentCoreSettings settings);

    void linkOpened(LinkId link, Time now);
    void linkClosed(LinkId link, Time now);
    void receive(LinkId link, const Wire::RunMessage& message, Time now);

    void receive(const TargetHeartbeat& heartbeat, Time now);
    /// Restores a heartbeat that an earlier incarnation of this agent stored, unless a heartbeat has arrived since.
    void restore(const TargetHeartbeat& heartbeat, Time now);
    /// Handles a target's notice that it shuts down for good.
    void handleDeparture(const std::string& target, Time now);
    void receiveStartReply(const CallReply& reply, Time now);
    void receiveStopReply(const CallReply& reply, Time now);
    void receive(const LeaseReply& reply, Time now);

    /// Handles a suspension of the process that lasted `suspension`: aborts all links, then handles the entries and the lease that
    /// have timed out.
    void processResumed(Duration suspension, Time now);

    /// Begins no further runs and refuses the queued ones; those on the target continue.
    void beginShutdown(Time now);
    /// True if there are no runs and every connected entry has confirmed the ends that were sent to it.
    bool isIdle() const;

    void tick(Time now);
    RunAgentEffects takeEffects();

    const RunAgentCounters& counters() const { return counters_; }
    /// Times from sending a message to an entry until its confirmation was handled.
    const TimeHistogram& confirmationTimes() const { return confirmationTimes_; }
    const TargetState& target() const { return target_; }
    const TargetMonitor& monitor() const { return monitor_; }
    /// Ratio of run time on the target to expected run time, from the runs that ended and those in progress.
    double slowdown(Time now) const;
    const std::map<Incarnation, EntrySession>& sessions() const { return sessions_; }
    std::size_t linkedEntryCount() const { return links_.size(); }
    std::size_t runCount() const { return runs_.rows().size(); }
    /// Returns the addresses of the entries to keep links to. Chooses them from `listed`, the entries that are connected or were
    /// recently, and those that other entries named recently. An attached entry that is not chosen any more is included until
    /// the link carries no run.
    std::set<std::string> selectEntries(std::set<std::string> listed, Time now);
    std::uint64_t configurationVersion() const { return configuration_.version_; }
    bool isTargetCold(Time now) const { return cold_.isCold(now); }
    const EvacuationState& evacuation() const { return evacuation_; }
    /// True if it is known that the agent's availability zone is not evacuated. Otherwise nothing is started.
    bool isZoneOpen() const { return evacuation_.permitsStarts(settings_.availabilityZone_); }

private:
    using RunId = RunTable::Id;

    EntrySession* sessionOf(LinkId link);
    void recordConfirmation(Incarnation entry, EntrySession& session, std::uint64_t agentTime, Time now);
    /// True if the entry still takes account of the agent's message that it confirmed last.
    bool hasContact(const EntrySession& session, Time now) const;
    /// True if the entry counts its runs here as going on until a lease that ends at `leaseEnd` is over. What it last confirmed is the
    /// only proof of that: messages may be on their way for long.
    bool mayRunUntil(Incarnation entry, Time leaseEnd) const;
    /// True if a run that begins now ends in time also if it lasts as long as the target's lease.
    bool mayStart(Incarnation entry, Time now) const { return mayRunUntil(entry, std::max(leaseEndsAt_, now + settings_.times_.lease_)); }
    void handle(LinkId, const Wire::EntryHello&, Time now);
    void handle(LinkId, const Wire::RunHeartbeat&, Time now);
    void handle(LinkId, const Wire::ConfigurationRequest&, Time now);
    void handle(LinkId, const Wire::ConfigurationCopy&, Time now);
    void handle(LinkId, const Wire::EntryAddresses&, Time now);
    void handle(LinkId, const Wire::EvacuatedZones&, Time now);
    void handle(LinkId, const Wire::StartRun&, Time now);
    void handle(LinkId, const Wire::StopRun&, Time now);
    void handle(LinkId, const Wire::QueryRun&, Time now);
    /// The remaining message types are sent by agents only: the link is aborted.
    void handle(LinkId link, const auto&, Time) { abort(link); }

    bool isOpen() const;
    void recordCold(Time now);
    /// The part of the target's capacity that may be used.
    Wire::Resources capacity(Time now) const { return cold_.reduce(target_.heartbeat().capacity_, now); }
    void startFittingRuns(Time now);
    RunId findNextToStart(Time now) const;
    void start(RunId id, Run& run, Time now);
    void confirmStart(Run& run, Time now);
    void requestStop(RunId id, Run& run, Wire::NotStartedReason reason, Time now);
    void beginStop(RunId id, Run& run, Wire::NotStartedReason reason, Time now);
    void sendStop(RunId id, Run& run, Time now);
    void revokeStart(RunId id, Run& run, Time now);
    void repeatStops(Time now);
    void dropOverdue(Time now);
    void reportStalls(Time now);
    void reportStall(Run& run, const Wire::RunStalled& stalled, Time now);
    void reportSuspicion(Time now);
    void recordStraggler(Run& run, Duration remaining);
    void end(RunId id, Wire::RunEnd end, Wire::NotStartedReason reason, Time now);
    void reportEnd(Incarnation entry, EntrySession& session, Wire::RunEnded ended);
    void refuseQueued(Wire::NotStartedReason reason, Time now);
    void endAllAsLost(std::string_view why, Time now);
    void endAsLost(std::string_view why, bool (*isLost)(const Run&), Time now);
    void stopRunsOf(Incarnation entry, std::string_view why, Time now);

    void keepRenewalsInFlight(Time now);
    /// True if the entries of all runs that may be on the target permit a lease from now on, and no stop has been without an answer for
    /// longer than it may take: an entry that has answered its job confirms on, while the run must not go on.
    bool mayExtendLease(Time now) const;
    void renewLease(Duration wait, Time now);
    /// Records that a call which is sent now asks for a lease.
    void recordLease(Time now);
    /// Records that a call which asked for a lease may have been carried out until now by a next incarnation of the target.
    void recordLeaseOfNext(Time now);
    /// Asks at the target's address which target is there, unless that is being asked already.
    void checkClaim(const TargetHeartbeat& claim, Time now);
    /// True if there are runs that were sent to the target.
    bool mayHaveRuns() const;
    /// Accepts a claim if the known target neither answers nor can still have runs.
    void acceptClaimOfSilentTarget(Time now);
    void beginTarget(Time now);
    void handleAbsence(Time now);
    void handleRestart(Time now);
    void handleUnansweredLease(Time now);
    void handleEnds(const LeaseReply& reply, Time now);
    void handleRunning(const LeaseReply& reply, Time sentAt, Time now);
    void handleOrphans(const std::set<RunName>& listed, const LeaseReply& reply, Time sentAt, Time now);
    void stopOrphan(const RunName& name, Time now);
    void expireLease(Time now);

    /// Marks a session as leaving or as staying.
    void setLeaving(EntrySession& session, bool isLeaving, Time now);
    /// True if the link of a session that is leaving carries no runs and no start can be in transit to it.
    bool canDetach(Incarnation entry, const EntrySession& session, Time now) const;
    bool hasRunsOf(Incarnation entry) const;
    void checkSessions(Time now);
    /// Detaches a session from its link. The entry's address is kept in `knownEntries_`, so that the agent reconnects.
    void dropLink(EntrySession& session, Time now);
    void returnTasksOfEvacuatedZone(Time now);
    /// Handles the revision of an entry's set of evacuated zones: sends it a newer one, or shows it that this agent's is older.
    void exchangeZones(LinkId link, std::uint64_t peerRevision, Time now);
    void sendHeartbeat(LinkId link, Time now);
    void sendHeartbeats(Time now);
    void sendReports(Time now);
    void markReportsDue();
    Wire::TargetReport report(Time now) const;
    void sendReport(const EntrySession& session, Wire::TargetReport report);
    void send(LinkId link, Wire::RunMessage message);
    void raiseFencingToken(Time now);
    void abort(LinkId link);
    void log(LogLine line) { effects_.log_.push_back(std::move(line)); }

    RunAgentCoreSettings settings_;
    RunTable runs_;
    TargetState target_;
    TargetMonitor monitor_;
    ColdStart cold_;
    std::map<Incarnation, EntrySession> sessions_;
    /// All open links, including those without an `EntryHello` so far.
    std::set<LinkId> openLinks_;
    /// The entry at the other end of each link that has sent its `EntryHello`.
    std::map<LinkId, Incarnation> links_;
    AddressTable knownEntries_;
    EntrySelection selection_;
    Wire::ConfigurationCopy configuration_;
    ConfigurationFetch configurationFetch_;
    EvacuationState evacuation_;
    std::uint64_t fencingToken_;
    std::uint64_t lastCall_ { 0 };

    struct PendingLease {
        Time sentAt_;
        std::uint64_t tokenUsed_ { 0 };
        bool extendsLease_ { false };
    };
    std::map<std::uint64_t, PendingLease> pendingLeases_;
    /// When the target last answered a lease call, or when its present incarnation became known.
    Time leaseAnsweredAt_;
    /// When the latest lease that the target may hold ends by this agent's clock, if the target's is as slow as it may be.
    Time leaseEndsAt_;
    /// The same for a next incarnation of the target, of which this agent does not know yet: a call that was meant for the present one
    /// gets the longest lease there. It can have only runs that the present one never listed.
    Time leaseOfNextEndsAt_;
    /// Earliest time of the next regular renewal.
    Time renewAt_;
    /// True once the current incarnation of the target has answered a lease call that was sent to it as such, with everything that
    /// runs there.
    bool hasLeaseAnswer_ { false };
    /// True from the expiry of an unanswered lease until the target answers again.
    bool isLeaseLost_ { false };
    /// Highest `EndedRow::number_` received from the target's present incarnation.
    std::uint64_t highestSeenEnd_ { 0 };
    /// When a call was last found to be unanswered, or another incarnation of the target was first claimed. The target may have
    /// restarted, so no start is sent and no lease extended until it answers a lease call that was sent at or after this time.
    std::optional<Time> unansweredAt_;
    /// No start is sent before this time: the target reported that it is full although by this agent's count it is not.
    Time noRoomUntil_;
    /// Runs on the target that this incarnation of the agent did not start, with the time when their stop was last sent.
    std::map<RunName, Time> orphans_;
    /// Listed runs that are not in `runs_`, with the time when they were first listed.
    std::map<RunName, Time> unknownSince_;
    /// The suspicion that the entries know of.
    bool wasSuspect_ { false };
    bool isShuttingDown_ { false };
    RunAgentCounters counters_;
    TimeHistogram confirmationTimes_;
    RunAgentEffects effects_;
};

} // namespace Lagoonpick
