#include "Cases.h"
#include "Clock.h"

#include <atomic>
#include <thread>

namespace Review {

namespace {

/// The traffic of the site's day scale-1, all zones together.
constexpr double jobsPerSecond = 154.8;
constexpr std::uint64_t firstId = 0xa0000000;
constexpr int tasks = 2;
constexpr int workMs = 200;
constexpr int milliCores = 1000;
constexpr std::int64_t deadlineMs = 1500;
constexpr std::int64_t baselineMs = 4000;
/// `give_up` with share = 0.4 and for_s = 6, again and again. Those who leave do so after 100 ms.
constexpr int leaveOf = 5;
constexpr int leaving = 2;
constexpr std::int64_t leaveAfterMs = 100;
constexpr std::int64_t giveUpMs = 6000;
constexpr int giveUps = 12;
constexpr std::int64_t recoveryMs = 12'000;
constexpr std::int64_t windowMs = 5000;
/// More than the requests that are under way at a time.
constexpr std::size_t clientCount = 320;

struct Counts {
    std::atomic<std::size_t> sent_ { 0 };
    std::atomic<std::size_t> served_ { 0 };
    std::atomic<std::size_t> left_ { 0 };
    std::atomic<std::size_t> closed_ { 0 };
    std::string text() const
    {
        return std::to_string(sent_) + " sent, " + std::to_string(served_) + " served, " + std::to_string(left_) + " left by their clients, " + std::to_string(closed_) + " closed without an answer";
    }
};

} // namespace

Verdict runAbandonedRequests(Record& record, bool hasTrouble)
{
    Deployment deployment({ .entries_ = 1, .targets_ = 4 }, record);
    if (!deployment.start())
        return Verdict::NotRun;
    const auto begunAt = nowMs();
    const auto troubleAt = begunAt + baselineMs;
    const auto calmAt = troubleAt + giveUps * giveUpMs;
    const auto judgedAt = calmAt + recoveryMs;
    const auto endAt = judgedAt + windowMs;
    Counts baseline;
    Counts trouble;
    Counts recovery;
    Counts judged;
    auto countsAt = [&](std::int64_t time) -> Counts& {
        if (time < troubleAt)
            return baseline;
        if (time < calmAt)
            return trouble;
        return time < judgedAt ? recovery : judged;
    };
    std::vector<std::thread> clients;
    for (std::size_t client = 0; client < clientCount; ++client) {
        clients.emplace_back([&, client] {
            for (std::size_t i = client;; i += clientCount) {
                auto due = begunAt + static_cast<std::int64_t>(static_cast<double>(i) * 1000 / jobsPerSecond);
                if (due >= endAt)
                    return;
                sleepUntilMs(due);
                bool leaves = hasTrouble && due >= troubleAt && due < calmAt && i % leaveOf < leaving;
                auto reply = submit(deployment, 0, makeId(firstId + i), makeJob(tasks, workMs, milliCores), deadlineMs, leaves ? leaveAfterMs : deadlineMs);
                record.write("job " + makeId(firstId + i) + " sent at " + std::to_string(reply.sentAt_) + (leaves ? ", its client leaves" : "") + ", status " + std::to_string(reply.status_));
                Counts& counts = countsAt(due);
                ++counts.sent_;
                counts.served_ += reply.status_ == 200 ? 1 : 0;
                counts.left_ += leaves && reply.status_ == -1 ? 1 : 0;
                counts.closed_ += reply.status_ == 0 ? 1 : 0;
            }
        });
    }
    constexpr std::int64_t reportMs = 3000;
    for (auto next = begunAt; next < endAt; next += reportMs) {
        sleepUntilMs(next);
        record.write("the entry has " + std::to_string(deployment.openDescriptors(0)) + " open descriptors; readiness check: " + std::to_string(call(deployment.ready(0), "GET", "/lagoonpick/ready", "", "", 1000).status_));
    }
    for (auto& client : clients)
        client.join();
    record.write("before: " + baseline.text());
    record.write("during: " + trouble.text());
    record.write("the " + std::to_string(recoveryMs) + " ms after: " + recovery.text());
    record.write("later: " + judged.text());
    if (baseline.served_ * 10 < baseline.sent_ * 9)
        return Verdict::NotRun;
    return judged.served_ == 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace Review
