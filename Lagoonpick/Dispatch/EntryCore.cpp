#include "Lagoonpick/Dispatch/EntryCore.h"

#include "Lagoonpick/Core/Underlying.h"
#include "Lagoonpick/Dispatch/HttpStatus.h"

#include <algorithm>
#include <utility>

namespace Lagoonpick {

using Wire::RequestKind;
using Wire::Role;

namespace {

constexpr std::uint32_t retryAfterSeconds = 1;

/// Requests forwarded by other entries are numbered from here; the callers' own requests have smaller ids.
constexpr std::uint64_t firstForwardedRequest = 1ULL << 63;

/// The home's deadline for a forwarded request is this much earlier than the forwarder's, so that its reply is in time.
constexpr Duration forwardMargin = std::chrono::milliseconds(200);

/// Time between the rounds in which a settlement queries the agents' ledgers, until it concludes.
constexpr Duration settlementInterval = std::chrono::milliseconds(100);

/// Minimum time between two passes over all links, unless the view has changed or a write has ended.
constexpr Duration maintenanceInterval = std::chrono::milliseconds(10);

bool isForwarded(RequestId request)
{
    return toUnderlying(request) >= firstForwardedRequest;
}

} // namespace

EntryCore::EntryCore(const EntrySettings& settings, Incarnation incarnation, std::uint64_t seed)
    : settings_(settings)
    , incarnation_(incarnation)
    , home_(settings_, seed, effects_)
    , membershipManager_(settings_, incarnation)
    , view_(std::make_shared<PlatformView>())
{
}

void EntryCore::issue(Time now, RequestId request, std::uint32_t count)
{
    if (isDraining_ || isFenced()) {
        refuse(request, {}, { HttpStatus::serviceUnavailable, "shutting-down", "this entry is shutting down", RunState::No, RunState::No, retryAfterSeconds });
        return;
    }
    std::vector<SubmissionId> ids;
    ids.reserve(count);
    for (std::uint32_t i = 0; i < count; ++i)
        ids.push_back(SubmissionId::issue(incarnation_, now, issued_++));
    effects_.replies_.push_back({ .request_ = request, .status_ = HttpStatus::ok, .body_ = writeIds(ids) });
}

void EntryCore::handle(Time now, CallerRequest request)
{
    route(now, std::move(request), true);
}

std::optional<Problem> EntryCore::checkId(Time now, const SubmissionId& id) const
{
    Time createdAt = id.createdAt();
    if (createdAt + settings_.rememberingWindow_ < now)
        return Problem { HttpStatus::gone, "id-expired", "this id is older than the remembering window; take a new one", RunState::No, RunState::Unknown };
    if (createdAt > now + settings_.maxIdAhead_)
        return Problem { HttpStatus::badRequest, "id-from-the-future", "this id's time is ahead of this entry's clock", RunState::No, RunState::Unknown };
    return std::nullopt;
}

void EntryCore::route(Time now, CallerRequest request, bool mayForward)
{
    const SubmissionId& id = request.submission_;
    if (home_.containsSubmission(id)) {
        handleAtHome(now, request);
        return;
    }
    if (auto problem = checkId(now, id)) {
        refuse(request.request_, request.submission_, *problem);
        return;
    }
    auto home = view_->membership_.homeOf(id);
    if (!home) {
        refuse(request.request_, request.submission_, { HttpStatus::serviceUnavailable, "home-not-fixed", "the entries' table does not reach this id's time yet; take an issued id", RunState::No, RunState::Unknown, retryAfterSeconds });
        return;
    }
    FenceState fence = fences_.state(*view_, *home, id.createdAt(), settlementMargin());
    if (fence != FenceState::NotFenced)
        settle(now, request, fence);
    else if (*home == incarnation_)
        handleAtHome(now, request);
    else if (mayForward)
        forward(now, std::move(request), *home);
    else
        refuse(request.request_, request.submission_, { HttpStatus::misdirectedRequest, "not-the-home", "this entry is not the home of the submission", RunState::No, RunState::Unknown, retryAfterSeconds });
}

Duration EntryCore::settlementMargin() const
{
    return settings_.maxIdAhead_ + settings_.clockError_;
}

void EntryCore::handleAtHome(Time now, const CallerRequest& request)
{
    switch (request.kind_) {
    case RequestKind::Submit:
        home_.submit(now, request.request_, request.submission_, request.body_, request.until_);
        return;
    case RequestKind::Fetch:
        home_.fetch(now, request.request_, request.submission_, request.until_);
        return;
    case RequestKind::CancelJob:
        home_.cancel(now, request.request_, request.submission_, request.until_);
        return;
    }
}

void EntryCore::forward(Time now, CallerRequest request, Incarnation home)
{
    auto peer = peers_.find(home);
    bool isPossible = peer != peers_.end() && forwards_.size() < settings_.maxRequests_;
    if (!isPossible) {
        refuse(request.request_, request.submission_, { HttpStatus::serviceUnavailable, "home-unreachable", "the home of this submission can't be reached now; this request was not passed on", RunState::No, RunState::Unknown, retryAfterSeconds });
        return;
    }
    auto wait = std::max(request.until_ - now - forwardMargin, Duration());
    Wire::Forward message { .request_ = toUnderlying(request.request_), .kind_ = request.kind_, .submission_ = request.submission_, .waitMilliseconds_ = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count()), .body_ = std::move(request.body_) };
    send(peer->second, message);
    forwards_.add({ request.request_, home, request.until_, std::move(message) });
}

