#include "Cases.h"
#include "Clock.h"

#include <csignal>
#include <thread>

namespace Review {

namespace {

constexpr int layers = 3;
constexpr int jobsPerLayer = 4;
/// The longest task of the site's class safety-clear.
constexpr int workMs = 3600;
/// Two such tasks fit on a worker at a time.
constexpr int milliCores = 32'000;
constexpr std::int64_t deadlineMs = 17'000;
constexpr std::int64_t graceMs = 6000;
constexpr std::int64_t lossSlackMs = 200;

struct Sent {
    std::string id_;
    Reply reply_;
};

/// The stretch of the shutdown in which a worker that is at work excuses the end of its request.
bool isExcused(const std::vector<RunSpan>& runs, const std::string& id, std::int64_t signalledAt)
{
    auto from = signalledAt + graceMs * 5 / 6;
    auto until = signalledAt + graceMs;
    for (const auto& run : runs) {
        if (run.task_.starts_with(id) && run.beganAt_ < until && (!run.endedAt_ || run.endedAt_ > from))
            return true;
    }
    return false;
}

} // namespace

Verdict runQueuedAtShutdown(Record& record, bool hasTrouble)
{
    Deployment deployment({ .entries_ = 1, .targets_ = 2, .routeTimeoutMs_ = static_cast<int>(deadlineMs) }, record);
    if (!deployment.start())
        return Verdict::NotRun;
    std::vector<Sent> jobs(static_cast<std::size_t>(layers) * jobsPerLayer);
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        if (i && i % jobsPerLayer == 0)
            sleepUntilMs(nowMs() + 300);
        jobs[i].id_ = makeId(0xb0000000 + i);
        record.write("sent " + jobs[i].id_);
        clients.emplace_back([&deployment, &job = jobs[i]] { job.reply_ = submit(deployment, 0, job.id_, makeJob(1, workMs, milliCores), deadlineMs, deadlineMs); });
    }
    sleepUntilMs(nowMs() + 500);
    auto signalledAt = nowMs();
    if (hasTrouble) {
        record.write("SIGTERM to the entry");
        deployment.signalEntry(0, SIGTERM);
    }
    for (auto& client : clients)
        client.join();
    bool isBroken = false;
    std::size_t answered = 0;
    auto runs = deployment.runs();
    for (const auto& job : jobs) {
        const Reply& reply = job.reply_;
        record.write("job " + job.id_ + " sent at " + std::to_string(reply.sentAt_) + " ended at " + std::to_string(reply.endedAt_) + " status " + std::to_string(reply.status_) + " " + reply.body_);
        answered += reply.status_ > 0 ? 1 : 0;
        bool isCut = reply.isConnected_ && reply.status_ == 0 && reply.endedAt_ > reply.sentAt_ + lossSlackMs;
        if (!isCut || !hasTrouble)
            continue;
        bool excused = isExcused(runs, job.id_, signalledAt);
        record.write("job " + job.id_ + " got no answer " + std::to_string(reply.endedAt_ - signalledAt) + " ms after SIGTERM" + (excused ? ", excused: its worker was at work" : ": LOST"));
        isBroken = isBroken || !excused;
    }
    if (!hasTrouble && answered != jobs.size())
        return Verdict::NotRun;
    return isBroken ? Verdict::Broken : Verdict::Held;
}

} // namespace Review
