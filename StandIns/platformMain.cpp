#include "StandIns/PlatformStandIn.h"
#include "StandIns/StandInMain.h"

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    using namespace Lagoonpick::StandIns;
    std::string address;
    options::options_description description("lagoonpick-platform-standin: a stand-in for the platform's key-value service");
    description.add_options()("help", "print this text")("address", options::value(&address)->required(), "IP:port to listen on");
    if (!readOptions(argc, argv, description))
        return 0;
    boost::asio::io_context context(1);
    PlatformStandIn platform(context);
    return runUntilSignalled(context, platform.listen(address));
}
