#include "Record.h"

#include "Clock.h"

namespace Review {

Record::Record(const std::string& path)
    : file_(path)
{
}

void Record::write(const std::string& line)
{
    std::lock_guard lock(mutex_);
    file_ << nowMs() << ' ' << line << std::endl;
}

} // namespace Review
