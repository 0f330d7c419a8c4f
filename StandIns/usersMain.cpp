#include "StandIns/UsersStoreStandIn.h"
#include "StandIns/UsersTargetStandIn.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <iostream>

namespace {

namespace options = boost::program_options;
using namespace Lagoonpick::StandIns;

template <typename StandIn>
int run(boost::asio::io_context& context, StandIn&, const std::string& fault)
{
    if (!fault.empty()) {
        std::cerr << fault << "\n";
        return 1;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    UsersTargetSettings settings;
    options::options_description description("lagoonpick-users-standin: small stand-ins for the users' platform; with --control a target, else the store");
    auto add = description.add_options();
    add("help", "print this text");
    add("address", options::value(&settings.address_)->required(), "IP:port to listen on");
    add("control", options::value(&settings.controlAddress_), "IP:port for a target's heartbeats");
    add("id", options::value(&settings.id_)->default_value("target"), "a target's id");
    add("record", options::value(&settings.recordFile_), "file to which every begin and end of a run is appended");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    options::notify(values);
    boost::asio::io_context context(1);
    if (settings.controlAddress_.empty()) {
        UsersStoreStandIn store(context);
        return run(context, store, store.listen(settings.address_));
    }
    UsersTargetStandIn target(context, settings);
    return run(context, target, target.listen());
}
