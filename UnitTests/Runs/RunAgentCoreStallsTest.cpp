#include "UnitTests/Runs/RunAgentFixture.h"

#include <catch2/catch.hpp>

namespace Lagoonpick {

namespace {

using std::chrono::milliseconds;
using Wire::RunEnd;

/// Expected time of the runs here, and the interval of the target's lists.
constexpr milliseconds work { 400 };
constexpr milliseconds listInterval { 50 };
constexpr int listCount = 10;
/// Progress of a run in `listInterval`, in hundredths of a percent: as expected, and of runs that take about seven and ten times as long.
constexpr std::uint32_t sound = 1000;
constexpr std::uint32_t sevenTimes = 180;
constexpr std::uint32_t tenTimes = 125;
constexpr std::uint32_t none = 0;

/// Runs on one target, and the stalls that its agent reports.
class Stalls : public RunAgentFixture {
public:
    Stalls() { sendHeartbeatWithCapacity(64'000); }

    /// Has a run end as done, `took` after its start.
    void endRun(Duration took)
    {
        std::uint64_t number = begin(std::chrono::seconds(10));
        for (Duration passed {}; passed < took; passed += listInterval)
            list(std::min<Duration>(listInterval, took - passed), { { number, 50 } });
        ended_.push_back({ ++lastEnd_, name(number), RunEnd::Done });
        list(milliseconds(1), {});
    }

    void beginRuns(std::size_t count, Duration callerTimeout)
    {
        for (std::size_t i = 0; i < count; ++i)
            numbers_.push_back(begin(callerTimeout));
    }

    /// Begins runs, unless that was done before, has them progress at these rates and delivers lists.
    void progress(const std::vector<std::uint32_t>& rates, Duration callerTimeout)
    {
        if (numbers_.empty())
            beginRuns(rates.size(), callerTimeout);
        for (std::uint32_t step = 1; step <= listCount; ++step) {
            std::vector<std::pair<std::uint64_t, std::uint32_t>> rows;
            for (std::size_t i = 0; i < rates.size(); ++i)
                rows.emplace_back(numbers_[i], std::min(99U, step * rates[i] / 100));
            list(listInterval, rows);
        }
    }

    /// Number of the runs in progress that were reported as stalled.
    std::size_t reported() const
    {
        std::set<std::uint64_t> runs;
        for (const auto& item : messages_) {
            if (const auto* stalled = std::get_if<Wire::RunStalled>(&item.message_))
                runs.insert(stalled->run_);
        }
        return runs.size();
    }

private:
    static RunName name(std::uint64_t number) { return { "job" + std::to_string(number) + ".0.0.0", 1 }; }

    std::uint64_t begin(Duration callerTimeout)
    {
        std::uint64_t number = ++lastRun_;
        core_.receive(link, Wire::StartRun { .run_ = number, .task_ = name(number).task_, .number_ = 1, .payload_ = "p", .service_ = "service", .need_ = { 1000, 10, 0 }, .workMicroseconds_ = static_cast<std::uint64_t>(Duration(work).count()), .waitMicroseconds_ = 100'000, .dueInMicroseconds_ = 100'000, .callerTimeoutMicroseconds_ = static_cast<std::uint64_t>(callerTimeout.count()), .agentTime_ = agentTime() }, now_);
        advance({});
        reply(starts_.size() - 1, CallAnswer::Accepted);
        return number;
    }

    /// Delivers the next list after `interval`.
    void list(Duration interval, const std::vector<std::pair<std::uint64_t, std::uint32_t>>& rows)
    {
        core_.receive(link, Wire::RunHeartbeat { .agentTime_ = agentTime() }, now_);
        advance(interval);
        LeaseReply reply { .running_ = {}, .ended_ = ended_ };
        for (const auto& [number, percent] : rows)
            reply.running_.push_back({ name(number), percent });
        answerLease(reply);
        advance({});
    }

    std::uint64_t lastRun_ { 0 };
    std::uint64_t lastEnd_ { 0 };
    std::vector<EndedRow> ended_;
    std::vector<std::uint64_t> numbers_;
};

} // namespace

// Guards against: a sound target with one or two stragglers counted as slow, so that their runs were stopped and begun again elsewhere.
TEST_CASE("Runs far over their expected time are reported as stalled only if they are stuck or their neighbours show the target to be slow")
{
    struct Row {
        std::string name_;
        /// Times that earlier runs took, as multiples of the expected time.
        std::vector<double> ended_;
        std::vector<std::uint32_t> rates_;
        std::size_t reported_;
    };
    auto row = GENERATE(values<Row>({
        { "no straggler", { 1, 1, 1 }, { sound, sound }, 0 },
        { "sound target, one straggler without neighbours", { 1, 1, 1 }, { tenTimes }, 0 },
        { "sound target, one straggler among others", { 1, 1, 1 }, { tenTimes, sound, sound, sound }, 0 },
        { "sound target, two stragglers without neighbours", { 1, 1, 1 }, { sevenTimes, sevenTimes }, 0 },
        { "sound target, two stragglers among others", { 1, 1, 1 }, { tenTimes, tenTimes, sound, sound }, 0 },
        { "sound target, one straggler after two that ended", { 1, 1, 1, 7, 7 }, { sevenTimes }, 0 },
        { "slow target, several runs", { 1, 1, 1 }, { sevenTimes, sevenTimes, sevenTimes, sevenTimes }, 4 },
        { "slow target, several runs, declared times differ", { 1, 1, 1 }, { tenTimes, sevenTimes, 300, 400 }, 4 },
        { "slow target, one run after others that ended", { 7, 7, 7, 7, 7, 7 }, { sevenTimes }, 1 },
        { "hung target, several runs", { 1, 1, 1 }, { none, none, none }, 3 },
        { "hung target, one run", { 1, 1, 1 }, { none }, 1 },
        { "sound target, one run stuck", { 1, 1, 1 }, { none, sound, sound }, 1 },
    }));
    INFO(row.name_);
    Stalls agent;
    for (double ratio : row.ended_)
        agent.endRun(scale(work, ratio));
    agent.messages_.clear();
    agent.progress(row.rates_, std::chrono::seconds(10));
    CHECK(agent.reported() == row.reported_);
}

// Guards against: entries went on choosing a target that hangs until its next regular report, and tasks waited for room there.
TEST_CASE("Once two runs of different jobs are stuck, the entry is told at once that the target is suspect and waiting tasks are returned")
{
    auto [rates, isSuspect] = GENERATE(table<std::vector<std::uint32_t>, bool>({ { { none, sound, sound }, false }, { { none, none, sound }, true } }));
    Stalls agent;
    agent.sendHeartbeatWithCapacity(3000);
    agent.beginRuns(3, std::chrono::seconds(10));
    agent.startRun(100, std::chrono::seconds(5), 1000, std::chrono::seconds(5), { work });
    agent.progress(rates, std::chrono::seconds(10));
    CHECK(agent.core_.monitor().isSuspect() == isSuspect);
    CHECK(agent.core_.counters().suspicions_ == (isSuspect ? 1 : 0));
    auto find = [&](auto matches) { return std::find_if(agent.messages_.begin(), agent.messages_.end(), matches); };
    auto report = find([](const auto& item) {
        const auto* alternative = std::get_if<Wire::TargetReport>(&item.message_);
        return alternative && alternative->isSuspect_;
    });
    auto returned = find([](const auto& item) {
        const auto* ended = std::get_if<Wire::RunEnded>(&item.message_);
        return ended && ended->run_ == 100 && ended->reason_ == Wire::NotStartedReason::NoRoom;
    });
    CHECK((report != agent.messages_.end()) == isSuspect);
    CHECK((returned != agent.messages_.end()) == isSuspect);
    CHECK((!isSuspect || report < returned));
}

// Guards against: a run whose own work is long was moved when its caller's time ran short, and began at zero elsewhere.
TEST_CASE("A run that is too long for its caller is reported with its own work unless its target is the cause")
{
    struct Row {
        std::string name_;
        std::vector<std::uint32_t> rates_;
        bool isTargetAtFault_;
    };
    auto row = GENERATE(values<Row>({
        { "straggler", { sevenTimes, sound, sound }, false },
        { "slow target", { sevenTimes, sevenTimes, sevenTimes }, true },
        { "stuck", { none, sound, sound }, true },
    }));
    INFO(row.name_);
    Stalls agent;
    agent.progress(row.rates_, milliseconds(1500));
    auto first = std::find_if(agent.messages_.begin(), agent.messages_.end(), [](const auto& item) {
        const auto* stalled = std::get_if<Wire::RunStalled>(&item.message_);
        return stalled && stalled->run_ == 1;
    });
    REQUIRE(first != agent.messages_.end());
    auto shownWork = Duration(static_cast<Duration::rep>(std::get<Wire::RunStalled>(first->message_).workMicroseconds_));
    if (row.isTargetAtFault_)
        CHECK(shownWork == Duration());
    else
        CHECK(shownWork > work * 4);
}

} // namespace Lagoonpick
