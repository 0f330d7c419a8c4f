#include "Cases.h"
#include "Client.h"
#include "ReviewSystem.h"

#include <algorithm>
#include <fmt/format.h>
#include <thread>

namespace Lagoonpick::Review2 {

using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t jobNumber = 0xc0ffee0001;
/// How long after the acknowledgement of its cancelling a machine may still start a task of the job.
constexpr std::int64_t cancelMs = 3000;
/// When the repeated request arrives, from the acknowledgement of the cancelling: seconds after the 2xx response.
constexpr milliseconds repeatAfter { 4500 };

} // namespace

Verdict playRepeatAfterCancel(const std::string& recordFile, bool isDisturbed)
{
    Record record(recordFile);
    ReviewSystem system(record, 1, 2);
    if (!system.waitUntilReady()) {
        record.write("the entry did not become ready");
        return Verdict::NotRun;
    }
    const std::string path = jobPath(jobNumber);
    const ClientRequest submission { .address_ = system.frontAddress(0), .method_ = "POST", .path_ = path, .body_ = makeJob(2, 1000, 1000) };
    ClientAnswer first;
    record.write("POST " + path + ", 2 tasks of 1 s");
    std::thread client([&] {
        first = send(submission);
        record.write("the POST was " + first.describe());
    });
    std::this_thread::sleep_for(milliseconds(300));
    record.write("DELETE " + path);
    ClientAnswer cancelled = send({ .address_ = system.frontAddress(0), .method_ = "DELETE", .path_ = path, .body_ = {} });
    auto cancelledAt = record.now();
    record.write("the DELETE was " + cancelled.describe());
    client.join();
    if (!cancelled.isSuccess() || !first.isSuccess())
        return Verdict::NotRun;
    std::this_thread::sleep_for(repeatAfter);
    if (isDisturbed) {
        record.write("the first POST arrives once more, at the same entry");
        record.write("the repeated POST was " + send(submission).describe());
    } else {
        record.write("no repeated request arrives");
    }
    std::this_thread::sleep_for(milliseconds(1500));
    auto events = system.runEvents();
    for (const auto& event : events)
        record.write(fmt::format("at {} ms on {}: {} {} run {} {}", event.atMs_, event.target_, event.what_, event.task_, event.number_, event.how_));
    bool isBroken = std::any_of(events.begin(), events.end(), [&](const RunEvent& event) { return event.what_ == "began" && event.atMs_ > cancelledAt + cancelMs; });
    record.write(isBroken ? "BROKEN: a task began later than cancel_ms after the cancelling was acknowledged" : "held");
    return isBroken ? Verdict::Broken : Verdict::Held;
}

} // namespace Lagoonpick::Review2
