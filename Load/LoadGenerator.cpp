#include "Load/LoadGenerator.h"

#include "Lagoonpick/Transport/Spawn.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace Lagoonpick {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::uint64_t maxAnswerBytes = 67'108'864;
constexpr Duration callTimeout = std::chrono::seconds(120);
constexpr std::uint32_t idsPerRequest = 200;
constexpr std::uint32_t httpOk = 200;
constexpr std::uint32_t httpBadRequest = 400;

std::string bodyOf(const Scenario& scenario, const PlannedJob& job)
{
    json::array tasks;
    for (auto work : job.work_)
        tasks.push_back(json::object { { "payload", std::to_string(work.count()) } });
    return json::serialize(json::object { { "service", scenario.service_ }, { "tasks", std::move(tasks) } });
}

void readAnswer(const Exchange& exchange, LoadJobResult& outcome)
{
    outcome.status_ = exchange.status_;
    if (exchange.stage_ != ExchangeStage::Answered) {
        outcome.outcome_ = "none";
        return;
    }
    if (exchange.status_ >= httpBadRequest) {
        outcome.outcome_ = "refused";
        return;
    }
    auto answer = json::parse(exchange.body_);
    outcome.outcome_ = answer.at("outcome").as_string();
    outcome.tasksAnswered_ = static_cast<std::uint32_t>(answer.at("tasks").as_array().size());
}

} // namespace

LoadGenerator::LoadGenerator(asio::io_context& context, Scenario scenario, std::vector<PlannedJob> jobs)
    : context_(context)
    , scenario_(std::move(scenario))
    , jobs_(std::move(jobs))
    , outcomes_(jobs_.size())
    , ids_(scenario_.entries_.size())
{
    for (const auto& address : scenario_.entries_)
        clients_.push_back(std::make_unique<HttpClient>(context, address, maxAnswerBytes));
}

asio::awaitable<void> LoadGenerator::run()
{
    asio::steady_timer timer(context_, scenario_.warmUp_);
    co_await timer.async_wait(asio::use_awaitable);
    auto startedAt = std::chrono::steady_clock::now();
    for (std::uint32_t job = 0; job < jobs_.size(); ++job) {
        timer.expires_at(startedAt + jobs_[job].arrival_);
        co_await timer.async_wait(asio::use_awaitable);
        spawn(context_, send(job), "job");
    }
}

asio::awaitable<std::string> LoadGenerator::takeId(std::size_t entry)
{
    auto& ids = ids_[entry];
    if (ids.empty()) {
        OutgoingRequest request { .path_ = "/v1/submissions", .body_ = fmt::format(R"({{"count":{}}})", idsPerRequest) };
        Exchange exchange = co_await clients_[entry]->exchange(std::move(request), callTimeout);
        if (exchange.status_ != httpOk)
            co_return "";
        auto answer = json::parse(exchange.body_);
        for (const auto& id : answer.at("ids").as_array())
            ids.push_back(json::value_to<std::string>(id));
    }
    std::string id = ids.front();
    ids.pop_front();
    co_return id;
}

asio::awaitable<void> LoadGenerator::send(std::uint32_t job)
{
    auto startedAt = std::chrono::steady_clock::now();
    std::size_t entry = job % clients_.size();
    LoadJobResult& outcome = outcomes_[job];
    outcome.job_ = job;
    outcome.outcome_ = "none";
    outcome.id_ = co_await takeId(entry);
    if (outcome.id_.empty())
        co_return;
    OutgoingRequest request { .method_ = "PUT", .path_ = "/v1/jobs/" + outcome.id_, .body_ = bodyOf(scenario_, jobs_[job]) };
    Exchange exchange = co_await clients_[entry]->exchange(std::move(request), callTimeout);
    outcome.response_ = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - startedAt);
    readAnswer(exchange, outcome);
}

} // namespace Lagoonpick
