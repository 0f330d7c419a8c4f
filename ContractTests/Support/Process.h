#pragma once

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Lagoonpick::Contract {

/// A program of the system, run as a process of its own. Killed when this object goes.
class Process {
public:
    /// Starts `arguments[0]`; its output is appended to `logFile`.
    Process(const std::vector<std::string>& arguments, const std::string& logFile);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const;

    /// Processor time used so far, in seconds.
    double processorSeconds() const;

    /// Memory in use, in kilobytes.
    std::uint64_t residentKilobytes() const;

    /// Sets how many descriptors the process may have open.
    void limitDescriptors(std::uint64_t count) const;

    /// Ends the process at once and waits for its end.
    void kill();

    /// Waits for the process to end by itself; returns its exit code, or -1 if it doesn't within `seconds`.
    int wait(int seconds);

private:
    pid_t id_ { -1 };
};

/// An address on loopback whose port nobody listens on.
std::string freeAddress();

/// A folder that goes with this object.
class Folder {
public:
    Folder();
    ~Folder();
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;

    const std::string& path() const { return path_; }

    /// Writes a file and returns its path.
    std::string write(const std::string& name, const std::string& text) const;

private:
    std::string path_;
};

} // namespace Lagoonpick::Contract
