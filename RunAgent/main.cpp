#include "Lagoonpick/Configuration/LoadSettings.h"
#include "Lagoonpick/Configuration/RunHost.h"
#include "RunAgent/RunAgentHost.h"

namespace {

/// The time in Unix milliseconds, so that the token rises with each incarnation of the agent unless the clock is set back.
std::uint64_t firstFencingToken()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

int main(int argc, char** argv)
{
    using namespace Lagoonpick;
    ignoreSignals();
    ProgramInfo info { "lagoonpick-run-agent", "runs tasks on the target beside it, under leases", {}, {} };
    auto loaded = loadSettings(argc, argv, info, readRunAgentSettings);
    if (loaded.exit_)
        return static_cast<int>(*loaded.exit_);
    boost::asio::io_context context(1);
    loaded.settings_.run_.incarnation_ = Incarnation(generateSeed() | 1);
    loaded.settings_.run_.fencingToken_ = firstFencingToken();
    RunAgentHost host(context, loaded.settings_, loaded.file_, generateSeed());
    if (!host.start().empty())
        return static_cast<int>(ExitCode::Unavailable);
    return static_cast<int>(runHost(context, host));
}
