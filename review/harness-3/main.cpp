#include "Cases.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <sys/resource.h>

namespace Review {

std::string makeId(std::uint64_t number)
{
    constexpr std::size_t digits = 16;
    std::array<char, digits + 1> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
    return text.data();
}

Reply submit(const Deployment& deployment, int entry, const std::string& id, const std::string& job, std::int64_t deadlineMs, std::int64_t waitMs)
{
    return call(deployment.front(entry), "POST", Deployment::prefix + id, job, deadlineHeader(deadlineMs), waitMs);
}

} // namespace Review

/// Plays the case that the first argument names, and writes to the file that the second one names.
int main(int argc, char** argv)
{
    using namespace Review;
    if (argc != 3)
        return static_cast<int>(Verdict::NotRun);
    std::signal(SIGPIPE, SIG_IGN);
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    const char* trouble = std::getenv("TROUBLE");
    bool hasTrouble = !trouble || std::string(trouble) != "0";
    Record record(argv[2]);
    std::string name = argv[1];
    Verdict verdict = Verdict::NotRun;
    if (name == "reset-behind-next-request")
        verdict = runResetBehindNextRequest(record, hasTrouble);
    else if (name == "queued-at-shutdown")
        verdict = runQueuedAtShutdown(record, hasTrouble);
    constexpr std::array<const char*, 3> names { "held", "broken", "could not run" };
    record.write(std::string("verdict: ") + names[static_cast<std::size_t>(verdict)]);
    std::cout << name << ": " << names[static_cast<std::size_t>(verdict)] << std::endl;
    // The threads of the stand-ins go on until the process ends.
    std::_Exit(static_cast<int>(verdict));
}
