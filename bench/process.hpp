#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace bench
{

/// CPU time since the start and resident memory of a process.
struct process_usage
{
    double cpu_seconds{0};
    double rss_mb{0};
};

/// A child process. It is killed when its owner is destroyed or this process
/// ends.
class process
{
public:
    /// Starts a program; `arguments` begins with its path. Standard output and
    /// error go to the file `log`. Empty when the fork fails; a program that
    /// cannot be run ends with exit code 127.
    static std::optional<process>
    start(const std::vector<std::string>& arguments, const std::string& log);

    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    ~process();

    /// Sends a signal; does nothing after the process was waited for.
    void send(int signal) const;

    /// Waits for the end; returns the exit code, or 128 plus the signal.
    int wait();

    /// Sends SIGKILL and waits.
    void kill();

    pid_t id() const { return m_id; }
    process_usage usage() const { return usage_of(m_id); }

    /// Usage of any process, also one that is not a child.
    static process_usage usage_of(pid_t id);

private:
    explicit process(pid_t id) : m_id(id) {}

    pid_t m_id{0};
};

} // namespace bench
