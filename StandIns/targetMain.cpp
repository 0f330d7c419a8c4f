#include "StandIns/StandInMain.h"
#include "StandIns/TargetStandIn.h"

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    using namespace Lagoonpick::StandIns;
    std::string address;
    std::string recordFile;
    double speed = 1;
    options::options_description description("lagoonpick-target-standin: a stand-in for a target");
    auto add = description.add_options();
    add("help", "print this text");
    add("address", options::value(&address)->required(), "IP:port to listen on");
    add("speed", options::value(&speed), "speed relative to a target of speed 1");
    add("record", options::value(&recordFile), "file that each start is appended to");
    if (!readOptions(argc, argv, description))
        return 0;
    boost::asio::io_context context(1);
    TargetStandIn target(context, speed, recordFile);
    return runUntilSignalled(context, target.listen(address));
}
