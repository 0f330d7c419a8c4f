#include "ContractTests/Support/Caller.h"
#include "ContractTests/Support/Deployment.h"
#include "Lagoonpick/Core/SteadyTime.h"
#include "Lagoonpick/Transport/HttpClient.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <iostream>
#include <thread>

namespace {

using namespace Lagoonpick;
using namespace Lagoonpick::Contract;
namespace asio = boost::asio;
namespace options = boost::program_options;

constexpr std::uint32_t tasksPerJob = 100;
constexpr std::uint64_t maxAnswerBytes = 1'048'576;
constexpr Duration callTimeout = std::chrono::seconds(60);
constexpr std::uint32_t httpOk = 200;

/// Response times of a batch of requests, and the number of requests that failed.
struct Timing {
    std::vector<double> microseconds_;
    std::uint32_t failures_ { 0 };

    double quantile(double share)
    {
        std::sort(microseconds_.begin(), microseconds_.end());
        return microseconds_.empty() ? 0 : microseconds_[static_cast<std::size_t>(share * static_cast<double>(microseconds_.size() - 1))];
    }
};

/// Sends requests one after the other and records the response time of each.
asio::awaitable<void> callSequentially(HttpClient& client, const std::vector<OutgoingRequest>& requests, Timing& timing)
{
    for (const auto& item : requests) {
        OutgoingRequest request = item;
        auto startedAt = std::chrono::steady_clock::now();
        Exchange exchange = co_await client.exchange(std::move(request), callTimeout);
        double elapsedMicroseconds = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - startedAt).count();
        timing.microseconds_.push_back(elapsedMicroseconds);
        bool isJob = item.method_ == "PUT";
        bool hasSucceeded = exchange.status_ == httpOk && (!isJob || exchange.body_.find(R"("outcome":"complete")") != std::string::npos);
        timing.failures_ += !hasSucceeded;
    }
}

Timing measure(const std::string& address, const std::vector<OutgoingRequest>& requests, std::size_t concurrency)
{
    asio::io_context context(1);
    HttpClient client(context, address, maxAnswerBytes);
    std::vector<std::vector<OutgoingRequest>> shares(concurrency);
    for (std::size_t i = 0; i < requests.size(); ++i)
        shares[i % concurrency].push_back(requests[i]);
    Timing timing;
    for (const auto& share : shares)
        asio::co_spawn(context, callSequentially(client, share, timing), asio::detached);
    context.run();
    return timing;
}

std::vector<OutgoingRequest> jobRequests(const std::string& entry, std::uint32_t jobs, std::uint32_t tasks)
{
    std::vector<OutgoingRequest> requests;
    std::string body = jobBody(tasks, 0);
    for (std::uint32_t i = 0; i < jobs; ++i) {
        OutgoingRequest request { .method_ = "PUT", .path_ = "/v1/jobs/" + takeId(entry), .body_ = body };
        requests.push_back(std::move(request));
    }
    return requests;
}

void measureLatency(std::uint32_t calls)
{
    Deployment system({ .entries_ = 1, .agents_ = 2, .slots_ = 8, .hasDirectLinks_ = true, .extraEntrySettings_ = {}, .extraAgentSettings_ = {} });
    system.waitUntilConnected();
    std::vector<OutgoingRequest> direct(calls, OutgoingRequest { .path_ = "/default", .body_ = "0" });
    auto jobs = jobRequests(system.callerAddress(0), calls, 1);
    Timing baseline = measure(system.targetAddress(0), direct, 1);
    Timing path = measure(system.callerAddress(0), jobs, 1);
    std::cout << fmt::format(R"({{"bench":"latency","calls":{},"failures":{},"target_p50_us":{:.0f},"target_p99_us":{:.0f},"path_p50_us":{:.0f},"path_p99_us":{:.0f},"added_p99_us":{:.0f}}})",
        calls, path.failures_ + baseline.failures_, baseline.quantile(0.5), baseline.quantile(0.99), path.quantile(0.5), path.quantile(0.99), path.quantile(0.99) - baseline.quantile(0.99))
              << "\n";
}

double debugStateNumber(const std::string& address, std::string_view member)
{
    return std::strtod(call(address, "GET", "/debug/state").member(member).c_str(), nullptr);
}

