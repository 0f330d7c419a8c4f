#pragma once

#include "Lagoonpick/Observability/EventLog.h"
#include "Lagoonpick/Run/AddressTable.h"
#include "Lagoonpick/Run/EntrySession.h"
#include "Lagoonpick/Run/RunSettings.h"
#include "Lagoonpick/Run/RunTable.h"
#include "Lagoonpick/Run/TargetMonitor.h"
#include "Lagoonpick/Run/TargetState.h"
#include "Lagoonpick/Wire/Outgoing.h"

#include <map>
#include <set>

namespace Lagoonpick {

using OutgoingRunMessage = Wire::Outgoing<Wire::RunMessage>;

/// What a `RunCore` wants done.
struct RunEffects {
    std::vector<OutgoingRunMessage> messages_;
    std::vector<LinkId> linksToAbort_;
    std::vector<StartCall> starts_;
    std::vector<StopCall> stops_;
    std::vector<LeaseCall> leases_;
    std::vector<LogLine> log_;
};

/// Counts since the start of the process.
struct RunCounters {
    std::uint64_t started_ { 0 };
    std::uint64_t done_ { 0 };
    std::uint64_t failed_ { 0 };
    std::uint64_t stopped_ { 0 };
    std::uint64_t lost_ { 0 };
    std::uint64_t notStarted_ { 0 };
    std::uint64_t startsWithoutRoom_ { 0 };
    std::uint64_t startsUnanswered_ { 0 };
    std::uint64_t leaseAnswersMissed_ { 0 };
};

/// The decisions of an agent: which of the runs that entries ask for begin on its target and when, how long their
/// lease lasts, and what the entries are told. No sockets, no clock: inputs come with the time, effects go out.
///
/// Two runs of one task at one time are ruled out by: leases that only this agent renews, run numbers, stops that are
/// answered before a run counts as over, and the silence after which an entry's runs are stopped. Not thread-safe.
class RunCore {
public:
    explicit RunCore(RunSettings settings);

    void opened(LinkId link, Time now);
    void closed(LinkId link, Time now);
    void receive(LinkId link, const Wire::RunMessage& message, Time now);

    void receive(const TargetHeartbeat& heartbeat, Time now);
    /// Takes in what an earlier life of this agent knew of the target, unless the target has spoken since.
    void restore(const TargetHeartbeat& heartbeat, Time now);
    void depart(const std::string& target, Time now);
    void receiveStartReply(const CallReply& reply, Time now);
    void receiveStopReply(const CallReply& reply, Time now);
    void receive(const LeaseReply& reply, Time now);

    /// The process did not run for a while: nothing that was heard before is recent any more.
    void resume(Duration gap, Time now);

    /// Begins no further run; those that run go on.
    void beginShutdown(Time now);
    /// True if nothing runs and every entry that is there has confirmed what it was told.
    bool isIdle() const;

    void tick(Time now);
    RunEffects takeEffects();

    const RunCounters& counters() const { return counters_; }
    const TargetState& target() const { return target_; }
    std::size_t runCount() const { return runs_.rows().size(); }
    /// The addresses of the entries that are there, were there lately, or that others told of lately.
    std::set<std::string> entryAddresses(Time now) const;
    std::uint64_t configurationVersion() const { return configuration_.version_; }

private:
    using RunId = RunTable::Id;

    EntrySession* sessionOf(LinkId link);
    void handle(LinkId, const Wire::EntryHello&, Time now);
    void handle(LinkId, const Wire::RunHeartbeat&, Time now);
    void handle(LinkId, const Wire::ConfigurationCopy&, Time now);
    void handle(LinkId, const Wire::EntryAddresses&, Time now);
    void handle(LinkId, const Wire::StartRun&, Time now);
    void handle(LinkId, const Wire::StopRun&, Time now);
    void handle(LinkId, const Wire::QueryRun&, Time now);
    /// What only agents send.
    void handle(LinkId link, const auto&, Time) { abort(link); }

    bool isOpen() const;
    void startWhatFits(Time now);
    RunId nextToStart() const;
    void start(RunId id, Run& run, Time now);
    void requestStop(RunId id, Run& run, Wire::NotStartedReason reason, Time now);
    void sendStop(RunId id, Run& run, Time now);
    void revokeStart(RunId id, Run& run, Time now);
    void repeatStops(Time now);
    void dropOverdue(Time now);
    void reportStalls(Time now);
    /// How many times as long as expected tasks take here, by those that ended and those that run.
    double slowness(Time now) const;
    void end(RunId id, Wire::RunEnd end, Wire::NotStartedReason reason, Time now);
    void tell(Incarnation entry, EntrySession& session, Wire::RunEnded ended);
    void refuseQueued(Wire::NotStartedReason reason, Time now);
    void loseAll(std::string_view why, Time now);
    void stopRunsOf(Incarnation entry, std::string_view why, Time now);

    void keepLease(Time now);
    void renewLease(Duration wait, Time now);
    void noteRestart();
    void doubt(Time now);
    void noteEnds(const LeaseReply& reply, Time now);
    void noteRunning(const LeaseReply& reply, Time sentAt, Time now);
    void noteOrphans(const std::set<RunName>& listed, Time sentAt, Time now);
    void stopOrphan(const RunName& name, Time now);
    void expireLease(Time now);

    void checkSessions(Time now);
    /// The entry is away, but its address is tried for a while.
    void dropLink(EntrySession& session, Time now);
    void sendPulses(Time now);
    void sendReports(Time now);
    void markReportsDue();
    Wire::TargetReport report(Time now) const;
    void sendReport(const EntrySession& session, Wire::TargetReport report);
    void send(LinkId link, Wire::RunMessage message);
    void raiseToken(Time now);
    void abort(LinkId link);
    void log(LogLine line) { effects_.log_.push_back(std::move(line)); }

    RunSettings settings_;
    RunTable runs_;
    TargetState target_;
    TargetMonitor monitor_;
    std::map<Incarnation, EntrySession> sessions_;
    /// Every link, also those whose other end has not said yet who it is.
    std::set<LinkId> openLinks_;
    std::map<LinkId, Incarnation> links_;
    AddressTable knownEntries_;
    Wire::ConfigurationCopy configuration_;
    std::uint64_t fencingToken_;
    std::uint64_t lastCall_ { 0 };

    struct PendingLease {
        Time sentAt_;
        std::uint64_t tokenUsed_ { 0 };
    };
    std::map<std::uint64_t, PendingLease> pendingLeases_;
    /// When the target last answered a lease call.
    Time leaseAnsweredAt_;
    /// When the last lease that the target may hold ends, by this agent's clock.
    Time leaseEndsAt_;
    /// When to renew next, if no renewal is under way.
    Time renewAt_;
    bool hasLeaseAnswer_ { false };
    bool isLeaseLost_ { false };
    std::uint64_t endsSeen_ { 0 };
    /// A call got no answer then, so the target may have begun anew; no start is sent before it has answered again.
    std::optional<Time> doubtedAt_;
    /// The target has said that it is full although by our count it is not.
    Time noRoomUntil_;
    /// Runs on the target that this life of the agent did not start, and when their stop was sent.
    std::map<RunName, Time> orphans_;
    /// Runs that were listed and are not known here, and since when.
    std::map<RunName, Time> unknownSince_;
    bool isClosing_ { false };
    RunCounters counters_;
    RunEffects effects_;
};

} // namespace Lagoonpick
