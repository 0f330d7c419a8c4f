#include "review/stand-ins/WorkerStandIn.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    using namespace Lagoonpick;
    Review::WorkerSettings settings;
    options::options_description description("review-worker: a sound worker of the users' platform");
    auto add = description.add_options();
    add("address", options::value(&settings.address_)->required(), "IP:port to listen on");
    add("control", options::value(&settings.controlAddress_)->required(), "IP:port that heartbeats are sent to");
    add("id", options::value(&settings.id_)->required(), "id of the worker");
    add("service", options::value(&settings.service_)->default_value("pista"), "its service");
    add("labels", options::value(&settings.labels_)->default_value("a,r1-1"), "its labels, separated by commas");
    add("record", options::value(&settings.recordFile_)->required(), "file that each begin and end of a run is appended to");
    add("cpu", options::value(&settings.milliCores_), "capacity in thousandths of a core");
    add("heartbeat-ms", options::value(&settings.heartbeatMs_), "interval of the heartbeats");
    add("crash-on", options::value(&settings.crashText_), "the worker crashes when it begins a task whose spec holds this text");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context context(1);
    Review::WorkerStandIn worker(context, settings);
    if (auto fault = worker.listen(); !fault.empty()) {
        std::cerr << fault << std::endl;
        return 2;
    }
    context.run();
    return 0;
}
