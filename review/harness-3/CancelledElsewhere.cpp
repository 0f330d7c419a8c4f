#include "Cases.h"
#include "Clock.h"

#include <csignal>
#include <thread>

namespace Review {

namespace {

/// The longest task of the site's class safety-clear. Two at a time fit on the only worker.
constexpr int workMs = 3600;
constexpr int milliCores = 32'000;
constexpr int tasks = 4;
constexpr std::int64_t deadlineMs = 17'000;
constexpr std::int64_t killAfterMs = 300;
/// "Started again after a short delay."
constexpr std::int64_t downMs = 1000;
constexpr std::int64_t resendMs = 1300;
constexpr std::int64_t cancelAfterMs = 4400;
constexpr std::int64_t cancelMs = 3000;
constexpr std::int64_t stopTimeoutMs = 50;
/// The job would be done by then.
constexpr std::int64_t lengthMs = 13'000;
/// The entry that the balancer selects for the client, and the one that its retries reach.
constexpr int usualEntry = 0;
constexpr int otherEntry = 1;

std::string describe(const Reply& reply)
{
    return "status " + std::to_string(reply.status_) + " " + reply.body_ + " after " + std::to_string(reply.endedAt_ - reply.sentAt_) + " ms";
}

} // namespace

Verdict runCancelledElsewhere(Record& record, bool hasTrouble)
{
    Deployment deployment({ .entries_ = 2, .targets_ = 1, .routeTimeoutMs_ = static_cast<int>(deadlineMs) }, record);
    if (!deployment.start())
        return Verdict::NotRun;
    const std::string id = makeId(0xc0000000);
    const auto begunAt = nowMs();
    std::thread client([&] {
        record.write("POST " + id + " reaches entry 1");
        auto first = submit(deployment, usualEntry, id, makeJob(tasks, workMs, milliCores), deadlineMs, deadlineMs);
        record.write("POST " + id + " at entry 1: " + describe(first));
        if (first.status_ != 0)
            return;
        sleepUntilMs(first.endedAt_ + resendMs);
        record.write("POST " + id + " again, reaches entry 2");
        auto second = submit(deployment, otherEntry, id, makeJob(tasks, workMs, milliCores), deadlineMs, deadlineMs);
        record.write("POST " + id + " at entry 2: " + describe(second));
    });
    if (hasTrouble) {
        sleepUntilMs(begunAt + killAfterMs);
        record.write("SIGKILL to entry 1");
        deployment.killEntry(usualEntry);
        sleepUntilMs(nowMs() + downMs);
        deployment.restartEntry(usualEntry);
        record.write("entry 1 started again");
    }
    sleepUntilMs(begunAt + cancelAfterMs);
    bool isReady = call(deployment.ready(usualEntry), "GET", "/lagoonpick/ready", "", "", 1000).status_ == 200;
    auto cancel = call(deployment.front(usualEntry), "DELETE", Deployment::prefix + id, "", "", 4000);
    record.write(std::string("entry 1 is ") + (isReady ? "ready" : "not ready") + "; DELETE " + id + " at entry 1: " + describe(cancel));
    bool isAcknowledged = cancel.status_ == 410 || (cancel.status_ >= 200 && cancel.status_ < 300);
    sleepUntilMs(begunAt + lengthMs);
    client.join();
    if (!isReady || !isAcknowledged)
        return Verdict::NotRun;
    bool isBroken = false;
    std::size_t before = 0;
    for (const auto& run : deployment.runs()) {
        before += run.beganAt_ < cancel.endedAt_ ? 1 : 0;
        auto endedAt = run.endedAt_ ? run.endedAt_ : nowMs();
        if (endedAt <= cancel.endedAt_ + cancelMs + stopTimeoutMs)
            continue;
        isBroken = true;
        record.write("UNASKED: " + run.task_ + " ran from " + std::to_string(run.beganAt_ - cancel.endedAt_) + " to " + std::to_string(endedAt - cancel.endedAt_) + " ms after its job's cancelling was acknowledged");
    }
    if (!before)
        return Verdict::NotRun;
    return isBroken ? Verdict::Broken : Verdict::Held;
}

} // namespace Review