void EntryCore::settle(Time now, const CallerRequest& request, FenceState fence)
{
    if (fence == FenceState::Pending || settlements_.size() >= settings_.maxRequests_) {
        refuse(request.request_, request.submission_, { HttpStatus::serviceUnavailable, "home-being-fenced", "the home of this submission is gone; what it started is not known yet", RunState::No, RunState::Unknown, retryAfterSeconds });
        return;
    }
    auto [found, isNew] = settlements_.try_emplace(request.submission_, request.submission_, request.until_);
    found->second.addWaiter(request.request_);
    if (isNew)
        beginRound(now, request.submission_, found->second);
}

void EntryCore::beginRound(Time now, const SubmissionId& id, Settlement& settlement)
{
    settlement.setNextRound(now + settlementInterval);
    // Agents that have registered since the last round must acknowledge the fence before a new round begins.
    auto home = view_->membership_.homeOf(id);
    FenceState fence = fences_.state(*view_, *home, id.createdAt(), settlementMargin());
    if (fence != FenceState::Certain && fence != FenceState::LedgerLost)
        return;
    std::set<Incarnation> agents;
    for (const auto& [name, registration] : view_->targets_) {
        if (!registration.hasLeft_)
            agents.insert(registration.agent_);
    }
    settlement.beginRound(std::move(agents), fence == FenceState::Certain);
    for (const auto& [link, state] : links_) {
        if (state.hasReceivedHello_ && state.role_ == Role::Agent)
            send(LinkId(link), Wire::Collect { id });
    }
}

void EntryCore::runSettlements(Time now)
{
    for (auto item = settlements_.begin(); item != settlements_.end();) {
        auto& [id, settlement] = *item;
        if (settlement.isRoundOver()) {
            if (auto reply = settlement.conclude()) {
                replyToAll(settlement, *reply);
                item = settlements_.erase(item);
                continue;
            }
        }
        if (settlement.until() <= now) {
            replyToAll(settlement, writeProblem({}, { HttpStatus::gatewayTimeout, "not-settled", "not every target has said yet what it started", RunState::No, RunState::Unknown, retryAfterSeconds }));
            item = settlements_.erase(item);
            continue;
        }
        if (settlement.nextRound() <= now)
            beginRound(now, id, settlement);
        ++item;
    }
}

void EntryCore::replyToAll(const Settlement& settlement, const Reply& reply)
{
    for (auto waiter : settlement.waiters()) {
        effects_.replies_.push_back(reply);
        effects_.replies_.back().request_ = waiter;
    }
}

void EntryCore::runForwards(Time now)
{
    for (const auto& forward : forwards_.takeExpired(now)) {
        refuse(forward.request_, forward.message_.submission_, { HttpStatus::gatewayTimeout, "no-answer-from-home", "the home of this submission did not answer in time; ask again by id", RunState::Unknown, RunState::Unknown, retryAfterSeconds });
    }
    if (!forwards_.size())
        return;
    for (const auto& fenced : view_->membership_.fenced_) {
        auto state = fences_.state(*view_, fenced.incarnation_, now, {});
        if (state == FenceState::Pending)
            continue;
        for (auto& forward : forwards_.takeByHome(fenced.incarnation_)) {
            route(now, { .request_ = forward.request_, .kind_ = forward.message_.kind_, .submission_ = forward.message_.submission_, .until_ = forward.until_, .body_ = std::move(forward.message_.body_) }, true);
        }
    }
}

