#include "JobEntry/JobEntryHost.h"
#include "Lagoonpick/Configuration/LoadSettings.h"
#include "Lagoonpick/Configuration/RunHost.h"

int main(int argc, char** argv)
{
    using namespace Lagoonpick;
    ignoreSignals();
    ProgramInfo info { "lagoonpick-job-entry", "accepts jobs, has agents run their tasks, and answers each job when it has ended", {}, {} };
    auto loaded = loadSettings(argc, argv, info, readJobEntrySettings);
    if (loaded.exit_)
        return static_cast<int>(*loaded.exit_);
    boost::asio::io_context context(1);
    loaded.settings_.job_.incarnation_ = Incarnation(generateSeed() | 1);
    JobEntryHost host(context, loaded.settings_, loaded.file_, generateSeed());
    if (!host.start().empty())
        return static_cast<int>(ExitCode::Unavailable);
    return static_cast<int>(runHost(context, host));
}
