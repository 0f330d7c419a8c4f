#include "Entry/EntryHost.h"
#include "Lagoonpick/Configuration/DaemonMain.h"

int main(int argc, char** argv)
{
    using namespace Lagoonpick;
    return runDaemon<EntryHost>(argc, argv, { "lagoonpick-entry", "accepts callers' jobs and dispatches their tasks to agents", {}, {} }, readEntryHostSettings,
        [](const EntryHostSettings& settings) { return "entry " + settings.entry_.name_; });
}
