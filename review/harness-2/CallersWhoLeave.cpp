#include "Cases.h"
#include "Client.h"
#include "ReviewSystem.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <fmt/format.h>
#include <list>
#include <random>
#include <thread>

namespace Lagoonpick::Review2 {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int requestsPerSecond = 250;
constexpr int playSeconds = 104;
/// The time, in seconds from the start of the traffic, in which callers leave: as long as the longest such period of the site.
struct Period {
    int from_;
    int to_;
};
constexpr std::array<Period, 4> leavingPeriods { { { 1, 13 }, { 14, 26 }, { 27, 39 }, { 40, 52 } } };
/// Share of the callers that leave in those periods.
constexpr double leavingShare = 0.35;
/// Callers leave within half of the job's objective: (1.6 * 200 ms + 60 ms) / 2.
constexpr int leaveWithinMs = 190;
constexpr milliseconds resendInterval { 1300 };
/// The last part of the traffic, in which at least one request must be served.
constexpr int lastSeconds = 10;
/// Failed and refused requests may be this share of those owed.
constexpr double allowedFailedShare = 0.6;

/// Counts of one second, by when the request was sent.
struct Counts {
    std::atomic<int> sent_ { 0 };
    std::atomic<int> left_ { 0 };
    std::atomic<int> served_ { 0 };
    std::atomic<int> refused_ { 0 };
    std::atomic<int> unanswered_ { 0 };
};

bool isLeavingTime(int second)
{
    return std::any_of(leavingPeriods.begin(), leavingPeriods.end(), [second](const auto& period) { return second >= period.from_ && second < period.to_; });
}

/// Sends one job as a client does: once more, after the interval for that, if the connection breaks without an answer.
void submit(const ClientRequest& request, Counts& counts)
{
    ++counts.sent_;
    ClientAnswer answer = send(request);
    if (!request.leaveAfter_ && answer.end_ == ClientAnswer::End::Broken) {
        std::this_thread::sleep_for(resendInterval);
        answer = send(request);
    }
    if (answer.isSuccess())
        ++counts.served_;
    else if (answer.end_ == ClientAnswer::End::Left || request.leaveAfter_)
        ++counts.left_;
    else if (answer.end_ == ClientAnswer::End::Answered)
        ++counts.refused_;
    else
        ++counts.unanswered_;
}

/// Runs each job's client on a thread of its own.
class Clients {
public:
    ~Clients()
    {
        for (auto& client : threads_)
            client.thread_.join();
    }

    void add(ClientRequest request, Counts& counts)
    {
        std::erase_if(threads_, [](Client& client) {
            if (client.isDone_)
                client.thread_.join();
            return client.isDone_.load();
        });
        Client& client = threads_.emplace_back();
        client.thread_ = std::thread([&client, &counts, request = std::move(request)] {
            submit(request, counts);
            client.isDone_ = true;
        });
    }

private:
    struct Client {
        std::thread thread_;
        std::atomic<bool> isDone_ { false };
    };
    std::list<Client> threads_;
};

} // namespace

Verdict playCallersWhoLeave(const std::string& recordFile, bool isDisturbed)
{
    Record record(recordFile);
    ReviewSystem system(record, 1, 4);
    if (!system.waitUntilReady()) {
        record.write("the entry did not become ready");
        return Verdict::NotRun;
    }
    record.write(fmt::format("traffic begins: {} jobs of 2 tasks of 200 ms a second; callers that leave: {}", requestsPerSecond, isDisturbed ? "yes" : "no"));
    std::mt19937 random(1);
    std::uniform_real_distribution<double> share(0, 1);
    std::uniform_int_distribution<int> leaveAfter(20, leaveWithinMs);
    std::array<Counts, playSeconds> counts;
    const std::string body = makeJob(2, 200, 250);
    {
        Clients clients;
        auto begun = Clock::now();
        for (int i = 0; i < playSeconds * requestsPerSecond; ++i) {
            std::this_thread::sleep_until(begun + milliseconds(1000) * i / requestsPerSecond);
            int second = i / requestsPerSecond;
            ClientRequest request { .address_ = system.frontAddress(0), .method_ = "POST", .path_ = jobPath(0x10000 + i), .body_ = body };
            if (isDisturbed && isLeavingTime(second) && share(random) < leavingShare)
                request.leaveAfter_ = milliseconds(leaveAfter(random));
            clients.add(std::move(request), counts[second]);
            if (i % (requestsPerSecond * 4) == 0)
                record.write(fmt::format("second {}: the entry has {} descriptors open", second, system.entryProcess(0).openDescriptors()));
        }
    }
    int owed = 0;
    int failed = 0;
    int servedLast = 0;
    for (int second = 0; second < playSeconds; ++second) {
        const Counts& row = counts[second];
        record.write(fmt::format("sent in second {}: {}, left early {}, served {}, refused {}, without an answer {}", second, row.sent_.load(), row.left_.load(), row.served_.load(), row.refused_.load(), row.unanswered_.load()));
        owed += row.sent_ - row.left_;
        failed += row.refused_ + row.unanswered_;
        servedLast += second >= playSeconds - lastSeconds ? row.served_.load() : 0;
    }
    bool isReady = system.isReady(0);
    bool isRunning = system.isRunning(0);
    record.write(fmt::format("owed {}, failed or refused {} ({:.0f} %); served in the last {} s: {}; the entry's process is {}, and says that it is {}",
        owed, failed, 100.0 * failed / owed, lastSeconds, servedLast, isRunning ? "running" : "gone", isReady ? "ready" : "not ready"));
    bool isBroken = servedLast == 0 && failed > allowedFailedShare * owed;
    record.write(isBroken ? "BROKEN" : "held");
    return isBroken ? Verdict::Broken : Verdict::Held;
}

} // namespace Lagoonpick::Review2
