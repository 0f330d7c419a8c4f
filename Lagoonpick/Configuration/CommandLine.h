#pragma once

#include <optional>
#include <string>
#include <vector>

namespace Lagoonpick {

/// Exit codes of all programs, numbered after `sysexits.h`.
enum class ExitCode : int {
    Success = 0,
    Usage = 64,
    /// The process can't listen on an address; for lagoonpick-ctl: a process did not respond.
    Unavailable = 69,
    /// An exception that nothing handled ended the process; the log names the place.
    InternalError = 70,
    /// The entry was fenced by the other entries. Start it again: it runs as a new incarnation.
    Fenced = 75,
    /// Shutdown did not finish within its timeout. An entry answers its waiting requests with an unknown outcome then.
    ShutdownTimeout = 76,
    BadSettings = 78,
};

/// A program's name, help texts and commands.
struct ProgramInfo {
    std::string name_;
    std::string purpose_;
    /// Additional help text, such as a description of the commands; may be empty.
    std::string details_;
    /// The commands that the program accepts as its first argument, the default first; empty if it has none.
    std::vector<std::string> commands_;
};

/// A program's parsed command line.
struct CommandLine {
    std::string command_;
    std::string configFile_;
    bool isCheckOnly_ { false };
    /// Set if the program is to exit at once, with this code.
    std::optional<ExitCode> exit_;
};

/// Parses a program's command line. Prints the help and the version if asked for, and usage errors.
CommandLine readCommandLine(int argc, char** argv, const ProgramInfo& program);

/// The content of a file; nothing if the file can't be opened.
std::optional<std::string> readFile(const std::string& path);

} // namespace Lagoonpick
