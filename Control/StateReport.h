#pragma once

#include <string>
#include <vector>

namespace Lagoonpick {

/// The unparsed state dump of one process.
struct ProcessState {
    std::string address_;
    /// Empty if the process did not respond.
    std::string json_;
    bool operator==(const ProcessState&) const = default;
};

/// Writes the dumps as a JSON array of addresses and states. A state that is not JSON is written as null.
std::string writeDump(const std::vector<ProcessState>& states);

/// Writes a table for operators with one line per process.
std::string writeStatus(const std::vector<ProcessState>& states);

} // namespace Lagoonpick