/// Measures CPU time, memory, link traffic and platform calls of the processes while no job runs.
void measureIdle(std::size_t entries, std::size_t agents)
{
    constexpr int seconds = 10;
    // With the default intervals and timeouts, as in production.
    Deployment system({ .entries_ = entries, .agents_ = agents, .slots_ = 8, .hasDirectLinks_ = true, .hasDefaultTimes_ = true, .extraEntrySettings_ = {}, .extraAgentSettings_ = {} });
    if (!system.waitUntilConnected())
        std::cerr << "not all links of the entries were open in time\n";
    double entryBefore = system.entry(0).processorSeconds();
    double agentBefore = system.agent(0).processorSeconds();
    double entryBytes = debugStateNumber(system.callerAddress(0), "link_bytes");
    double agentBytes = debugStateNumber(system.agentDebugAddress(0), "link_bytes");
    auto callsBefore = call(system.platformAddress(), "GET", "/standin/counts").body_;
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    auto callsAfter = call(system.platformAddress(), "GET", "/standin/counts").body_;
    std::cout << fmt::format(R"({{"bench":"rest","entries":{},"agents":{},"entry_cpu_percent":{:.3f},"agent_cpu_percent":{:.3f},"entry_kb":{},"agent_kb":{},"entry_link_bytes_per_s":{:.0f},"agent_link_bytes_per_s":{:.0f},"platform_calls_before":{},"platform_calls_after":{}}})",
        entries, agents, (system.entry(0).processorSeconds() - entryBefore) * 100 / seconds, (system.agent(0).processorSeconds() - agentBefore) * 100 / seconds,
        system.entry(0).residentKilobytes(), system.agent(0).residentKilobytes(),
        (debugStateNumber(system.callerAddress(0), "link_bytes") - entryBytes) / seconds, (debugStateNumber(system.agentDebugAddress(0), "link_bytes") - agentBytes) / seconds, callsBefore, callsAfter)
              << std::endl;
}

void measureThroughput(std::uint32_t jobs)
{
    Deployment system({ .entries_ = 1, .agents_ = 6, .slots_ = 64, .hasDirectLinks_ = true, .extraEntrySettings_ = "[limits]\nqueue_depth = 64\n", .extraAgentSettings_ = "[limits]\nmax_queued = 1000\n" });
    system.waitUntilConnected();
    auto requests = jobRequests(system.callerAddress(0), jobs, tasksPerJob);
    double entryBefore = system.entry(0).processorSeconds();
    double agentBefore = system.agent(0).processorSeconds();
    auto bytesBefore = debugStateNumber(system.callerAddress(0), "link_bytes");
    auto startedAt = std::chrono::steady_clock::now();
    Timing timing = measure(system.callerAddress(0), requests, 16);
    double tasks = static_cast<double>(jobs) * tasksPerJob;
    double entryMicroseconds = (system.entry(0).processorSeconds() - entryBefore) * 1e6 / tasks;
    double agentTasks = debugStateNumber(system.agentDebugAddress(0), "ledger_rows");
    double agentMicroseconds = (system.agent(0).processorSeconds() - agentBefore) * 1e6 / agentTasks;
    double bytes = (debugStateNumber(system.callerAddress(0), "link_bytes") - bytesBefore) / tasks;
    double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
    std::cout << fmt::format(R"({{"bench":"throughput","tasks":{},"failures":{},"tasks_per_s":{:.0f},"job_p50_us":{:.0f},"job_p99_us":{:.0f},"starts":{},"entry_cpu_us_per_task":{:.1f},"agent_cpu_us_per_task":{:.1f},"link_bytes_per_task":{:.0f}}})",
        jobs * tasksPerJob, timing.failures_, jobs * tasksPerJob / seconds, timing.quantile(0.5), timing.quantile(0.99), system.starts().size(), entryMicroseconds, agentMicroseconds, bytes)
              << "\n";
}

} // namespace

int main(int argc, char** argv)
{
    std::uint32_t calls = 2000;
    std::uint32_t jobs = 1000;
    bool isIdleOnly = false;
    options::options_description description("PathBenchmark: latency and throughput of the whole path through real processes on the loopback interface");
    auto add = description.add_options();
    add("help", "print this text");
    add("calls", options::value(&calls), "single-task jobs, sent one at a time, for the latency");
    add("rest", options::bool_switch(&isIdleOnly), "measure CPU, memory and traffic of idle processes instead");
    add("jobs", options::value(&jobs), "jobs of 100 tasks for the throughput");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    if (isIdleOnly) {
        measureIdle(1, 11);
        measureIdle(3, 11);
        measureIdle(3, 100);
        return 0;
    }
    measureLatency(calls);
    measureThroughput(jobs);
    return 0;
}
