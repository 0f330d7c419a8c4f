#include "Record.h"

#include <fmt/format.h>
#include <iostream>

namespace Lagoonpick::Review2 {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

Record::Record(const std::string& file)
    : stream_(file, std::ios::trunc)
{
}

void Record::write(const std::string& text)
{
    std::lock_guard lock(mutex_);
    auto line = fmt::format("{:>7} ms  {}\n", now(), text);
    stream_ << line << std::flush;
    std::cout << line << std::flush;
}

std::int64_t Record::now() const
{
    return duration_cast<milliseconds>(std::chrono::steady_clock::now() - begunAt_).count();
}

std::int64_t Record::fromSteadyMicroseconds(std::int64_t microsecondCount) const
{
    return duration_cast<milliseconds>(microseconds(microsecondCount) - begunAt_.time_since_epoch()).count();
}

} // namespace Lagoonpick::Review2
