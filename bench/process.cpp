#include "process.hpp"

#include <csignal>
#include <fstream>
#include <sstream>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace bench
{

namespace
{

constexpr int exit_not_started = 127;
constexpr int signal_base = 128;

[[noreturn]] void run_child(const std::vector<std::string>& arguments,
                            const std::string& log)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    std::vector<char*> argument_pointers;
    argument_pointers.reserve(arguments.size() + 1);
    for (const auto& word : arguments)
        argument_pointers.push_back(const_cast<char*>(word.c_str()));
    argument_pointers.push_back(nullptr);
    ::execv(argument_pointers[0], argument_pointers.data());
    ::_exit(exit_not_started);
}

} // namespace

std::optional<process> process::start(const std::vector<std::string>& arguments,
                                      const std::string& log)
{
    const pid_t id = ::fork();
    if (id < 0)
        return std::nullopt;
    if (id == 0)
        run_child(arguments, log);
    return process(id);
}

process::process(process&& other) noexcept : m_id(std::exchange(other.m_id, 0))
{
}

process& process::operator=(process&& other) noexcept
{
    std::swap(m_id, other.m_id);
    return *this;
}

process::~process()
{
    kill();
}

void process::send(int signal) const
{
    if (m_id > 0)
        ::kill(m_id, signal);
}

int process::wait()
{
    if (m_id <= 0)
        return 0;
    int status = 0;
    ::waitpid(std::exchange(m_id, 0), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status)
                             : signal_base + WTERMSIG(status);
}

void process::kill()
{
    send(SIGKILL);
    wait();
}

process_usage process::usage_of(pid_t id)
{
    process_usage usage;
    std::ifstream stat("/proc/" + std::to_string(id) + "/stat");
    std::string text;
    std::getline(stat, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    // user and system time are fields 14 and 15; two fields are cut off
    // already.
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    usage.cpu_seconds =
        (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    std::ifstream statm("/proc/" + std::to_string(id) + "/statm");
    double pages = 0;
    statm >> pages >> pages;
    usage.rss_mb =
        pages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1'048'576;
    return usage;
}

} // namespace bench
