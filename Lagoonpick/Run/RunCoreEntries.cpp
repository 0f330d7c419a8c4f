#include "Lagoonpick/Run/Backlog.h"
#include "Lagoonpick/Run/RunCore.h"

#include <algorithm>

// What an agent does about entries: their links, what they ask for, and what they are told.

namespace Lagoonpick {

using Wire::NotStartedReason;
using Wire::RunEnd;

namespace {

/// An end that an entry does not confirm is kept in this number at most.
constexpr std::size_t maxUnconfirmed = 4096;
/// A task that would be returned for lack of room stays if it is expected to begin so soon: the way to another target and
/// the next choice, which may be as wrong, take about as long.
constexpr Duration leastTolerableWait = std::chrono::milliseconds(10);
/// The part of its own time that a task may wait like this.
constexpr Duration::rep tolerableShare = 5;

} // namespace

void RunCore::opened(LinkId link, Time)
{
    openLinks_.insert(link);
    send(link, Wire::AgentHello { .incarnation_ = settings_.incarnation_, .name_ = settings_.name_, .availabilityZone_ = settings_.availabilityZone_ });
}

void RunCore::closed(LinkId link, Time now)
{
    if (EntrySession* session = sessionOf(link)) {
        dropLink(*session, now);
        log(LogLine("entry_lost").text("entry", session->name_).milliseconds("silent_ms", now - session->lastHeard_));
    }
    links_.erase(link);
    openLinks_.erase(link);
}

/// Resets a link: nothing that it still holds is handled.
void RunCore::abort(LinkId link)
{
    effects_.linksToAbort_.push_back(link);
    links_.erase(link);
    openLinks_.erase(link);
}

void RunCore::receive(LinkId link, const Wire::RunMessage& message, Time now)
{
    // The link was reset while a frame of it was being handled.
    if (!openLinks_.contains(link))
        return;
    EntrySession* session = sessionOf(link);
    if (!session && !std::holds_alternative<Wire::EntryHello>(message)) {
        abort(link);
        return;
    }
    if (session)
        session->lastHeard_ = now;
    std::visit([&](const auto& alternative) { handle(link, alternative, now); }, message);
}

EntrySession* RunCore::sessionOf(LinkId link)
{
    auto found = links_.find(link);
    return found == links_.end() ? nullptr : &sessions_[found->second];
}

void RunCore::handle(LinkId link, const Wire::EntryHello& hello, Time now)
{
    if (hello.version_ != Wire::runProtocolVersion) {
        log(LogLine("entry_rejected").text("entry", hello.name_).number("version", hello.version_));
        abort(link);
        return;
    }
    EntrySession& session = sessions_[hello.incarnation_];
    // What an older link still holds must not be handled after what comes on this one.
    if (session.link_ && *session.link_ != link)
        abort(*session.link_);
    links_[link] = hello.incarnation_;
    session.name_ = hello.name_;
    session.address_ = hello.address_;
    session.link_ = link;
    session.lastHeard_ = now;
    session.nextReport_ = now;
    session.isReportDue_ = true;
    session.nextPulse_ = now;
    session.configurationVersion_ = 0;
    for (const auto& ended : session.unconfirmed_)
        send(link, ended);
    log(LogLine("entry_attached").text("entry", hello.name_).number("ends_repeated", session.unconfirmed_.size()));
}

void RunCore::handle(LinkId link, const Wire::RunHeartbeat& pulse, Time)
{
    EntrySession& session = *sessionOf(link);
    session.configurationVersion_ = pulse.configurationVersion_;
    while (!session.unconfirmed_.empty() && session.unconfirmed_.front().sequence_ <= pulse.endsSeen_)
        session.unconfirmed_.pop_front();
    if (configuration_.version_ > pulse.configurationVersion_) {
        send(link, configuration_);
        session.configurationVersion_ = configuration_.version_;
    }
}

void RunCore::handle(LinkId, const Wire::ConfigurationCopy& copy, Time)
{
    if (copy.version_ <= configuration_.version_)
        return;
    configuration_ = copy;
    log(LogLine("configuration_kept").number("version", copy.version_));
    for (auto& [incarnation, session] : sessions_) {
        if (session.link_ && session.configurationVersion_ < copy.version_) {
            send(*session.link_, configuration_);
            session.configurationVersion_ = copy.version_;
        }
    }
}

void RunCore::handle(LinkId, const Wire::EntryAddresses& entries, Time now)
{
    for (const auto& address : entries.addresses_)
        knownEntries_.note(address, now);
}

std::set<std::string> RunCore::entryAddresses(Time now) const
{
    auto recent = knownEntries_.addresses(now);
    std::set<std::string> all(recent.begin(), recent.end());
    for (const auto& [incarnation, session] : sessions_) {
        if (session.link_)
            all.insert(session.address_);
    }
    return all;
}

void RunCore::handle(LinkId link, const Wire::StartRun& message, Time now)
{
    EntrySession& session = *sessionOf(link);
    Incarnation entry = links_[link];
    session.highestRun_ = std::max(session.highestRun_, message.run_);
    markReportsDue();
    if (runs_.findOfEntry(entry, message.run_))
        return;
    Run run { .entry_ = entry, .run_ = message.run_, .name_ = { message.task_, message.number_ }, .payload_ = message.payload_, .need_ = message.need_, .work_ = Duration(static_cast<Duration::rep>(message.workMicroseconds_)), .waitUntil_ = now + Duration(static_cast<Duration::rep>(message.waitMicroseconds_)), .due_ = now + Duration(message.dueInMicroseconds_), .deadline_ = now + Duration(static_cast<Duration::rep>(message.callerTimeoutMicroseconds_)) };
    NotStartedReason reason = NotStartedReason::None;
    if (isClosing_ || target_.heartbeat().isDraining_)
        reason = NotStartedReason::Draining;
    else if (!isOpen())
        reason = NotStartedReason::TargetUnavailable;
    else if (!hasRoom(target_.heartbeat().capacity_, {}, message.need_) || runs_.queuedCount() >= settings_.maxQueued_)
        reason = NotStartedReason::NoRoom;
    else if (runs_.findOnTarget(run.name_))
        reason = NotStartedReason::OldNumber;
    else if (!message.waitMicroseconds_ && !hasRoom(target_.heartbeat().capacity_, runs_.used() + runs_.queued(), message.need_)) {
        Duration tolerable = std::max<Duration>(leastTolerableWait, run.work_ / tolerableShare);
        if (expectedBacklog(runs_, target_.heartbeat().capacity_, slowness(now), now) > tolerable)
            reason = NotStartedReason::NoRoom;
        run.waitUntil_ = now + tolerable * 2;
    }
    RunId id = runs_.add(std::move(run));
    if (reason == NotStartedReason::None)
        return;
    // The entry chose by a report that is no longer right: it gets the news before it chooses again.
    sendReport(session, report(now));
    end(id, RunEnd::NotStarted, reason, now);
}

void RunCore::handle(LinkId link, const Wire::StopRun& message, Time now)
{
    RunId id = runs_.findOfEntry(links_[link], message.run_);
    Run* run = runs_.find(id);
    if (run)
        requestStop(id, *run, NotStartedReason::Recalled, now);
}

void RunCore::handle(LinkId link, const Wire::QueryRun& message, Time)
{
    EntrySession& session = *sessionOf(link);
    Incarnation entry = links_[link];
    session.highestRun_ = std::max(session.highestRun_, message.run_);
    bool isTold = std::any_of(session.unconfirmed_.begin(), session.unconfirmed_.end(), [&](const auto& ended) { return ended.run_ == message.run_; });
    if (isTold || runs_.findOfEntry(entry, message.run_))
        return;
    tell(entry, session, { .run_ = message.run_, .end_ = RunEnd::NotStarted, .reason_ = NotStartedReason::Unknown });
}

void RunCore::tell(Incarnation, EntrySession& session, Wire::RunEnded ended)
{
    ended.sequence_ = ++session.lastEnd_;
    if (session.unconfirmed_.size() == maxUnconfirmed)
        session.unconfirmed_.pop_front();
    session.unconfirmed_.push_back(ended);
    if (session.link_)
        send(*session.link_, ended);
}

void RunCore::dropLink(EntrySession& session, Time now)
{
    session.link_.reset();
    knownEntries_.note(session.address_, now);
}

void RunCore::checkSessions(Time now)
{
    for (auto next = sessions_.begin(); next != sessions_.end();) {
        auto place = next++;
        Incarnation incarnation = place->first;
        EntrySession& session = place->second;
        Duration silence = now - session.lastHeard_;
        if (silence < settings_.times_.entryTimeout_)
            continue;
        if (session.link_) {
            log(LogLine("entry_silent").text("entry", session.name_).milliseconds("silent_ms", silence));
            abort(*session.link_);
            dropLink(session, now);
        }
        stopRunsOf(incarnation, "entry_silent", now);
        bool hasRuns = std::any_of(runs_.rows().begin(), runs_.rows().end(), [incarnation](const auto& row) { return row.second.entry_ == incarnation; });
        if (silence >= settings_.sessionLifetime_ && !hasRuns)
            sessions_.erase(place);
    }
}

void RunCore::sendPulses(Time now)
{
    for (auto& [incarnation, session] : sessions_) {
        if (!session.link_ || now < session.nextPulse_)
            continue;
        session.nextPulse_ = now + settings_.pulseInterval_;
        send(*session.link_, Wire::RunHeartbeat { .configurationVersion_ = configuration_.version_ });
    }
}

void RunCore::sendReports(Time now)
{
    std::optional<Wire::TargetReport> common;
    for (auto& [incarnation, session] : sessions_) {
        if (!session.link_ || !session.isReportDue_ || now < session.nextReport_)
            continue;
        session.isReportDue_ = false;
        session.nextReport_ = now + settings_.reportInterval_ * static_cast<Duration::rep>(1 + sessions_.size() / 4);
        session.nextPulse_ = now + settings_.pulseInterval_;
        if (!common)
            common = report(now);
        sendReport(session, *common);
    }
}

void RunCore::sendReport(const EntrySession& session, Wire::TargetReport report)
{
    report.highestSeenRun_ = session.highestRun_;
    send(*session.link_, std::move(report));
}

void RunCore::markReportsDue()
{
    for (auto& [incarnation, session] : sessions_)
        session.isReportDue_ = true;
}

/// What all entries are told alike.
Wire::TargetReport RunCore::report(Time now) const
{
    double slowness = this->slowness(now);
    constexpr double permille = 1000;
    const TargetHeartbeat& heartbeat = target_.heartbeat();
    return { .isOpen_ = isOpen(), .isSuspect_ = monitor_.isSuspect(), .service_ = heartbeat.service_, .labels_ = heartbeat.labels_, .capacity_ = heartbeat.capacity_, .used_ = runs_.used(), .queued_ = runs_.queued(), .slowdownPermille_ = static_cast<std::uint64_t>(slowness * permille), .backlogMicroseconds_ = static_cast<std::uint64_t>(expectedBacklog(runs_, heartbeat.capacity_, slowness, now).count()), .typicalMicroseconds_ = static_cast<std::uint64_t>(monitor_.typicalTime().count()) };
}

void RunCore::send(LinkId link, Wire::RunMessage message)
{
    effects_.messages_.push_back({ link, std::move(message) });
}

} // namespace Lagoonpick
