#include "Lagoonpick/Dispatch/FairQueue.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck/catch.h>

using namespace Lagoonpick;

namespace {

/// Serves `turns` tasks and counts them by job; jobs never run out of tasks.
std::map<JobIndex, int> serve(FairQueue& queue, int turns)
{
    std::map<JobIndex, int> served;
    for (int i = 0; i < turns; ++i) {
        auto job = queue.front();
        if (!job)
            break;
        ++served[*job];
        queue.serveFront(true);
    }
    return served;
}

} // namespace

TEST_CASE("Teams are served in proportion to their weights, regardless of their number of jobs", "[FairQueue]")
{
    struct Row {
        double firstWeight_;
        int firstJobs_;
        int expectedShare_;
    };
    auto row = GENERATE(values<Row>({ { 1, 1, 500 }, { 1, 50, 500 }, { 3, 1, 750 }, { 3, 20, 750 }, { 0.25, 5, 200 } }));
    FairQueue queue;
    queue.setWeight("first", row.firstWeight_);
    for (JobIndex job = 0; job < static_cast<JobIndex>(row.firstJobs_); ++job)
        queue.push("first", job, Time(Duration(job)));
    queue.push("second", 1000, Time());
    auto served = serve(queue, 1000);
    int first = 1000 - served[1000];
    CHECK(first == Approx(row.expectedShare_).margin(2));
}

TEST_CASE("Teams beyond the limit share one place of default weight, whatever weights they and the last team have", "[FairQueue]")
{
    constexpr int maxTeams = 4096;
    constexpr JobIndex last = 1;
    constexpr JobIndex beyond = 2;
    FairQueue queue;
    for (int team = 0; team < maxTeams; ++team)
        queue.setWeight("team-" + std::to_string(team), team == maxTeams - 1 ? 3 : 1);
    queue.setWeight("one too many", 1000);
    queue.push("team-" + std::to_string(maxTeams - 1), last, Time());
    queue.push("another one too many", beyond, Time());
    auto served = serve(queue, 1000);
    CHECK(served[last] == Approx(750).margin(2));
    CHECK(served[beyond] == Approx(250).margin(2));
}

TEST_CASE("A team gets no credit for time in which it was idle", "[FairQueue]")
{
    FairQueue queue;
    queue.push("busy", 1, Time());
    serve(queue, 100);
    queue.push("idle", 2, Time());
    auto served = serve(queue, 10);
    CHECK(served[1] == 5);
    CHECK(served[2] == 5);
}

TEST_CASE("Removing a job without tasks left charges no team", "[FairQueue]")
{
    FairQueue queue;
    queue.push("a", 1, Time());
    queue.push("b", 2, Time());
    REQUIRE(queue.front() == 1);
    queue.removeFront();
    CHECK(queue.front() == 2);
    queue.serveFront(false);
    CHECK(queue.isEmpty());
    CHECK_FALSE(queue.front());
}

TEST_CASE("Any number of team names takes bounded memory, and all their jobs are served", "[FairQueue]")
{
    FairQueue queue;
    constexpr JobIndex count = 5000;
    for (JobIndex job = 0; job < count; ++job)
        queue.push("team-" + std::to_string(job), job, Time());
    int served = 0;
    while (queue.front()) {
        queue.serveFront(false);
        ++served;
    }
    CHECK(served == static_cast<int>(count));
}

TEST_CASE("Every job is served exactly once per task", "[FairQueue]")
{
    rc::prop("conservation", [](const std::vector<std::uint8_t>& tasksOfJobs) {
        FairQueue queue;
        std::vector<int> left;
        int total = 0;
        for (auto tasks : tasksOfJobs) {
            left.push_back(1 + tasks % 5);
            total += left.back();
            queue.push("team-" + std::to_string(tasks % 3), static_cast<JobIndex>(left.size() - 1), Time(Duration(tasks * 7 % 11)));
        }
        while (auto job = queue.front()) {
            RC_ASSERT(left[*job] > 0);
            --total;
            queue.serveFront(--left[*job] > 0);
        }
        RC_ASSERT(total == 0);
    });
}

TEST_CASE("Within a team the job with the earliest due time is served first, to its last task", "[FairQueue]")
{
    FairQueue queue;
    queue.push("team", 1, Time(Duration(30)));
    queue.push("team", 2, Time(Duration(10)));
    queue.push("team", 3, Time(Duration(20)));
    std::vector<JobIndex> order;
    for (int i = 0; i < 6; ++i) {
        order.push_back(*queue.front());
        queue.serveFront(i % 2 == 0);
    }
    CHECK(order == std::vector<JobIndex> { 2, 2, 3, 3, 1, 1 });
}