void EntryCore::handle(Time now, LinkId link, const Wire::Forward& message)
{
    auto request = RequestId(firstForwardedRequest + nextForwardedRequest_++);
    origins_[toUnderlying(request)] = { link, message.request_ };
    if (origins_.size() > settings_.maxRequests_) {
        refuse(request, message.submission_, { HttpStatus::serviceUnavailable, "overloaded", "too many requests are waiting", RunState::No, RunState::Unknown, retryAfterSeconds });
        return;
    }
    Time until = now + std::min(settings_.maxWait_, Duration(std::chrono::milliseconds(message.waitMilliseconds_)));
    route(now, { .request_ = request, .kind_ = message.kind_, .submission_ = message.submission_, .until_ = until, .body_ = message.body_ }, false);
}

void EntryCore::handle(Time, LinkId, const Wire::ForwardReply& message)
{
    auto forward = forwards_.take(message.request_);
    if (!forward)
        return;
    effects_.replies_.push_back({ .request_ = forward->request_, .status_ = message.status_, .retryAfterSeconds_ = message.retryAfterSeconds_, .body_ = message.body_ });
}

void EntryCore::refuse(RequestId request, const SubmissionId& id, const Problem& problem)
{
    effects_.audit_.push_back({ .event_ = AuditEvent::RequestRefused, .submission_ = id, .detail_ = std::string(problem.kind_) });
    effects_.replies_.push_back(writeProblem(request, problem));
}

void EntryCore::tick(Time now)
{
    home_.tick(now);
    runSettlements(now);
    recordSendTimes(now);
    // The rest visits every link and the whole view, which would be too expensive after each message.
    if (now < nextMaintenance_ && !isMaintenanceDue_)
        return;
    isMaintenanceDue_ = false;
    nextMaintenance_ = now + maintenanceInterval;
    closeTimedOutLinks(now);
    runForwards(now);
    sendPeriodicMessages(now);
    if (auto swap = membershipManager_.decide(now, *view_, isViewFresh_))
        effects_.swaps_.push_back(std::move(*swap));
}

void EntryCore::beginDrain()
{
    isDraining_ = true;
    home_.beginDrain();
}

bool EntryCore::isDrained() const
{
    return isDraining_ && !home_.hasOpenJobs() && !forwards_.size() && settlements_.empty() && origins_.empty();
}

void EntryCore::abandonRequests()
{
    Problem problem { HttpStatus::serviceUnavailable, "entry-exiting", "this entry has to exit before the job's end; ask another entry by id", RunState::Unknown, RunState::Unknown, retryAfterSeconds };
    home_.abandonRequests(problem);
    for (const auto& [id, settlement] : settlements_)
        replyToAll(settlement, writeProblem({}, problem));
    settlements_.clear();
    for (const auto& forward : forwards_.takeExpired(Time::max()))
        refuse(forward.request_, forward.message_.submission_, problem);
}

void EntryCore::send(LinkId link, Wire::Message message)
{
    effects_.messages_.push_back({ link, std::move(message) });
}

void EntryCore::sendForwardReplies()
{
    std::vector<Reply> callerReplies;
    for (auto& reply : effects_.replies_) {
        if (!reply.problemKind_.empty())
            ++refusalCounts_[std::string(reply.problemKind_)];
        if (!isForwarded(reply.request_)) {
            callerReplies.push_back(std::move(reply));
            continue;
        }
        auto origin = origins_.find(toUnderlying(reply.request_));
        // If the link was closed, the forwarder sends the request again over a new one.
        if (links_.contains(toUnderlying(origin->second.link_))) {
            send(origin->second.link_, Wire::ForwardReply { .request_ = origin->second.request_, .status_ = reply.status_, .retryAfterSeconds_ = reply.retryAfterSeconds_, .body_ = std::move(reply.body_) });
        }
        origins_.erase(origin);
    }
    effects_.replies_ = std::move(callerReplies);
}

EntryEffects EntryCore::takeEffects()
{
    sendForwardReplies();
    for (const auto& item : effects_.messages_)
        ++messageCounts_[item.message_.index()];
    recordedMessages_ = 0;
    return std::exchange(effects_, {});
}

} // namespace Lagoonpick
