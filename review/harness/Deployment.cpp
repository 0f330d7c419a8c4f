#include "review/harness/Deployment.h"

#include "Lagoonpick/Transport/HttpClient.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace Lagoonpick::Review {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

/// Folder of the review's own programs.
constexpr const char* reviewPrograms = "build-review/";
constexpr std::uint64_t maxBodyBytes = 1'048'576;

std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("can't read " + path);
    return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

/// A port on which nothing listens at `ip`.
std::string findFreePort(const std::string& ip)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, { boost::asio::ip::make_address(ip), 0 });
    return std::to_string(acceptor.local_endpoint().port());
}

/// Fills the placeholders of a template of the deploy file in.
std::string render(std::string text, const std::map<std::string, std::string>& values)
{
    for (auto begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{", begin)) {
        auto end = text.find("}}", begin);
        std::string name = text.substr(begin + 2, end - begin - 2);
        auto value = values.find(name);
        if (value == values.end())
            throw std::runtime_error("no value for the placeholder " + name);
        text.replace(begin, end + 2 - begin, value->second);
    }
    return text;
}

std::mt19937_64& random()
{
    static std::mt19937_64 generator(std::random_device {}());
    return generator;
}

} // namespace

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

double nowSeconds()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::string makeJobId()
{
    static std::mutex mutex;
    std::lock_guard lock(mutex);
    return fmt::format("{:016x}", random()());
}

Answer callHttp(const std::string& address, const std::string& method, const std::string& path, const std::string& body, const std::map<std::string, std::string>& headers, milliseconds timeout)
{
    boost::asio::io_context context;
    HttpClient client(context, address, maxBodyBytes);
    OutgoingRequest request { .method_ = method, .path_ = path, .idempotencyKey_ = {}, .body_ = body };
    for (const auto& [name, value] : headers)
        request.headers_.push_back({ name, value });
    Answer answer;
    auto call = [&]() -> boost::asio::awaitable<void> {
        Exchange exchange = co_await client.exchange(std::move(request), timeout);
        if (exchange.stage_ == ExchangeStage::Answered)
            answer = { exchange.status_, exchange.body_ };
    };
    boost::asio::co_spawn(context, call, boost::asio::detached);
    context.run();
    return answer;
}

Deployment::Deployment(DeploymentSettings settings)
    : settings_(std::move(settings))
    , edges_(settings_.edges_)
    , workers_(settings_.workers_.size())
{
    std::ofstream record(settings_.recordFile_, std::ios::trunc);
    record.close();
    // Machines have addresses 127.A.B.1 and so on, and the same ports on each, as in a deployment.
    std::uniform_int_distribution<int> octet(1, 250);
    std::string network = fmt::format("127.{}.{}.", octet(random()), octet(random()));
    std::string first = network + "1";
    auto ip = [&network](std::size_t machine) { return network + std::to_string(machine + 1); };
    std::string frontPort = findFreePort(first);
    std::string readyPort = findFreePort(first);
    std::string controlPort = findFreePort(first);
    std::string appPort = findFreePort(first);
    std::string proxyPort = findFreePort(first);
    metricsPort_ = findFreePort(first);
    std::string storeAddress = ip(edges_.size() + workers_.size()) + ":" + findFreePort(first);
    std::string seeds = ip(0) + ":" + controlPort;
    for (std::size_t i = 1; i < std::min<std::size_t>(edges_.size(), 3); ++i)
        seeds.append(",").append(ip(i)).append(":").append(controlPort);
    commonValues_ = { { "zone", "cl-centro-a" }, { "seeds", seeds }, { "platform.address", storeAddress }, { "internal_port_range.0", findFreePort(first) },
        { "bounds.grace_s", "6" }, { "bounds.max_hold_ms", "1000" }, { "bounds.stop_timeout_ms", "50" }, { "bounds.resend_ms", "1300" },
        { "bounds.remote_factor", "1.5" }, { "limits.max_fds", "4100" }, { "limits.memory_mb", "260" } };
    auto configurationFile = folder_.write("configuration.json", configuration());
    store_ = std::make_unique<Contract::Process>(std::vector<std::string> { std::string(reviewPrograms) + "review-store", storeAddress, configurationFile }, folder_.path() + "/store.log");
    for (std::size_t i = 0; i < edges_.size(); ++i) {
        Edge& edge = edges_[i];
        edge.front_ = ip(i) + ":" + frontPort;
        edge.ready_ = ip(i) + ":" + readyPort;
        edge.process_ = startProgram("target/JobEntry/lagoonpick-job-entry", fmt::format("edge-{}", i + 1), "deploy/entry.ini",
            { { "ip", ip(i) }, { "listen.front", edge.front_ }, { "listen.ready", edge.ready_ } });
    }
    for (std::size_t i = 0; i < workers_.size(); ++i) {
        Worker& worker = workers_[i];
        std::string address = ip(edges_.size() + i);
        worker.control_ = fmt::format("{}:{}", address, controlPort);
        worker.app_ = fmt::format("{}:{}", address, appPort);
        worker.proxy_ = fmt::format("{}:{}", address, proxyPort);
        worker.agent_ = startProgram("target/RunAgent/lagoonpick-run-agent", fmt::format("side-{}", i + 1), "deploy/agent.ini",
            { { "ip", address }, { "listen.control", worker.control_ }, { "app", settings_.hasProxies_ ? worker.proxy_ : worker.app_ } });
        startWorker(i, settings_.workers_[i], {});
    }
}

