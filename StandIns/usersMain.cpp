#include "StandIns/StandInMain.h"
#include "StandIns/UsersStoreStandIn.h"
#include "StandIns/UsersTargetStandIn.h"

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    using namespace Lagoonpick::StandIns;
    UsersTargetSettings settings;
    options::options_description description("lagoonpick-users-standin: a stand-in for a target of the users' platform (with --control) or for its store (without)");
    auto add = description.add_options();
    add("help", "print this text");
    add("address", options::value(&settings.address_)->required(), "IP:port to listen on");
    add("control", options::value(&settings.controlAddress_), "IP:port that the target sends its heartbeats to");
    add("id", options::value(&settings.id_)->default_value("target"), "id of the target");
    add("record", options::value(&settings.recordFile_), "file that each begin and end of a run is appended to");
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
