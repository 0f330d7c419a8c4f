#include "StandIns/StandInMain.h"
#include "StandIns/UsersStoreStandIn.h"
#include "StandIns/UsersTargetStandIn.h"

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    using namespace Lagoonpick::StandIns;
    UsersTargetSettings settings;
    options::options_description description("lagoonpick-users-standin: small stand-ins for the users' platform; with --control a target, else the store");
    auto add = description.add_options();
    add("help", "print this text");
    add("address", options::value(&settings.address_)->required(), "IP:port to listen on");
    add("control", options::value(&settings.controlAddress_), "IP:port for a target's heartbeats");
    add("id", options::value(&settings.id_)->default_value("target"), "a target's id");
    add("record", options::value(&settings.recordFile_), "file to which every begin and end of a run is appended");
    if (!readOptions(argc, argv, description))
        return 0;
    boost::asio::io_context context(1);
    if (settings.controlAddress_.empty()) {
        UsersStoreStandIn store(context);
        return runUntilSignalled(context, store.listen(settings.address_));
    }
    UsersTargetStandIn target(context, settings);
    return runUntilSignalled(context, target.listen());
}
