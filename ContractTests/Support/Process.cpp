#include "ContractTests/Support/Process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <set>
#include <spawn.h>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/wait.h>
#include <system_error>
#include <thread>
#include <unistd.h>

namespace Lagoonpick::Contract {

namespace {

constexpr int logPermissions = 0644;
constexpr auto pollInterval = std::chrono::milliseconds(10);

} // namespace

Process::Process(const std::vector<std::string>& arguments, const std::string& logFile)
{
    std::vector<char*> raw;
    raw.reserve(arguments.size() + 1);
    for (const auto& argument : arguments)
        raw.push_back(const_cast<char*>(argument.c_str()));
    raw.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, logPermissions);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    int result = posix_spawn(&id_, raw[0], &actions, nullptr, raw.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (result)
        throw std::runtime_error("can't start " + arguments[0]);
}

Process::~Process()
{
    kill();
}

void Process::sendSignal(int number) const
{
    if (id_ > 0)
        ::kill(id_, number);
}

double Process::processorSeconds() const
{
    std::ifstream file("/proc/" + std::to_string(id_) + "/schedstat");
    double nanoseconds = 0;
    file >> nanoseconds;
    constexpr double nanosecondsPerSecond = 1e9;
    return nanoseconds / nanosecondsPerSecond;
}

std::uint64_t Process::statusKilobytes(std::string_view name) const
{
    std::ifstream file("/proc/" + std::to_string(id_) + "/status");
    for (std::string word; file >> word;) {
        std::uint64_t kilobytes = 0;
        if (word == name && file >> kilobytes)
            return kilobytes;
    }
    return 0;
}

std::uint64_t Process::residentKilobytes() const
{
    return statusKilobytes("VmRSS:");
}

std::uint64_t Process::peakResidentKilobytes() const
{
    return statusKilobytes("VmHWM:");
}

std::size_t Process::openDescriptors() const
{
    std::error_code error;
    std::filesystem::directory_iterator entries("/proc/" + std::to_string(id_) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

void Process::limitDescriptors(std::uint64_t count) const
{
    const rlimit limit { count, count };
    if (::prlimit(id_, RLIMIT_NOFILE, &limit, nullptr))
        throw std::system_error(errno, std::system_category(), "can't limit the descriptors of a process");
}

void Process::kill()
{
    if (id_ <= 0)
        return;
    ::kill(id_, SIGKILL);
    ::waitpid(id_, nullptr, 0);
    id_ = -1;
}

int Process::waitForExit(int seconds)
{
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    while (id_ > 0 && std::chrono::steady_clock::now() < end) {
        int status = 0;
        if (::waitpid(id_, &status, WNOHANG) == id_) {
            id_ = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return -1;
}

std::string findFreeAddress()
{
    namespace ip = boost::asio::ip;
    // The system may offer a port again once its acceptor is closed; each port is returned only once per test process.
    static std::set<std::uint16_t> usedPorts;
    boost::asio::io_context context;
    while (true) {
        ip::tcp::acceptor acceptor(context, { ip::make_address("127.0.0.1"), 0 });
        auto port = acceptor.local_endpoint().port();
        if (usedPorts.insert(port).second)
            return "127.0.0.1:" + std::to_string(port);
    }
}

TemporaryFolder::TemporaryFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "lagoonpick-XXXXXX").string();
    if (!::mkdtemp(pattern.data()))
        throw std::runtime_error("can't create a temporary folder");
    path_ = pattern;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

std::string TemporaryFolder::write(const std::string& name, const std::string& text) const
{
    std::string path = path_ + "/" + name;
    std::ofstream(path) << text;
    return path;
}

} // namespace Lagoonpick::Contract
