#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace Lagoonpick::Review2 {

/// The file in which a script says what was sent, answered and run. Lines carry the milliseconds since the record began. May be used
/// from several threads.
class Record {
public:
    explicit Record(const std::string& file);

    void write(const std::string& text);
    /// Milliseconds since the record began.
    std::int64_t now() const;
    /// The time of the record for a time of the steady clock in microseconds, as the targets write it.
    std::int64_t fromSteadyMicroseconds(std::int64_t microseconds) const;

private:
    std::chrono::steady_clock::time_point begunAt_ { std::chrono::steady_clock::now() };
    std::mutex mutex_;
    std::ofstream stream_;
};

} // namespace Lagoonpick::Review2
