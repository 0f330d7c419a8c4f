#include "Cases.h"
#include "Clock.h"

#include <algorithm>

namespace Review {

namespace {

/// The longest task of the site's class safety-clear. One fits on a worker at a time.
constexpr int workMs = 3600;
constexpr int milliCores = 48'000;
constexpr std::int64_t deadlineMs = 6000;
constexpr std::int64_t nextRequestAfterMs = 200;
constexpr std::int64_t resetAfterMs = 600;
constexpr std::int64_t resendMs = 1300;
constexpr int firstEntry = 0;
constexpr int otherEntry = 1;

std::string describe(const Reply& reply)
{
    return "status " + std::to_string(reply.status_) + " " + reply.body_;
}

/// How long two runs of one task went on at the same time.
std::int64_t overlapMs(const RunSpan& left, const RunSpan& right)
{
    auto end = [](const RunSpan& span) { return span.endedAt_ ? span.endedAt_ : nowMs(); };
    return std::min(end(left), end(right)) - std::max(left.beganAt_, right.beganAt_);
}

} // namespace

Verdict runResetBehindNextRequest(Record& record, bool hasTrouble)
{
    Deployment deployment({ .entries_ = 2, .targets_ = 2, .routeTimeoutMs_ = static_cast<int>(deadlineMs) }, record);
    if (!deployment.start())
        return Verdict::NotRun;
    const std::string id = makeId(0xd0000000);
    const std::string path = Deployment::prefix + id;
    const std::string job = makeJob(1, workMs, milliCores);
    const auto begunAt = nowMs();
    ClientConnection connection(deployment.front(firstEntry));
    if (!connection.send(makeRequest("POST", path, job, deadlineHeader(deadlineMs))))
        return Verdict::NotRun;
    record.write("POST " + id + " at entry 1");
    sleepUntilMs(begunAt + nextRequestAfterMs);
    if (!connection.send(makeRequest("GET", path, "", "")))
        return Verdict::NotRun;
    record.write("GET " + id + " behind it, on the same connection");
    if (hasTrouble) {
        sleepUntilMs(begunAt + resetAfterMs);
        connection.reset();
        record.write("the connection is reset");
        sleepUntilMs(nowMs() + resendMs);
        record.write("POST " + id + " again, at entry 2");
        record.write("POST " + id + " at entry 2: " + describe(submit(deployment, otherEntry, id, job, deadlineMs, deadlineMs)));
    } else {
        record.write("POST " + id + " at entry 1: " + describe(connection.receive(deadlineMs)));
        record.write("GET " + id + " at entry 1: " + describe(connection.receive(deadlineMs)));
    }
    auto runs = deployment.runs();
    bool isBroken = false;
    for (std::size_t i = 0; i < runs.size(); ++i) {
        for (std::size_t j = i + 1; j < runs.size(); ++j) {
            auto overlap = runs[i].task_ == runs[j].task_ ? overlapMs(runs[i], runs[j]) : 0;
            if (overlap <= 0)
                continue;
            isBroken = true;
            record.write("TWICE: " + runs[i].task_ + " ran on " + runs[i].target_ + " and " + runs[j].target_ + " at the same time for " + std::to_string(overlap) + " ms");
        }
    }
    if (runs.empty())
        return Verdict::NotRun;
    return isBroken ? Verdict::Broken : Verdict::Held;
}

} // namespace Review
