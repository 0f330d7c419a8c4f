#include "review/stand-ins/StoreStandIn.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

/// Usage: review-store IP:port FILE; FILE holds the configuration.
int main(int argc, char** argv)
{
    if (argc != 3)
        return 2;
    std::ifstream file(argv[2]);
    std::string configuration { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context context(1);
    Lagoonpick::Review::StoreStandIn store(context, configuration);
    if (auto fault = store.listen(argv[1]); !fault.empty()) {
        std::cerr << fault << std::endl;
        return 2;
    }
    context.run();
    return 0;
}
