#include "Lagoonpick/Observability/Log.h"

#include "Lagoonpick/Core/Underlying.h"

#include <array>
#include <boost/json.hpp>
#include <chrono>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>
#include <log4cxx/patternlayout.h>

namespace Lagoonpick::Log {

namespace json = boost::json;

namespace {

constexpr std::string_view auditLoggerName = "audit";

std::string& processName()
{
    static std::string name;
    return name;
}

log4cxx::LoggerPtr eventLogger()
{
    static log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("event");
    return logger;
}

log4cxx::LoggerPtr auditLogger()
{
    static log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger(std::string(auditLoggerName));
    return logger;
}

std::string_view nameOf(AuditEvent event)
{
    constexpr std::array<std::string_view, 8> names { "task_starting", "task_ended", "task_refused", "job_accepted",
        "job_ended", "request_refused", "entry_fenced", "membership_changed" };
    return names[toUnderlying(event)];
}

std::int64_t unixMilliseconds()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

void start(std::string_view process)
{
    processName() = process;
    log4cxx::MDC::put("process", processName());
    auto eventLayout = std::make_shared<log4cxx::JSONLayout>();
    auto eventAppender = std::make_shared<log4cxx::ConsoleAppender>(eventLayout);
    eventLogger()->addAppender(eventAppender);
    eventLogger()->setLevel(log4cxx::Level::getInfo());
    // Audit lines are already JSON.
    auto auditLayout = std::make_shared<log4cxx::PatternLayout>("%m%n");
    auditLogger()->addAppender(std::make_shared<log4cxx::ConsoleAppender>(auditLayout));
    auditLogger()->setLevel(log4cxx::Level::getInfo());
}

void info(std::string_view message)
{
    LOG4CXX_INFO(eventLogger(), std::string(message));
}

void warning(std::string_view message)
{
    LOG4CXX_WARN(eventLogger(), std::string(message));
}

void error(std::string_view message)
{
    LOG4CXX_ERROR(eventLogger(), std::string(message));
}

std::string formatAudit(const AuditRecord& record, std::string_view process)
{
    json::object line { { "audit", nameOf(record.event_) }, { "at_ms", unixMilliseconds() }, { "process", process } };
    if (record.submission_ != SubmissionId())
        line["submission"] = record.submission_.toString();
    if (record.task_ >= 0)
        line["task"] = record.task_;
    if (record.attempt_)
        line["attempt"] = record.attempt_;
    if (!record.target_.empty())
        line["target"] = record.target_;
    if (record.incarnation_.isValid())
        line["incarnation"] = record.incarnation_.toString();
    if (!record.detail_.empty())
        line["detail"] = record.detail_;
    return json::serialize(line);
}

void audit(const AuditRecord& record)
{
    LOG4CXX_INFO(auditLogger(), formatAudit(record, processName()));
}

} // namespace Lagoonpick::Log
