#pragma once

#include <fstream>
#include <mutex>
#include <string>

namespace Review {

/// The file in which a script writes what was sent, answered and run. Thread-safe.
class Record {
public:
    explicit Record(const std::string& path);
    void write(const std::string& line);

private:
    std::mutex mutex_;
    std::ofstream file_;
};

} // namespace Review
