#include "StandIns/TargetStandIn.h"

#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <fcntl.h>
#include <unistd.h>

namespace Lagoonpick::StandIns {

namespace asio = boost::asio;

namespace {

constexpr int recordPermissions = 0644;
/// A payload with this prefix is answered with bytes that are not valid UTF-8.
constexpr std::string_view bytesPrefix = "echo:";
constexpr std::uint32_t httpError = 500;

Duration workOf(const std::string& payload, double speed)
{
    std::uint64_t microseconds = 0;
    std::from_chars(payload.data(), payload.data() + payload.size(), microseconds);
    return Duration(static_cast<Duration::rep>(static_cast<double>(microseconds) / speed));
}

} // namespace

TargetStandIn::TargetStandIn(asio::io_context& context, double speed, const std::string& recordFile)
    : context_(context)
    , http_(context, {}, [this](const HttpRequest& request, const HttpServer::Respond& respond) { handle(request, respond); })
    , speed_(speed)
{
    if (!recordFile.empty())
        recordDescriptor_ = ::open(recordFile.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, recordPermissions);
}

TargetStandIn::~TargetStandIn()
{
    if (recordDescriptor_ >= 0)
        ::close(recordDescriptor_);
}

std::string TargetStandIn::listen(const std::string& address)
{
    return http_.listen(address);
}

void TargetStandIn::record(const std::string& idempotencyKey)
{
    if (recordDescriptor_ < 0)
        return;
    std::string line = idempotencyKey + "\n";
    // One write per line: lines of several targets in one file don't interleave, and no line is lost when this process is
    // killed.
    if (::write(recordDescriptor_, line.data(), line.size()) < 0)
        std::abort();
}

void TargetStandIn::handle(const HttpRequest& request, const HttpServer::Respond& respond)
{
    if (request.path_ == "/standin/mode") {
        mode_ = request.body_ == "fail" ? TargetMode::Fail : request.body_ == "stall" ? TargetMode::Stall
                                                                                      : TargetMode::Work;
        respond({ .body_ = "{}", .stream_ = {} });
        return;
    }
    record(request.idempotencyKey_);
    if (mode_ == TargetMode::Stall)
        return;
    if (mode_ == TargetMode::Fail) {
        respond({ .status_ = httpError, .body_ = "failed", .stream_ = {} });
        return;
    }
    if (request.body_.starts_with(bytesPrefix)) {
        respond({ .contentType_ = "application/octet-stream", .body_ = "\xff\xfe" + request.body_.substr(bytesPrefix.size()), .stream_ = {} });
        return;
    }
    auto work = workOf(request.body_, speed_);
    if (work == Duration()) {
        respond({ .contentType_ = "text/plain", .body_ = "done " + request.idempotencyKey_, .stream_ = {} });
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(context_, work);
    timer->async_wait([timer, respond, key = request.idempotencyKey_](const boost::system::error_code&) {
        respond({ .contentType_ = "text/plain", .body_ = "done " + key, .stream_ = {} });
    });
}

} // namespace Lagoonpick::StandIns
