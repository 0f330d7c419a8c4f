#pragma once

#include "Record.h"
#include "StoreStandIn.h"
#include "TargetStandIn.h"

#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Review {

struct DeploymentSize {
    int entries_ { 1 };
    int targets_ { 2 };
    std::uint32_t milliCores_ { 64'000 };
    /// `limits.max_fds` and `limits.memory_mb` of an edge machine.
    int entryDescriptors_ { 4100 };
    int entryMegabytes_ { 260 };
    /// `timeout_ms` of the queue.
    int routeTimeoutMs_ { 1500 };
};

/// A small deployment: the store, edge machines with the project's entry, and side machines with the project's agent and a worker. Each
/// machine has a loopback address of its own. Settings come from the templates of the deploy file. Ends its processes when destroyed.
class Deployment {
public:
    static constexpr auto prefix = "/lohu930/";

    Deployment(DeploymentSize size, Record& record);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /// Starts everything and waits until all entries are ready; returns false if they are not.
    bool start();

    Address front(int entry) const { return { entryIp(entry), frontPort }; }
    Address ready(int entry) const { return { entryIp(entry), readyPort }; }
    void signalEntry(int entry, int number);
    std::vector<RunSpan> runs();

private:
    static constexpr int frontPort = 8161;
    static constexpr int readyPort = 8167;
    static constexpr int controlPort = 8166;
    static constexpr int appPort = 8165;
    static constexpr int storePort = 8169;
    static constexpr int linkPort = 7720;
    static constexpr int metricsPort = 9100;

    bool findNetwork();
    std::string machineIp(int number) const { return network_ + std::to_string(number); }
    std::string entryIp(int entry) const;
    std::string targetIp(int target) const;
    std::string writeSettings(const std::string& templateFile, const std::string& name, const std::string& ip, int descriptors, int megabytes) const;
    pid_t startProcess(const std::string& program, const std::string& settings, const std::string& log, int descriptors) const;

    DeploymentSize size_;
    Record& record_;
    std::string network_;
    std::string folder_;
    std::unique_ptr<StoreStandIn> store_;
    std::vector<std::unique_ptr<TargetStandIn>> targets_;
    std::vector<pid_t> entries_;
    std::vector<pid_t> agents_;
};

} // namespace Review
