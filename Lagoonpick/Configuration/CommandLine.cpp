#include "Lagoonpick/Configuration/CommandLine.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace Lagoonpick {

namespace options = boost::program_options;

namespace {

constexpr auto version = "0.1.0";
/// The environment variable that names the settings file if the command line does not.
constexpr auto configVariable = "LAGOONPICK_CONFIG";

constexpr auto exitCodes = "Exit codes: 0 success, 64 usage error, 69 can't listen on an address or reach\n"
                           "a process, 75 fenced by other entries, 76 shutdown timed out, 78 faulty settings.\n";

} // namespace

CommandLine readCommandLine(int argc, char** argv, const ProgramInfo& program)
{
    CommandLine line;
    if (!program.commands_.empty())
        line.command_ = program.commands_.front();
    options::options_description description("Options");
    auto add = description.add_options();
    add("help", "print this text");
    add("version", "print the version");
    if (const char* file = std::getenv(configVariable))
        line.configFile_ = file;
    add("config", options::value(&line.configFile_)->value_name("FILE"), "settings file in INI format; default: the environment variable LAGOONPICK_CONFIG");
    add("check", options::bool_switch(&line.isCheckOnly_), "check the settings and exit");
    options::options_description hidden;
    hidden.add_options()("command", options::value(&line.command_));
    options::options_description all;
    all.add(description).add(hidden);
    options::positional_options_description positional;
    if (!program.commands_.empty())
        positional.add("command", 1);
    options::variables_map values;
    // The library reports usage errors by exceptions; none leaves this function.
    try {
        options::store(options::command_line_parser(argc, argv).options(all).positional(positional).run(), values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << program.name_ << ": " << error.what() << "\n";
        line.exit_ = ExitCode::Usage;
        return line;
    }
    const auto& commands = program.commands_;
    bool isKnown = commands.empty() || std::find(commands.begin(), commands.end(), line.command_) != commands.end();
    if (values.contains("help")) {
        std::cout << program.name_ << ": " << program.purpose_ << "\n\n"
                  << program.details_ << description << "\n"
                  << exitCodes;
        line.exit_ = ExitCode::Success;
    } else if (values.contains("version")) {
        std::cout << program.name_ << " " << version << "\n";
        line.exit_ = ExitCode::Success;
    } else if (!isKnown) {
        std::cerr << program.name_ << ": '" << line.command_ << "' is not a command; see --help\n";
        line.exit_ = ExitCode::Usage;
    } else if (line.configFile_.empty()) {
        std::cerr << program.name_ << ": no settings file; give --config FILE\n";
        line.exit_ = ExitCode::Usage;
    }
    return line;
}

std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace Lagoonpick
