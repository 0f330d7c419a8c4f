#pragma once

#include "Http.h"
#include "Record.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <vector>

namespace Review {

struct TargetSettings {
    std::string id_;
    std::string service_;
    std::string zone_;
    Address app_;
    Address control_;
    std::uint32_t milliCores_ { 64'000 };
    std::int64_t heartbeatMs_ { 1500 };
};

/// A run that a worker has begun.
struct RunSpan {
    std::string task_;
    std::int64_t number_ { 0 };
    std::string target_;
    std::int64_t beganAt_ { 0 };
    /// 0 while it goes on.
    std::int64_t endedAt_ { 0 };
    std::string end_;
};

/// A sound worker of the platform. A task's text says what it takes, like `work_ms=200 cpu=1000`.
class TargetStandIn {
public:
    TargetStandIn(TargetSettings settings, Record& record);
    bool isListening() const { return server_.isListening(); }

    std::vector<RunSpan> runs();

private:
    struct Running {
        std::int64_t workMs_ { 0 };
        std::int64_t milliCores_ { 0 };
        std::int64_t beganAt_ { 0 };
        std::size_t span_ { 0 };
    };
    using Name = std::pair<std::string, std::int64_t>;
    struct End {
        std::int64_t number_ { 0 };
        Name name_;
        std::string how_;
    };

    Response handle(const Request& request);
    Response start(const std::string& body);
    Response stop(const std::string& body);
    Response hold(const std::string& body);
    Response refuse(const std::string& reason) const;
    bool isFenced(std::int64_t token);
    void extendLease(std::int64_t deadline);
    void finish(const Name& name, const std::string& how);
    std::int64_t usedMilliCores() const;
    void advance();
    void sendHeartbeats();
    std::int64_t clock() const;

    TargetSettings settings_;
    Record& record_;
    std::mutex mutex_;
    std::condition_variable ended_;
    std::int64_t startedAt_;
    std::int64_t bornMs_;
    std::int64_t leaseUntil_ { 0 };
    std::int64_t fencingToken_ { 0 };
    std::int64_t lastEnd_ { 0 };
    std::map<Name, Running> running_;
    std::map<std::string, std::int64_t> highest_;
    std::vector<End> ends_;
    std::vector<RunSpan> spans_;
    HttpServer server_;
};

} // namespace Review
