#include "Control/ControlSettings.h"
#include "Control/JobHistory.h"
#include "Control/StateReport.h"
#include "Lagoonpick/Configuration/CommandLine.h"
#include "Lagoonpick/Transport/HttpClient.h"
#include "Lagoonpick/Transport/Spawn.h"

#include <iostream>

namespace {

using namespace Lagoonpick;
namespace asio = boost::asio;

constexpr std::uint64_t maxStateBytes = 67'108'864;
constexpr std::uint32_t statusOk = 200;

asio::awaitable<void> readState(asio::io_context& context, ProcessState& state, Duration timeout)
{
    HttpClient client(context, state.address_, maxStateBytes);
    // Programs on the users' platform serve the second path, at their metrics address.
    for (const auto* path : { "/debug/state", "/state" }) {
        Exchange exchange = co_await client.exchange({ .method_ = "GET", .path_ = path }, timeout);
        if (exchange.status_ == statusOk && exchange.body_.starts_with("{")) {
            state.json_ = std::move(exchange.body_);
            co_return;
        }
    }
}

std::vector<ProcessState> readStates(const ControlSettings& settings)
{
    std::vector<ProcessState> states;
    for (const auto& address : settings.processes_)
        states.push_back({ address, {} });
    asio::io_context context(1);
    for (auto& state : states)
        spawn(context, readState(context, state, settings.timeout_), "request for the state");
    if (auto failure = runUntilStopped(context))
        std::cerr << "lagoonpick-ctl: " << *failure << "\n";
    return states;
}

bool haveAllResponded(const std::vector<ProcessState>& states)
{
    return std::all_of(states.begin(), states.end(), [](const ProcessState& state) { return !state.json_.empty(); });
}

/// `lagoonpick-ctl history JOB [--json]`: reads logs from standard input; uses no settings file.
int showHistory(const std::vector<std::string>& arguments)
{
    bool isJson = arguments.size() == 2 && arguments[1] == "--json";
    if (arguments.empty() || arguments[0].starts_with("-") || (arguments.size() > 1 && !isJson)) {
        std::cerr << "lagoonpick-ctl history JOB [--json]: give a job's id; the logs are read from standard input\n";
        return static_cast<int>(ExitCode::Usage);
    }
    JobHistory history(arguments[0]);
    for (std::string line; std::getline(std::cin, line);)
        history.add(line);
    std::cout << (isJson ? writeHistoryJson(history) : writeHistoryTable(history));
    return static_cast<int>(ExitCode::Success);
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> arguments(argv + 1, argv + argc);
    if (!arguments.empty() && arguments[0] == "history")
        return showHistory({ arguments.begin() + 1, arguments.end() });
    CommandLine line = readCommandLine(argc, argv, { "lagoonpick-ctl", "shows the state of the system's processes and the history of a job", "Commands:\n  status  a table with one line per process\n  dump    the complete state of each process, as JSON\n  history JOB [--json]  the events of a job and its outcome, from logs on standard input\n", { "status", "dump" } });
    if (line.exit_)
        return static_cast<int>(*line.exit_);
    SettingsReader reader(line.configFile_, readFile(line.configFile_).value_or(""));
    ControlSettings settings = readControlSettings(reader);
    auto faults = reader.finish();
    for (const auto& fault : faults)
        std::cerr << "lagoonpick-ctl: " << fault.toString() << "\n";
    if (!faults.empty())
        return static_cast<int>(ExitCode::BadSettings);
    if (line.isCheckOnly_)
        return static_cast<int>(ExitCode::Success);
    auto states = readStates(settings);
    std::cout << (line.command_ == "dump" ? writeDump(states) : writeStatus(states));
    return static_cast<int>(haveAllResponded(states) ? ExitCode::Success : ExitCode::Unavailable);
}
