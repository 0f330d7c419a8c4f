#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/program_options.hpp>
#include <string>

/// What the programs of the stand-ins have in common.
namespace Lagoonpick::StandIns {

/// Reads a command line; prints the help and returns false if that was asked for.
bool readOptions(int argc, char** argv, const boost::program_options::options_description& description);

/// Runs until SIGTERM or SIGINT, unless `fault` says that something could not be had; returns the exit code.
int runUntilSignalled(boost::asio::io_context& context, const std::string& fault);

} // namespace Lagoonpick::StandIns
