#include "Lagoonpick/Core/SocketAddress.h"
#include "Lagoonpick/Run/Backlog.h"
#include "Lagoonpick/Run/RunAgentCore.h"

#include <algorithm>
#include <utility>

// The part of `RunAgentCore` that handles entries: their links, their requests, and the reports to them.

namespace Lagoonpick {

using Wire::NotStartedReason;
using Wire::RunEnd;

namespace {

/// Maximum number of unconfirmed ends that are kept for an entry; the oldest are dropped.
constexpr std::size_t maxUnconfirmed = 4096;
/// A task that would be returned for lack of room is queued if it is expected to begin within this time: placing it on
/// another target takes about as long, and that target may be full too.
constexpr Duration minTolerableWait = std::chrono::milliseconds(10);
/// A longer task is queued if it is expected to begin within its expected run time divided by this number: so short a wait can't be told
/// from the error of the expected time.
constexpr Duration::rep tolerableWaitDivisor = 5;
/// Time for which a link is kept after the report that the target is closed: starts that the entry sent before it received the
/// report arrive within this time.
constexpr Duration detachDelay = std::chrono::seconds(1);
/// Time for which a task waits at least if the latest confirmation of its entry is too old for the target's lease: the entry's next
/// heartbeat arrives within it.
constexpr Duration confirmationWait = std::chrono::milliseconds(200);

bool servesTask(const TargetHeartbeat& target, const Wire::StartRun& task)
{
    bool hasLabel = task.requiredLabel_.empty() || std::find(target.labels_.begin(), target.labels_.end(), task.requiredLabel_) != target.labels_.end();
    return hasLabel && target.service_ == task.service_;
}

std::uint64_t toAgentTime(Time time)
{
    return static_cast<std::uint64_t>(toUnixMilliseconds(time));
}

} // namespace

void RunAgentCore::linkOpened(LinkId link, Time now)
{
    openLinks_.insert(link);
    send(link, Wire::AgentHello { .incarnation_ = settings_.incarnation_, .name_ = settings_.name_, .availabilityZone_ = settings_.availabilityZone_, .controlAddress_ = settings_.controlAddress_, .targetAddress_ = settings_.targetAddress_, .agentTime_ = toAgentTime(now) });
}

void RunAgentCore::linkClosed(LinkId link, Time now)
{
    if (EntrySession* session = sessionOf(link)) {
        bool hasLeft = canDetach(links_[link], *session, now);
        dropLink(*session, now);
        log(LogLine(hasLeft ? "entry_detached" : "entry_lost").text("entry", session->name_).milliseconds("silent_ms", now - session->lastReceived_).milliseconds("confirmed_ms_ago", now - session->confirmedAt_));
    }
    links_.erase(link);
    openLinks_.erase(link);
}

/// Aborts a link: messages that are still buffered on it are not handled.
void RunAgentCore::abort(LinkId link)
{
    effects_.linksToAbort_.push_back(link);
    links_.erase(link);
    openLinks_.erase(link);
}

void RunAgentCore::receive(LinkId link, const Wire::RunMessage& message, Time now)
{
    // The link was aborted while one of its frames was being handled.
    if (!openLinks_.contains(link))
        return;
    EntrySession* session = sessionOf(link);
    if (!session && !std::holds_alternative<Wire::EntryHello>(message)) {
        abort(link);
        return;
    }
    if (session)
        session->lastReceived_ = now;
    std::visit([&](const auto& alternative) { handle(link, alternative, now); }, message);
}

EntrySession* RunAgentCore::sessionOf(LinkId link)
{
    auto found = links_.find(link);
    return found == links_.end() ? nullptr : &sessions_[found->second];
}

bool RunAgentCore::hasContact(const EntrySession& session, Time now) const
{
    return now - session.confirmedAt_ < settings_.times_.entryTimeout_;
}

bool RunAgentCore::mayRunUntil(Incarnation entry, Time leaseEnd) const
{
    auto session = sessions_.find(entry);
    return session != sessions_.end() && hasContact(session->second, leaseEnd - settings_.times_.lease_);
}

void RunAgentCore::recordConfirmation(Incarnation entry, EntrySession& session, std::uint64_t agentTime, Time now)
{
    if (!agentTime)
        return;
    if (agentTime > toAgentTime(now)) {
        log(LogLine("confirmation_rejected").text("entry", session.name_).number("agent_time", agentTime));
        return;
    }
    Time confirmed = fromUnixMilliseconds(static_cast<std::int64_t>(agentTime));
    confirmationTimes_.add(now - confirmed);
    // The entry may have counted these runs as over meanwhile, so that a later confirmation does not apply to them.
    if (!hasContact(session, now))
        stopRunsOf(entry, "entry_silent", now);
    session.confirmedAt_ = std::max(session.confirmedAt_, confirmed);
    bool isTimely = now - confirmed < settings_.times_.entryTimeout_;
    if (std::exchange(session.isTimely_, isTimely) != isTimely)
        session.isReportDue_ = true;
}

void RunAgentCore::handle(LinkId link, const Wire::EntryHello& hello, Time now)
{
    if (hello.version_ != Wire::runProtocolVersion) {
        log(LogLine("entry_rejected").text("entry", hello.name_).number("version", hello.version_));
        abort(link);
        return;
    }
    if (!isDestinationAddress(hello.address_)) {
        log(LogLine("entry_rejected").text("entry", hello.name_).text("address", hello.address_));
        abort(link);
        return;
    }
    EntrySession& session = sessions_[hello.incarnation_];
    // Messages still buffered on an older link must not be handled after those of this link.
    if (session.link_ && *session.link_ != link)
        abort(*session.link_);
    links_[link] = hello.incarnation_;
    session.name_ = hello.name_;
    session.address_ = hello.address_;
    session.link_ = link;
    session.lastReceived_ = now;
    session.nextReport_ = now;
    session.isReportDue_ = true;
    session.lastSent_ = Time();
    session.leavingSince_.reset();
    for (const auto& ended : session.unconfirmed_)
        send(link, ended);
    log(LogLine("entry_attached").text("entry", hello.name_).number("ends_repeated", session.unconfirmed_.size()));
}

void RunAgentCore::handle(LinkId link, const Wire::RunHeartbeat& runHeartbeat, Time now)
{
    EntrySession& session = *sessionOf(link);
    recordConfirmation(links_[link], session, runHeartbeat.agentTime_, now);
    while (!session.unconfirmed_.empty() && session.unconfirmed_.front().sequence_ <= runHeartbeat.highestSeenEnd_)
        session.unconfirmed_.pop_front();
    if (configurationFetch_.mustAsk(runHeartbeat.configurationVersion_, configuration_.version_, now))
        send(link, Wire::ConfigurationRequest { configuration_.version_ });
    // Shows the newer version to the entry at once: while reports are sent, regular heartbeats are not.
    if (configuration_.version_ > runHeartbeat.configurationVersion_)
        sendHeartbeat(link, now);
    exchangeZones(link, runHeartbeat.zonesRevision_, now);
}

void RunAgentCore::handle(LinkId link, const Wire::ConfigurationRequest& request, Time)
{
    if (configuration_.version_ > request.version_)
        send(link, configuration_);
}

void RunAgentCore::handle(LinkId, const Wire::ConfigurationCopy& copy, Time)
{
    if (copy.version_ <= configuration_.version_)
        return;
    configuration_ = copy;
    log(LogLine("configuration_kept").number("version", copy.version_));
}

void RunAgentCore::handle(LinkId, const Wire::EntryAddresses& entries, Time now)
{
    for (const auto& address : entries.addresses_)
        knownEntries_.record(address, now);
}

std::set<std::string> RunAgentCore::selectEntries(std::set<std::string> listed, Time now)
{
    for (auto& address : knownEntries_.addresses(now))
        listed.insert(std::move(address));
    std::set<std::string> connected;
    for (const auto& [incarnation, session] : sessions_) {
        if (session.link_)
            connected.insert(session.address_);
    }
    listed.insert(connected.begin(), connected.end());
    std::set<std::string> chosen = selection_.choose(listed, connected, now);
    std::set<std::string> selected = chosen;
    for (auto& [incarnation, session] : sessions_) {
        if (!session.link_)
            continue;
        setLeaving(session, !chosen.contains(session.address_), now);
        if (!canDetach(incarnation, session, now))
            selected.insert(session.address_);
    }
    return selected;
}

void RunAgentCore::setLeaving(EntrySession& session, bool isLeaving, Time now)
{
    if (isLeaving == session.leavingSince_.has_value())
        return;
    log(LogLine(isLeaving ? "entry_leaving" : "entry_kept").text("entry", session.name_).number("entries", links_.size()));
    session.leavingSince_ = isLeaving ? std::optional(now) : std::nullopt;
    session.isReportDue_ = true;
    session.nextReport_ = now;
}

bool RunAgentCore::canDetach(Incarnation entry, const EntrySession& session, Time now) const
{
    bool hasLeft = session.leavingSince_ && now - *session.leavingSince_ >= detachDelay;
    return hasLeft && session.unconfirmed_.empty() && !hasRunsOf(entry);
}

bool RunAgentCore::hasRunsOf(Incarnation entry) const
{
    return std::any_of(runs_.rows().begin(), runs_.rows().end(), [entry](const auto& row) { return row.second.entry_ == entry; });
}

void RunAgentCore::handle(LinkId link, const Wire::StartRun& message, Time now)
{
    EntrySession& session = *sessionOf(link);
    Incarnation entry = links_[link];
    session.highestRun_ = std::max(session.highestRun_, message.run_);
    recordConfirmation(entry, session, message.agentTime_, now);
    markReportsDue();
    if (runs_.findOfEntry(entry, message.run_))
        return;
    Run run { .entry_ = entry, .run_ = message.run_, .name_ = { message.task_, message.number_ }, .payload_ = message.payload_, .need_ = message.need_, .work_ = Duration(static_cast<Duration::rep>(message.workMicroseconds_)), .waitUntil_ = now + Duration(static_cast<Duration::rep>(message.waitMicroseconds_)), .order_ = { message.priority_, now + Duration(message.dueInMicroseconds_) }, .deadline_ = now + Duration(static_cast<Duration::rep>(message.callerTimeoutMicroseconds_)) };
    NotStartedReason reason = NotStartedReason::None;
    if (isShuttingDown_ || target_.heartbeat().isDraining_)
        reason = NotStartedReason::Draining;
    else if (!isZoneOpen())
        reason = NotStartedReason::ZoneEvacuated;
    else if (!isOpen() || !hasContact(session, now) || !servesTask(target_.heartbeat(), message))
        reason = NotStartedReason::TargetUnavailable;
    else if (!hasRoom(capacity(now), {}, message.need_) || runs_.queuedCount() >= settings_.maxQueued_)
        reason = NotStartedReason::NoRoom;
    else if (runs_.findOnTarget(run.name_))
        reason = NotStartedReason::StaleStartNumber;
    else if (!message.waitMicroseconds_ && !hasRoom(capacity(now), runs_.used() + runs_.queued(), message.need_)) {
        Duration tolerable = std::max<Duration>(minTolerableWait, run.work_ / tolerableWaitDivisor);
        if (Backlog(runs_, capacity(now), slowdown(now), now).waitOf(orderAt(run, now)) > tolerable)
            reason = NotStartedReason::NoRoom;
        run.waitUntil_ = now + tolerable * 2;
    }
    if (!mayStart(entry, now))
        run.waitUntil_ = std::max(run.waitUntil_, now + confirmationWait);
    RunId id = runs_.add(std::move(run));
    if (reason == NotStartedReason::None)
        return;
    // The entry chose this target by an outdated report: it gets a current one before it chooses again.
    sendReport(session, report(now));
    end(id, RunEnd::NotStarted, reason, now);
}

void RunAgentCore::handle(LinkId link, const Wire::StopRun& message, Time now)
{
    RunId id = runs_.findOfEntry(links_[link], message.run_);
    Run* run = runs_.find(id);
    if (run)
        requestStop(id, *run, NotStartedReason::Recalled, now);
}

void RunAgentCore::handle(LinkId link, const Wire::QueryRun& message, Time)
{
    EntrySession& session = *sessionOf(link);
    Incarnation entry = links_[link];
    session.highestRun_ = std::max(session.highestRun_, message.run_);
    bool isReported = std::any_of(session.unconfirmed_.begin(), session.unconfirmed_.end(), [&](const auto& ended) { return ended.run_ == message.run_; });
    if (isReported || runs_.findOfEntry(entry, message.run_))
        return;
    reportEnd(entry, session, { .run_ = message.run_, .end_ = RunEnd::NotStarted, .reason_ = NotStartedReason::Unknown });
}

void RunAgentCore::reportEnd(Incarnation, EntrySession& session, Wire::RunEnded ended)
{
    ended.sequence_ = ++session.lastEnd_;
    if (session.unconfirmed_.size() == maxUnconfirmed)
        session.unconfirmed_.pop_front();
    session.unconfirmed_.push_back(ended);
    if (session.link_)
        send(*session.link_, ended);
}

void RunAgentCore::dropLink(EntrySession& session, Time now)
{
    session.link_.reset();
    knownEntries_.record(session.address_, now);
}

void RunAgentCore::checkSessions(Time now)
{
    for (auto next = sessions_.begin(); next != sessions_.end();) {
        auto place = next++;
        Incarnation incarnation = place->first;
        EntrySession& session = place->second;
        if (!hasContact(session, now))
            stopRunsOf(incarnation, "entry_silent", now);
        Duration silence = now - session.lastReceived_;
        if (silence < settings_.times_.entryTimeout_)
            continue;
        if (session.link_) {
            log(LogLine("entry_silent").text("entry", session.name_).milliseconds("silent_ms", silence).milliseconds("confirmed_ms_ago", now - session.confirmedAt_));
            abort(*session.link_);
            dropLink(session, now);
        }
        if (silence >= settings_.sessionLifetime_ && !hasRunsOf(incarnation))
            sessions_.erase(place);
    }
}

void RunAgentCore::sendHeartbeat(LinkId link, Time now)
{
    send(link, Wire::RunHeartbeat { .configurationVersion_ = configuration_.version_, .agentTime_ = toAgentTime(now), .zonesRevision_ = evacuation_.revision() });
}

void RunAgentCore::sendHeartbeats(Time now)
{
    for (auto& [incarnation, session] : sessions_) {
        if (!session.link_ || now - session.lastSent_ < settings_.heartbeatInterval_)
            continue;
        if (now - session.lastSent_ < settings_.idleHeartbeatInterval_ && !hasRunsOf(incarnation))
            continue;
        session.lastSent_ = now;
        sendHeartbeat(*session.link_, now);
    }
}

void RunAgentCore::sendReports(Time now)
{
    std::optional<Wire::TargetReport> common;
    for (auto& [incarnation, session] : sessions_) {
        if (!session.link_ || !session.isReportDue_ || now < session.nextReport_)
            continue;
        session.isReportDue_ = false;
        session.nextReport_ = now + settings_.reportInterval_ * static_cast<Duration::rep>(1 + sessions_.size() / 4);
        session.lastSent_ = now;
        if (!common)
            common = report(now);
        sendReport(session, *common);
    }
}

void RunAgentCore::sendReport(const EntrySession& session, Wire::TargetReport report)
{
    report.highestSeenRun_ = session.highestRun_;
    report.isOpen_ = report.isOpen_ && !session.leavingSince_ && session.isTimely_;
    send(*session.link_, std::move(report));
}

void RunAgentCore::markReportsDue()
{
    for (auto& [incarnation, session] : sessions_)
        session.isReportDue_ = true;
}

/// The report without the part that differs between entries (`highestSeenRun_`).
Wire::TargetReport RunAgentCore::report(Time now) const
{
    double slowdown = this->slowdown(now);
    constexpr double permille = 1000;
    const TargetHeartbeat& heartbeat = target_.heartbeat();
    Backlog backlog(runs_, capacity(now), slowdown, now);
    return { .isOpen_ = isOpen(), .isSuspect_ = monitor_.isSuspect(), .service_ = heartbeat.service_, .labels_ = heartbeat.labels_, .capacity_ = capacity(now), .used_ = runs_.used(), .queued_ = runs_.queued(), .slowdownPermille_ = static_cast<std::uint64_t>(slowdown * permille), .backlogMicroseconds_ = static_cast<std::uint64_t>(backlog.firstWait().count()), .queuedBacklogs_ = backlog.report(now), .typicalMicroseconds_ = static_cast<std::uint64_t>(monitor_.typicalTime().count()), .agentTime_ = toAgentTime(now) };
}

void RunAgentCore::send(LinkId link, Wire::RunMessage message)
{
    effects_.messages_.push_back({ link, std::move(message) });
}

} // namespace Lagoonpick
