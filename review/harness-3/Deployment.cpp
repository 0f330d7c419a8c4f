#include "Deployment.h"

#include "Clock.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace Review {

namespace {

constexpr auto zone = "cl-centro-a";
constexpr auto service = "huvo11a";
constexpr auto entryProgram = "target/JobEntry/lagoonpick-job-entry";
constexpr auto agentProgram = "target/RunAgent/lagoonpick-run-agent";
constexpr int storeMachine = 1;
constexpr int firstEntry = 11;
constexpr int firstTarget = 51;
constexpr int agentDescriptors = 4096;
constexpr int agentMegabytes = 128;
constexpr std::int64_t readyWaitMs = 15'000;

std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

Deployment::Deployment(DeploymentSize size, Record& record)
    : size_(size)
    , record_(record)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    if (mkdtemp(pattern.data()))
        folder_ = pattern;
}

Deployment::~Deployment()
{
    for (auto process : entries_)
        kill(process, SIGKILL);
    for (auto process : agents_)
        kill(process, SIGKILL);
    for (auto process : entries_)
        waitpid(process, nullptr, 0);
    for (auto process : agents_)
        waitpid(process, nullptr, 0);
    // Their threads go on until the program ends.
    static_cast<void>(store_.release());
    for (auto& target : targets_)
        static_cast<void>(target.release());
    std::error_code ignored;
    if (const char* kept = std::getenv("REVIEW_KEEP_LOGS"))
        std::filesystem::copy(folder_, kept, std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing, ignored);
    std::filesystem::remove_all(folder_, ignored);
}

std::string Deployment::entryIp(int entry) const
{
    return machineIp(firstEntry + entry);
}

std::string Deployment::targetIp(int target) const
{
    return machineIp(firstTarget + target);
}

/// Finds a part of the loopback network in which nothing listens on the ports of the deployment.
bool Deployment::findNetwork()
{
    constexpr int attempts = 50;
    constexpr int numbers = 250;
    for (int i = 0; i < attempts; ++i) {
        int seed = static_cast<int>(getpid()) + i * 7919;
        network_ = "127." + std::to_string(1 + seed % numbers) + "." + std::to_string(1 + seed / numbers % numbers) + ".";
        bool isUsable = isFree({ machineIp(storeMachine), storePort });
        for (int entry = 0; entry < size_.entries_; ++entry) {
            for (int port : { frontPort, readyPort, linkPort, metricsPort })
                isUsable = isUsable && isFree({ entryIp(entry), port });
        }
        for (int target = 0; target < size_.targets_; ++target) {
            for (int port : { controlPort, appPort, metricsPort })
                isUsable = isUsable && isFree({ targetIp(target), port });
        }
        if (isUsable)
            return true;
    }
    return false;
}

std::string Deployment::writeSettings(const std::string& templateFile, const std::string& name, const std::string& ip, int descriptors, int megabytes) const
{
    auto at = [&ip](int port) { return Address { ip, port }.text(); };
    const std::map<std::string, std::string> values { { "node_name", name }, { "zone", zone }, { "ip", ip }, { "listen.front", at(frontPort) }, { "listen.ready", at(readyPort) },
        { "listen.control", at(controlPort) }, { "internal_port_range.0", std::to_string(linkPort) }, { "seeds", "" }, { "app", at(appPort) },
        { "platform.address", Address { machineIp(storeMachine), storePort }.text() }, { "bounds.grace_s", "6" }, { "bounds.max_hold_ms", "1000" },
        { "bounds.stop_timeout_ms", "50" }, { "bounds.resend_ms", "1300" }, { "bounds.remote_factor", "1.5" }, { "limits.max_fds", std::to_string(descriptors) },
        { "limits.memory_mb", std::to_string(megabytes) } };
    std::string text = readFile(templateFile);
    for (const auto& [key, value] : values) {
        std::string placeholder = "{{" + key + "}}";
        for (auto found = text.find(placeholder); found != std::string::npos; found = text.find(placeholder))
            text.replace(found, placeholder.size(), value);
    }
    // No other node is known when the machines start.
    if (auto empty = text.find("seeds = ,-"); empty != std::string::npos)
        text.replace(empty, std::string("seeds = ,-").size(), "seeds = -");
    std::string path = folder_ + "/" + name + ".conf";
    std::ofstream(path) << text;
    return path;
}