std::string Deployment::configuration() const
{
    json::object route { { "name", "slot-confirm" }, { "host", host }, { "prefix", prefix }, { "kind", "non_idempotent" }, { "timeout_ms", 1500 },
        { "target_completion_ms", settings_.targetCompletionMs_ }, { "priority", 0 }, { "service", service }, { "max_attempts", 3 }, { "slack_factor", settings_.slackFactor_ } };
    json::object pool { { "name", service }, { "health_path", "/health" }, { "max_conns", 64 }, { "protocol", "h1" }, { "tls", false }, { "admission_check", true }, { "standby", false } };
    json::object limits { { "max_header_bytes", 16'384 }, { "max_body_bytes", 262'144 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15'000 } };
    return json::serialize(json::object { { "version", 7 }, { "routes", json::array { route } }, { "services", json::array { pool } }, { "limits", limits } });
}

std::unique_ptr<Contract::Process> Deployment::startProgram(const std::string& program, const std::string& name, const std::string& templateFile, std::map<std::string, std::string> values)
{
    values.insert(commonValues_.begin(), commonValues_.end());
    values["node_name"] = name;
    std::string text = render(readFile(templateFile), values);
    // The template names one port for metrics, which may be in use on this machine.
    auto port = text.find(":9100");
    if (port != std::string::npos)
        text.replace(port, 5, ":" + metricsPort_);
    auto file = folder_.write(name + ".ini", text);
    ::setenv("LAGOONPICK_CONFIG", file.c_str(), 1);
    return std::make_unique<Contract::Process>(std::vector<std::string> { program }, folder_.path() + "/" + name + ".log");
}

void Deployment::startWorker(std::size_t index, const WorkerKind& kind, const std::string& id)
{
    Worker& worker = workers_[index];
    worker.id_ = id.empty() ? "i-" + makeJobId().substr(0, 10) : id;
    std::vector<std::string> arguments { std::string(reviewPrograms) + "review-worker", "--address", worker.app_, "--control", worker.control_, "--id", worker.id_,
        "--service", service, "--labels", kind.labels_, "--cpu", std::to_string(settings_.milliCores_), "--record", settings_.recordFile_ };
    if (!kind.crashText_.empty())
        arguments.insert(arguments.end(), { "--crash-on", kind.crashText_ });
    worker.process_ = std::make_unique<Contract::Process>(arguments, fmt::format("{}/worker-{}.log", folder_.path(), index + 1));
}

void Deployment::killWorker(std::size_t worker)
{
    workers_[worker].process_->kill();
    std::lock_guard lock(recordMutex_);
    std::ofstream(settings_.recordFile_, std::ios::app) << fmt::format("{:.6f} {} worker-down {} 0 killed\n", nowSeconds(), workers_[worker].id_, workers_[worker].id_);
}

bool Deployment::waitUntilReady() const
{
    constexpr auto maxWait = std::chrono::seconds(20);
    /// A worker's heartbeats come every 1.5 s, and agents look for edges within a second.
    constexpr auto settlingTime = std::chrono::seconds(4);
    auto until = std::chrono::steady_clock::now() + maxWait;
    for (const auto& edge : edges_) {
        while (callHttp(edge.ready_, "GET", "/lagoonpick/ready", {}, {}, milliseconds(500)).status_ != 200) {
            if (std::chrono::steady_clock::now() > until)
                return false;
            std::this_thread::sleep_for(milliseconds(50));
        }
    }
    std::this_thread::sleep_for(settlingTime);
    return true;
}

Answer Deployment::submit(const std::string& front, const Job& job)
{
    json::object step { { "count", job.tasks_ }, { "cpu", job.milliCores_ }, { "mem_mb", 64 }, { "estimate_ms", job.milliseconds_ } };
    if (!job.requiredLabel_.empty())
        step["requires"] = job.requiredLabel_;
    std::string spec = fmt::format("ms={} cpu={} mem=64 {}", job.milliseconds_, job.milliCores_, job.note_);
    json::object body { { "spec", spec }, { "best_effort", true }, { "steps", json::array { step } } };
    record(fmt::format("client sent {} tasks={} ms={} requires={} to {}", job.id_, job.tasks_, job.milliseconds_, job.requiredLabel_, front));
    auto answer = callHttp(front, "POST", prefix + job.id_, json::serialize(body), { { "Host", host }, { "Lagoonpick-Deadline-Ms", std::to_string(job.deadlineMs_) } }, milliseconds(job.deadlineMs_));
    record(fmt::format("client answer {} {} {}", job.id_, answer.status_, answer.body_));
    return answer;
}

void Deployment::record(const std::string& text)
{
    std::lock_guard lock(recordMutex_);
    std::ofstream(settings_.recordFile_, std::ios::app) << fmt::format("{:.6f} {}\n", nowSeconds(), text);
}

std::vector<RunEvent> readRunEvents(const std::string& recordFile)
{
    std::vector<RunEvent> events;
    std::ifstream file(recordFile);
    for (std::string line; std::getline(file, line);) {
        std::istringstream words(line);
        RunEvent event;
        words >> event.at_ >> event.worker_ >> event.what_ >> event.task_ >> event.run_;
        std::getline(words, event.detail_);
        if (event.worker_.starts_with("i-"))
            events.push_back(std::move(event));
    }
    std::stable_sort(events.begin(), events.end(), [](const auto& left, const auto& right) { return left.at_ < right.at_; });
    return events;
}

std::vector<std::string> findOverlaps(const std::string& recordFile)
{
    std::vector<std::string> violations;
    // The runs in progress by task, and of each by worker and number.
    std::map<std::string, std::map<std::pair<std::string, std::string>, double>> running;
    for (const auto& event : readRunEvents(recordFile)) {
        if (event.what_ == "worker-down") {
            for (auto& [task, runs] : running)
                std::erase_if(runs, [&event](const auto& run) { return run.first.first == event.worker_; });
        }
        std::pair name { event.worker_, event.run_ };
        if (event.what_ == "end")
            running[event.task_].erase(name);
        if (event.what_ != "begin")
            continue;
        for (const auto& [other, beganAt] : running[event.task_])
            violations.push_back(fmt::format("TWICE: task {} began on {} as run {} at {:.3f} s while its run {} had been at work on {} for {:.3f} s", event.task_, event.worker_, event.run_, event.at_, other.second, other.first, event.at_ - beganAt));
        running[event.task_][name] = event.at_;
    }
    return violations;
}

int runCase(int argc, char** argv, const std::function<std::vector<std::string>(const std::string&)>& play)
{
    constexpr int broken = 1;
    constexpr int notRun = 2;
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " RECORD-FILE\n";
        return notRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    try {
        auto violations = play(argv[1]);
        std::ofstream record(argv[1], std::ios::app);
        for (const auto& text : violations) {
            std::cout << "broken: " << text << std::endl;
            record << "broken: " << text << "\n";
        }
        std::cout << (violations.empty() ? "held" : "broken") << (hasTrouble() ? "" : " (without the disruption)") << std::endl;
        return violations.empty() ? 0 : broken;
    } catch (const std::exception& error) {
        std::cerr << "not run: " << error.what() << "\n";
        return notRun;
    }
}

} // namespace Lagoonpick::Review
