#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace Lagoonpick::Contract {

/// A child process that runs a program of the system. The destructor kills it. Not thread-safe.
class Process {
public:
    /// Starts the program `arguments[0]` with `arguments`; its output and errors are appended to `logFile`. Throws if it can't.
    Process(const std::vector<std::string>& arguments, const std::string& logFile);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /// Sends a signal to the process, unless its exit was already waited for.
    void sendSignal(int number) const;

    /// CPU time that the main thread of the process has used so far, in seconds.
    double processorSeconds() const;

    /// Resident memory, in kilobytes; 0 if it can't be read.
    std::uint64_t residentKilobytes() const;

    /// Largest resident memory so far, in kilobytes; 0 if it can't be read, for example because the process has ended.
    std::uint64_t peakResidentKilobytes() const;

    /// Number of open descriptors; 0 if it can't be read.
    std::size_t openDescriptors() const;

    /// Limits how many descriptors the process may have open.
    void limitDescriptors(std::uint64_t count) const;

    /// Kills the process (SIGKILL) and waits for its exit.
    void kill();

    /// Waits for the process to exit by itself. Returns its exit code, 128 plus the signal's number if a signal ended it, or
    /// -1 if it is still running after `seconds`.
    int waitForExit(int seconds);

private:
    std::uint64_t statusKilobytes(std::string_view name) const;

    pid_t id_ { -1 };
};

/// Returns a loopback address on whose port nothing listens, never the same one twice. Not thread-safe.
std::string findFreeAddress();

/// A temporary folder. The destructor removes it with its contents.
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::string& path() const { return path_; }

    /// Writes a file into the folder and returns its path.
    std::string write(const std::string& name, const std::string& text) const;

private:
    std::string path_;
};

} // namespace Lagoonpick::Contract