pid_t Deployment::startProcess(const std::string& program, const std::string& settings, const std::string& log, int descriptors) const
{
    std::string configuration = "LAGOONPICK_CONFIG=" + settings;
    std::string path = "PATH=/usr/bin:/bin";
    std::string programPath = program;
    pid_t process = fork();
    if (process)
        return process;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    rlimit limit { static_cast<rlim_t>(descriptors), static_cast<rlim_t>(descriptors) };
    setrlimit(RLIMIT_NOFILE, &limit);
    if (!std::freopen(log.c_str(), "a", stdout) || dup2(STDOUT_FILENO, STDERR_FILENO) < 0)
        _exit(127);
    std::array<char*, 2> arguments { programPath.data(), nullptr };
    std::array<char*, 3> environment { configuration.data(), path.data(), nullptr };
    execve(program.c_str(), arguments.data(), environment.data());
    _exit(127);
}

bool Deployment::start()
{
    if (folder_.empty() || access(entryProgram, X_OK) || access(agentProgram, X_OK) || !findNetwork())
        return false;
    store_ = std::make_unique<StoreStandIn>(Address { machineIp(storeMachine), storePort });
    if (!store_->isListening())
        return false;
    store_->put("op/config", R"({"version":7,"routes":[{"name":"queue","host":")" + hostName + R"(","prefix":")" + prefix + R"(","kind":"non_idempotent","timeout_ms":)" + std::to_string(size_.routeTimeoutMs_) + R"(,"target_completion_ms":60,"priority":1,"service":")" + service + R"(","max_attempts":3,"slack_factor":1.6}],"services":[{"name":")" + service + R"(","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"admission_check":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})");
    for (int i = 0; i < size_.entries_; ++i) {
        auto name = "edge-" + std::to_string(i + 1);
        auto settings = writeSettings("deploy/entry.ini", name, entryIp(i), size_.entryDescriptors_, size_.entryMegabytes_);
        entries_.push_back(startProcess(entryProgram, settings, folder_ + "/" + name + ".out", size_.entryDescriptors_));
    }
    for (int i = 0; i < size_.targets_; ++i) {
        auto name = "side-" + std::to_string(i + 1);
        auto settings = writeSettings("deploy/agent.ini", name, targetIp(i), agentDescriptors, agentMegabytes);
        agents_.push_back(startProcess(agentProgram, settings, folder_ + "/" + name + ".out", agentDescriptors));
        targets_.push_back(std::make_unique<TargetStandIn>(TargetSettings { .id_ = "i-" + std::to_string(i + 1), .service_ = service, .zone_ = zone, .app_ = { targetIp(i), appPort }, .control_ = { targetIp(i), controlPort }, .milliCores_ = size_.milliCores_ }, record_));
        if (!targets_.back()->isListening())
            return false;
    }
    constexpr std::int64_t pollMs = 50;
    constexpr std::int64_t settleMs = 2000;
    for (int i = 0; i < size_.entries_; ++i) {
        auto until = nowMs() + readyWaitMs;
        while (call(ready(i), "GET", "/lagoonpick/ready", "", "", 1000).status_ != 200) {
            if (nowMs() > until)
                return false;
            sleepUntilMs(nowMs() + pollMs);
        }
    }
    // Until every agent has found every entry.
    sleepUntilMs(nowMs() + settleMs);
    record_.write("ready: " + std::to_string(size_.entries_) + " entries, " + std::to_string(size_.targets_) + " workers");
    return true;
}

void Deployment::signalEntry(int entry, int number)
{
    kill(entries_[static_cast<std::size_t>(entry)], number);
}

std::vector<RunSpan> Deployment::runs()
{
    std::vector<RunSpan> all;
    for (const auto& target : targets_) {
        auto spans = target->runs();
        all.insert(all.end(), spans.begin(), spans.end());
    }
    return all;
}

} // namespace Review
