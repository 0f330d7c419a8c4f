#include "StandIns/StandInMain.h"

#include "Lagoonpick/Configuration/CommandLine.h"
#include "Lagoonpick/Transport/Spawn.h"

#include <boost/asio/signal_set.hpp>
#include <iostream>

namespace Lagoonpick::StandIns {

namespace options = boost::program_options;

bool readOptions(int argc, char** argv, const options::options_description& description)
{
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
        std::cout << description;
        return false;
    }
    options::notify(values);
    return true;
}

int runUntilSignalled(boost::asio::io_context& context, const std::string& error)
{
    if (!error.empty()) {
        std::cerr << error << "\n";
        return 1;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    if (auto failure = runUntilStopped(context)) {
        std::cerr << *failure << "\n";
        return static_cast<int>(ExitCode::InternalError);
    }
    return static_cast<int>(ExitCode::Success);
}

} // namespace Lagoonpick::StandIns
