#include "Agent/AgentHost.h"
#include "Lagoonpick/Configuration/DaemonMain.h"

int main(int argc, char** argv)
{
    using namespace Lagoonpick;
    return runDaemon<AgentHost>(argc, argv, { "lagoonpick-agent", "runs tasks on the target beside it and records which were started", {}, {} }, readAgentHostSettings,
        [](const AgentHostSettings& settings) { return "agent " + settings.agent_.name_; });
}
