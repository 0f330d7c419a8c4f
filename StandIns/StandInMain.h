#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/program_options.hpp>
#include <string>

/// Code shared by the stand-in programs.
namespace Lagoonpick::StandIns {

/// Reads the command line; on `--help` prints the help and returns false.
bool readOptions(int argc, char** argv, const boost::program_options::options_description& description);

/// Runs `context` until SIGTERM or SIGINT and returns the exit code. If `error` is not empty, prints it and returns 1.
int runUntilSignalled(boost::asio::io_context& context, const std::string& error);

} // namespace Lagoonpick::StandIns
