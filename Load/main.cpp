#include "Lagoonpick/Configuration/CommandLine.h"
#include "Lagoonpick/Transport/Spawn.h"
#include "Load/LoadGenerator.h"

#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <fstream>
#include <iostream>

namespace {

using namespace Lagoonpick;
namespace json = boost::json;

constexpr double p99 = 0.99;
constexpr double p50 = 0.5;

/// The value at the rank floor(share * (n - 1)), counted from 0; 0 if there are no values.
double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values[rank];
}

double mean(const std::vector<double>& values)
{
    double sum = 0;
    for (double value : values)
        sum += value;
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

void writeJobLines(const Scenario& scenario, const std::vector<LoadJobResult>& outcomes, const std::vector<Duration>& ideal)
{
    if (scenario.outputFile_ == "-")
        return;
    std::ofstream file(scenario.outputFile_);
    for (const auto& outcome : outcomes) {
        file << json::serialize(json::object { { "job", outcome.job_ }, { "id", outcome.id_ }, { "status", outcome.status_ },
            { "outcome", outcome.outcome_ }, { "tasks", outcome.tasksAnswered_ }, { "response_us", outcome.response_.count() },
            { "ideal_us", ideal[outcome.job_].count() } })
             << "\n";
    }
}

json::object summarize(const std::vector<LoadJobResult>& outcomes, const std::vector<Duration>& ideal)
{
    std::vector<double> responses;
    std::vector<double> ideals;
    std::uint64_t tasks = 0;
    auto count = [&](std::string_view kind) {
        return std::count_if(outcomes.begin(), outcomes.end(), [&](const LoadJobResult& outcome) { return outcome.outcome_ == kind; });
    };
    for (const auto& outcome : outcomes) {
        if (outcome.outcome_ != "complete")
            continue;
        responses.push_back(static_cast<double>(outcome.response_.count()));
        ideals.push_back(static_cast<double>(ideal[outcome.job_].count()));
        tasks += outcome.tasksAnswered_;
    }
    auto ratio = [](double measured, double best) { return best > 0 ? measured / best : 0; };
    return { { "jobs", outcomes.size() }, { "complete", count("complete") }, { "failed", count("failed") }, { "refused", count("refused") },
        { "unanswered", count("none") }, { "tasks_complete", tasks },
        { "response_mean_us", mean(responses) }, { "response_p50_us", quantile(responses, p50) }, { "response_p99_us", quantile(responses, p99) },
        { "ideal_mean_us", mean(ideals) }, { "ideal_p99_us", quantile(ideals, p99) },
        { "response_over_ideal_mean", ratio(mean(responses), mean(ideals)) },
        { "response_over_ideal_p99", ratio(quantile(responses, p99), quantile(ideals, p99)) } };
}

int run(const Scenario& scenario)
{
    auto jobs = planJobs(scenario);
    auto ideal = idealResponseTimes(scenario, jobs);
    boost::asio::io_context context(1);
    LoadGenerator load(context, scenario, jobs);
    spawn(context, load.run(), "load generator");
    if (auto failure = runUntilStopped(context)) {
        std::cerr << "lagoonpick-load: " << *failure << "\n";
        return static_cast<int>(ExitCode::InternalError);
    }
    writeJobLines(scenario, load.outcomes(), ideal);
    std::cout << json::serialize(summarize(load.outcomes(), ideal)) << "\n";
    return static_cast<int>(ExitCode::Success);
}

} // namespace

int main(int argc, char** argv)
{
    CommandLine line = readCommandLine(argc, argv, { "lagoonpick-load", "sends a seeded workload to entries and measures response times relative to the ideal", {}, {} });
    if (line.exit_)
        return static_cast<int>(*line.exit_);
    SettingsReader reader(line.configFile_, readFile(line.configFile_).value_or(""));
    Scenario scenario = readScenario(reader);
    auto faults = reader.finish();
    for (const auto& fault : faults)
        std::cerr << fault.toString() << "\n";
    if (!faults.empty())
        return static_cast<int>(ExitCode::BadSettings);
    if (line.isCheckOnly_)
        return static_cast<int>(ExitCode::Success);
    std::signal(SIGPIPE, SIG_IGN);
    return run(scenario);
}
