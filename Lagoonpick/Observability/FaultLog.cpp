#include "Lagoonpick/Observability/FaultLog.h"

#include <utility>

namespace Lagoonpick {

namespace {

constexpr std::size_t maxTextBytes = 200;
constexpr Duration period = std::chrono::seconds(10);
constexpr std::uint32_t maxLinesPerPeriod = 10;

} // namespace

std::optional<LogLine> FaultLog::makeLine(std::string_view event, std::string_view sender, std::string_view fault, Time now)
{
    Count& count = counts_.try_emplace(std::string(event)).first->second;
    if (now - count.periodBegan_ >= period) {
        count.periodBegan_ = now;
        count.lines_ = 0;
    }
    if (count.lines_ == maxLinesPerPeriod) {
        ++count.leftOut_;
        return std::nullopt;
    }
    ++count.lines_;
    LogLine line(event);
    line.text("sender", sender.substr(0, maxTextBytes)).text("error", fault.substr(0, maxTextBytes)).number("left_out", std::exchange(count.leftOut_, 0));
    return line;
}

} // namespace Lagoonpick
